//! One VM process and the gates on its edges.

use std::fs;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use basilgw::ids::{Generation, VmId};
use basilgw::schema::platform::{Instance, InstanceKind, InstanceState};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde::Deserialize;
use tokio::time::{Instant, sleep};

use super::{ANY, EnvError};
use crate::gate::{Gate, Mode};
use crate::history::Event;
use crate::record::{Recorder, lock};

const START_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_PAUSE: Duration = Duration::from_millis(10);

/// Lines of a log that an error shows.
const SHOWN_LINES: usize = 5;

/// Numbers the environments' directories of this process.
static NEXT_DIRECTORY: AtomicU64 = AtomicU64::new(0);

/// Where a VM listens, past its gates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct Ports {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For peers.
    pub peers: SocketAddr,
}

type Log = Arc<Mutex<Vec<String>>>;

#[derive(Debug)]
struct Process {
    child: Option<Child>,
    log: Log,
    generation: Generation,
}

/// A VM.
#[derive(Debug)]
pub struct Vm {
    id: VmId,
    binary: PathBuf,
    directory: PathBuf,
    process: Mutex<Process>,
    ports: Arc<Mutex<Ports>>,
    callers: Gate,
    peers: Gate,
    store: Gate,
    driver: Arc<Recorder>,
}

fn settings(vm: &VmId, store: SocketAddr) -> String {
    format!(
        "[node]\nvm = {vm}\ncentre = north\nthreads = 2\n\
         [listen]\ncallers = {ANY}\noperators = {ANY}\npeers = {ANY}\n\
         [platform]\naddress = {store}\ntimeout = 500\nwatch = 2000\nlist = 100\nbackoff = 500\n\
         lag = 1000\n\
         [upstreams]\nsilence = 1000\nreport = 100\n\
         [peers]\nping = 200\nsilence = 1000\ndigest = 200\nalone = 2000\n\
         [limits]\nbatch = 200\nlife = 1000\n\
         [models]\nstarts = 50\norder = 1000\nidle = 800\nbandwidth = 20000000000\n\
         [shutdown]\nlinger = 300\nbound = 20000\n"
    )
}

