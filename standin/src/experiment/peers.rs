//! What the links between VMs cost, as the fleet grows.
//!
//! Runs real peer nodes with the default settings on loopback, all in this process, and divides the
//! process's time and memory by their count. Then one VM accepts a revision, and the time until
//! the last one holds it is taken. One JSON line a run.

use std::io::Write;
use std::net::Ipv4Addr;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use std::{fs, io};

use basilgw::clock::SystemClock;
use basilgw::declare::config_sync::{ConfigHolder, ConfigSync, Export, OfferError};
use basilgw::ids::{DataCentre, Generation, IdError, Revision, VmId};
use basilgw::peer::{BindError, LocalState, NodeOptions, PeerNode, UpstreamDigest};
use basilgw::schema::settings::PeerSettings;
use basilgw::store::{Instance, InstanceKind, InstanceList, InstanceState};
use bytes::Bytes;
use serde::Serialize;
use thiserror::Error;
use tokio::time::{MissedTickBehavior, interval, sleep};

const CENTRES: usize = 5;
const WARM_UP: Duration = Duration::from_secs(15);
const LIST_PAUSE: Duration = Duration::from_secs(1);
const SPREAD_BOUND: Duration = Duration::from_mins(1);
const POLL: Duration = Duration::from_millis(2);
/// Clock ticks a second in `/proc/self/stat`.
const TICKS: f64 = 100.0;
/// Processor time of this process, user and system, counted from the field after the name.
const STAT_FIELDS: [usize; 2] = [11, 12];

/// Why a run failed.
#[derive(Debug, Error)]
enum PeersError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Bind(#[from] BindError),
    #[error(transparent)]
    Id(#[from] IdError),
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    #[error("this system does not say what the process used")]
    Usage,
    #[error("the revision did not reach all VMs")]
    Spread,
}

#[derive(Debug, Serialize)]
struct Line {
    vms: usize,
    seconds: f64,
    bytes_in: f64,
    bytes_out: f64,
    frames: f64,
    pings: f64,
    opened: f64,
    links: f64,
    cpu_percent: f64,
    resident_kib: f64,
    silent: u64,
    dropped: u64,
    spread_ms: u128,
}

/// Counters of all nodes together.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    bytes_in: u64,
    bytes_out: u64,
    frames: u64,
    pings: u64,
    opened: u64,
    silent: u64,
    dropped: u64,
}

#[derive(Debug)]
struct Peer {
    state: Arc<State>,
    node: Arc<PeerNode>,
    config_sync: Arc<ConfigSync>,
}

/// A holder whose configuration is its revision and filler.
#[derive(Debug)]
struct State {
    revision: AtomicU64,
    size: usize,
}

impl ConfigHolder for State {
    fn revision(&self) -> Revision {
        Revision(self.revision.load(Ordering::Acquire))
    }

    fn export(&self, since: Revision) -> Option<Export> {
        let revision = ConfigHolder::revision(self);
        let mut bytes = revision.0.to_be_bytes().to_vec();
        bytes.resize(self.size.max(bytes.len()), b'x');
        (revision > since).then(|| Export {
            revision,
            bytes: bytes.into(),
        })
    }

    fn offer(&self, bytes: Bytes) -> Result<Revision, OfferError> {
        let number = bytes.first_chunk().ok_or(OfferError::Malformed)?;
        let offered = u64::from_be_bytes(*number);
        let before = self.revision.fetch_max(offered, Ordering::AcqRel);
        if offered <= before {
            return Err(OfferError::Stale(Revision(before)));
        }
        Ok(Revision(offered))
    }

    fn reread_store(&self) {}
}

impl LocalState for State {
    fn revision(&self) -> Revision {
        ConfigHolder::revision(self)
    }

    fn store_age(&self) -> Duration {
        Duration::ZERO
    }

    fn upstream_loads(&self) -> Vec<UpstreamDigest> {
        Vec::new()
    }
}

/// Runs the experiment with `vms` nodes; `size` is that of the configuration handed on.
pub fn run<W>(vms: usize, seconds: u64, size: usize, out: &mut W) -> ExitCode
where
    W: Write + Send,
{
    // The caller's thread belongs to a runtime already, which would not let another block on it.
    let work = || -> Result<(), PeersError> {
        let runtime = tokio::runtime::Runtime::new()?;
        let line = runtime.block_on(measure(vms, Duration::from_secs(seconds), size))?;
        writeln!(out, "{}", serde_json::to_string(&line)?)?;
        Ok(())
    };
    let done = std::thread::scope(|scope| scope.spawn(work).join());
    match done {
        Ok(Ok(())) => ExitCode::SUCCESS,
        Ok(Err(error)) => {
            eprintln!("standin: {error}");
            ExitCode::FAILURE
        }
        Err(_) => ExitCode::FAILURE,
    }
}