impl Vm {
    /// Starts a VM behind gates.
    ///
    /// # Errors
    ///
    /// Where it does not start.
    pub(super) async fn spawn(
        binary: PathBuf,
        id: VmId,
        store: SocketAddr,
        driver: &Arc<Recorder>,
    ) -> Result<Self, EnvError> {
        let number = NEXT_DIRECTORY.fetch_add(1, Ordering::Relaxed);
        let name = format!("basilgw-env-{}-{number}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        fs::create_dir_all(&directory)?;
        let store = Gate::bind(ANY, store)?;
        fs::write(
            directory.join("settings.ini"),
            settings(&id, store.address()),
        )?;
        let process = launch(&binary, &directory, Generation(1))?;
        let ports = started(&id, &process.log).await?;
        driver.record(Event::Started { vm: id.clone() });
        Ok(Self {
            id,
            binary,
            directory,
            process: Mutex::new(process),
            callers: Gate::bind(ANY, ports.callers)?,
            peers: Gate::bind(ANY, ports.peers)?,
            ports: Arc::new(Mutex::new(ports)),
            store,
            driver: Arc::clone(driver),
        })
    }

    /// Its name.
    pub fn id(&self) -> &VmId {
        &self.id
    }

    /// Where it listens, past its gates.
    pub fn ports(&self) -> Ports {
        *lock(&self.ports)
    }

    /// Where it listens, also after a restart.
    pub(super) fn shared_ports(&self) -> Arc<Mutex<Ports>> {
        Arc::clone(&self.ports)
    }

    /// Where callers reach it.
    pub fn callers_address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// How the platform lists it.
    pub(super) fn instance(&self) -> Result<Instance, EnvError> {
        Ok(Instance {
            vm: self.id.clone(),
            kind: InstanceKind::Gateway,
            state: InstanceState::Live,
            generation: lock(&self.process).generation,
            centre: "north".parse()?,
            address: self.peers.address().to_string().into(),
            service: None,
            memory: None,
            fenced: false,
        })
    }

    /// Its log so far.
    pub fn log(&self) -> Vec<String> {
        lock(&lock(&self.process).log).clone()
    }

    pub(super) fn slow(&self, what: &'static str) -> EnvError {
        EnvError::Slow {
            vm: self.id.clone(),
            what,
            log: tail(&self.log()),
        }
    }

    /// Whether its process runs.
    pub fn is_running(&self) -> bool {
        lock(&self.process).child.is_some()
    }

    fn signal(&self, signal: Signal) -> Result<(), EnvError> {
        if let Some(child) = &lock(&self.process).child {
            kill(Pid::from_raw(child.id().cast_signed()), signal)?;
        }
        Ok(())
    }

    /// Pauses its process.
    ///
    /// # Errors
    ///
    /// Where the signal cannot be sent.
    pub fn pause(&self) -> Result<(), EnvError> {
        self.record_trouble();
        self.signal(Signal::SIGSTOP)
    }

    /// Resumes its process.
    ///
    /// # Errors
    ///
    /// Where the signal cannot be sent.
    pub fn resume(&self) -> Result<(), EnvError> {
        self.signal(Signal::SIGCONT)?;
        self.record_healed();
        Ok(())
    }

    /// Kills its process.
    ///
    /// # Errors
    ///
    /// Where the signal cannot be sent.
    pub fn kill(&self) -> Result<(), EnvError> {
        let vm = self.id.clone();
        self.driver.record(Event::Killed { vm });
        self.signal(Signal::SIGKILL)?;
        if let Some(mut child) = lock(&self.process).child.take() {
            child.wait()?;
        }
        Ok(())
    }

    /// Starts it anew, in the next generation.
    ///
    /// # Errors
    ///
    /// Where it does not start.
    pub async fn restart(&self) -> Result<(), EnvError> {
        let generation = lock(&self.process).generation.next();
        let process = launch(&self.binary, &self.directory, generation)?;
        let log = Arc::clone(&process.log);
        *lock(&self.process) = process;
        let ports = started(&self.id, &log).await?;
        *lock(&self.ports) = ports;
        self.callers.retarget(ports.callers);
        self.peers.retarget(ports.peers);
        Ok(())
    }

    /// Tells it to shut down gracefully.
    ///
    /// # Errors
    ///
    /// Where the signal cannot be sent.
    pub fn stop(&self) -> Result<(), EnvError> {
        let vm = self.id.clone();
        self.driver.record(Event::Stopping { vm });
        self.signal(Signal::SIGTERM)
    }

    /// Waits for its process to end.
    ///
    /// # Errors
    ///
    /// Where it does not end in time.
    pub async fn ended(&self, within: Duration) -> Result<(), EnvError> {
        let until = Instant::now() + within;
        while !self.has_ended()? {
            if Instant::now() > until {
                return Err(self.slow("end"));
            }
            sleep(POLL_PAUSE).await;
        }
        let vm = self.id.clone();
        self.driver.record(Event::Stopped { vm });
        Ok(())
    }

    fn has_ended(&self) -> io::Result<bool> {
        let mut process = lock(&self.process);
        let ended = match &mut process.child {
            Some(child) => child.try_wait()?.is_some(),
            None => true,
        };
        if ended {
            process.child = None;
        }
        Ok(ended)
    }

    /// Changes what passes on its edges to the store and from its peers; a VM with anything but
    /// [`Mode::Pass`] counts as disturbed.
    pub fn cut(&self, store: Mode, peers: Mode) {
        let whole = store == Mode::Pass && peers == Mode::Pass;
        if !whole {
            self.record_trouble();
        }
        self.store.set(store);
        self.peers.set(peers);
        if whole {
            self.record_healed();
        }
    }

    /// Records that it started anew and takes callers.
    pub fn record_started(&self) {
        let vm = self.id.clone();
        self.driver.record(Event::Started { vm });
    }

    /// Records that it may fail its callers for now.
    pub fn record_trouble(&self) {
        let vm = self.id.clone();
        self.driver.record(Event::Disturbed { vm });
    }

    /// Records that it must serve again.
    pub fn record_healed(&self) {
        let vm = self.id.clone();
        self.driver.record(Event::Healed { vm });
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        if let Some(mut child) = lock(&self.process).child.take() {
            // A process that ended by itself needs no kill.
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.directory);
    }
}

fn launch(
    binary: &PathBuf,
    directory: &std::path::Path,
    generation: Generation,
) -> io::Result<Process> {
    let mut child = Command::new(binary)
        .arg("run")
        .arg("--settings")
        .arg(directory.join("settings.ini"))
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()?;
    let log = Log::default();
    if let Some(stderr) = child.stderr.take() {
        let log = Arc::clone(&log);
        thread::spawn(move || follow(stderr, &log));
    }
    Ok(Process {
        child: Some(child),
        log,
        generation,
    })
}

fn follow(stderr: ChildStderr, log: &Log) {
    for line in BufReader::new(stderr).lines().map_while(Result::ok) {
        lock(log).push(line);
    }
}

fn tail(log: &[String]) -> String {
    log[log.len().saturating_sub(SHOWN_LINES)..].join("\n")
}

/// Waits for the log's line that names the ports.
async fn started(vm: &VmId, log: &Log) -> Result<Ports, EnvError> {
    let until = Instant::now() + START_TIMEOUT;
    loop {
        let ports = lock(log)
            .iter()
            .find_map(|line| serde_json::from_str::<Ports>(line).ok());
        if let Some(ports) = ports {
            return Ok(ports);
        }
        if Instant::now() > until {
            let vm = vm.clone();
            let log = tail(&lock(log));
            return Err(EnvError::NotStarted { vm, log });
        }
        sleep(POLL_PAUSE).await;
    }
}