async fn measure(vms: usize, span: Duration, size: usize) -> Result<Line, PeersError> {
    let peers = Arc::new(open_all(vms, size)?);
    let list = Arc::new(list_of(&peers)?);
    let watching = tokio::spawn(observe(Arc::clone(&peers), list));
    sleep(WARM_UP).await;
    let (before, cpu_before, start) = (sum(&peers), cpu_seconds()?, Instant::now());
    sleep(span).await;
    let (after, cpu, seconds) = (sum(&peers), cpu_seconds()?, start.elapsed().as_secs_f64());
    let rate = |new: u64, old: u64| (new - old) as f64 / seconds / vms as f64;
    let links: usize = peers.iter().map(|p| p.node.open_links()).sum();
    let line = Line {
        vms,
        seconds,
        bytes_in: rate(after.bytes_in, before.bytes_in),
        bytes_out: rate(after.bytes_out, before.bytes_out),
        frames: rate(after.frames, before.frames),
        pings: rate(after.pings, before.pings),
        opened: rate(after.opened, before.opened),
        links: links as f64 / vms as f64,
        cpu_percent: (cpu - cpu_before) / seconds / vms as f64 * 100.0,
        resident_kib: resident_kib()? / vms as f64,
        silent: after.silent,
        dropped: after.dropped,
        spread_ms: spread(&peers).await?.as_millis(),
    };
    watching.abort();
    Ok(line)
}

fn open_all(vms: usize, size: usize) -> Result<Vec<Peer>, PeersError> {
    let mut peers = Vec::new();
    for index in 0..vms {
        peers.push(open(index, size)?);
    }
    Ok(peers)
}

fn open(index: usize, size: usize) -> Result<Peer, PeersError> {
    let state = Arc::new(State {
        revision: AtomicU64::new(0),
        size,
    });
    let options = NodeOptions {
        vm: vm(index)?,
        generation: Generation(1),
        centre: centre(index)?,
        listen: (Ipv4Addr::LOCALHOST, 0).into(),
        settings: PeerSettings::default(),
        seed: index as u64,
    };
    let clock = SystemClock::open();
    let own: Arc<dyn LocalState> = Arc::clone(&state) as _;
    let node = Arc::new(PeerNode::bind(options, Arc::clone(&clock), own)?);
    let holder: Arc<dyn ConfigHolder> = Arc::clone(&state) as _;
    let config_sync = ConfigSync::spawn(&node, holder, clock);
    Ok(Peer {
        state,
        node,
        config_sync,
    })
}

fn vm(index: usize) -> Result<VmId, IdError> {
    format!("entry-{index:04}").parse()
}

fn centre(index: usize) -> Result<DataCentre, IdError> {
    format!("centre-{}", index % CENTRES).parse()
}

fn list_of(peers: &[Peer]) -> Result<InstanceList, PeersError> {
    let instance = |(index, peer): (usize, &Peer)| {
        Ok(Instance {
            vm: vm(index)?,
            kind: InstanceKind::Gateway,
            state: InstanceState::Live,
            generation: Generation(1),
            centre: centre(index)?,
            address: peer.node.local_addr().to_string().into(),
            fenced: false,
            memory: None,
            service: None,
        })
    };
    let instances: Result<_, IdError> = peers.iter().enumerate().map(instance).collect();
    Ok(InstanceList {
        age: 0,
        instances: instances?,
    })
}

async fn observe(peers: Arc<Vec<Peer>>, list: Arc<InstanceList>) {
    let mut ticks = interval(LIST_PAUSE);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        for peer in peers.iter() {
            peer.node.apply_list(&list);
            tokio::task::yield_now().await;
        }
    }
}

async fn spread(peers: &[Peer]) -> Result<Duration, PeersError> {
    let first = peers.first().ok_or(PeersError::Spread)?;
    let start = Instant::now();
    first.state.revision.store(1, Ordering::Release);
    first.config_sync.announce(Revision(1));
    let held = |p: &Peer| p.state.revision.load(Ordering::Acquire) == 1;
    while !peers.iter().all(held) {
        if start.elapsed() > SPREAD_BOUND {
            return Err(PeersError::Spread);
        }
        sleep(POLL).await;
    }
    Ok(start.elapsed())
}

fn sum(peers: &[Peer]) -> Sum {
    peers.iter().fold(Sum::default(), |total, peer| {
        let one = peer.node.metrics();
        Sum {
            bytes_in: total.bytes_in + one.bytes_in.get(),
            bytes_out: total.bytes_out + one.bytes_out.get(),
            frames: total.frames + one.frames_out.get(),
            pings: total.pings + one.pings_out.get(),
            opened: total.opened + one.opened.get(),
            silent: total.silent + one.silent.get(),
            dropped: total.dropped + one.dropped.get(),
        }
    })
}

fn cpu_seconds() -> Result<f64, PeersError> {
    let stat = fs::read_to_string("/proc/self/stat")?;
    let (_, after_name) = stat.rsplit_once(") ").ok_or(PeersError::Usage)?;
    let fields: Vec<&str> = after_name.split(' ').collect();
    let ticks = STAT_FIELDS.map(|index| fields.get(index).and_then(|f| f.parse::<f64>().ok()));
    let [Some(user), Some(system)] = ticks else {
        return Err(PeersError::Usage);
    };
    Ok((user + system) / TICKS)
}

fn resident_kib() -> Result<f64, PeersError> {
    let status = fs::read_to_string("/proc/self/status")?;
    let mut lines = status.lines();
    let line = lines.find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok());
    number.ok_or(PeersError::Usage)
}
