//! How soon a revision reaches every VM, in virtual time.
//!
//! Drives the choice of whom to tell and the spread itself, both pure, over a fleet larger than one
//! machine can run. A message takes a fixed time, and may be lost. One JSON line a run.

use std::collections::BTreeMap;
use std::io::Write;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use basilgw::declare::config_sync::{Action, Event, SyncState};
use basilgw::ids::{DataCentre, Generation, IdError, Revision, VmId};
use basilgw::peer::gossip::Gossip;
use basilgw::peer::{Blob, ConfigPart, Member, MemberState, Members};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;

const CENTRES: usize = 5;
const FANOUT: usize = 3;
const ROUND: Duration = Duration::from_secs(1);
const TICK: Duration = Duration::from_millis(250);
const WARM_UP: Duration = Duration::from_secs(15);
const BOUND: Duration = Duration::from_mins(2);
const MESSAGE: Duration = Duration::from_millis(40);
const OFFER: Duration = Duration::from_millis(200);
const LOSSES: [f64; 3] = [0.0, 0.1, 0.3];
const OLD: Revision = Revision(1);
const NEW: Revision = Revision(2);

#[derive(Debug, Serialize)]
struct Line {
    vms: usize,
    seed: u64,
    loss: f64,
    half_ms: u128,
    last_ms: Option<u128>,
    digests: u64,
    fetches: u64,
    rereads: u64,
}

#[derive(Clone, Debug)]
enum Happening {
    Round,
    Tick,
    Accept,
    Digest { from: usize, revision: Revision },
    Fetch { from: usize },
    Spread(Event),
}

#[derive(Debug)]
struct Vm {
    gossip: Gossip,
    spread: SyncState,
    members: Members,
}

#[derive(Debug)]
struct Fleet {
    vms: Vec<Vm>,
    names: Vec<VmId>,
    index: BTreeMap<VmId, usize>,
    queue: BTreeMap<(Instant, u64), (usize, Happening)>,
    sequence: u64,
    rng: StdRng,
    loss: f64,
    digests: u64,
    fetches: u64,
    rereads: u64,
}

/// Runs the experiment.
pub fn run<W>(vms: usize, seed: u64, out: &mut W) -> ExitCode
where
    W: Write,
{
    for loss in LOSSES {
        let line = Fleet::open(vms, seed, loss).map(|fleet| fleet.measure(seed));
        let text = line.ok().and_then(|line| serde_json::to_string(&line).ok());
        if text.is_none_or(|text| writeln!(out, "{text}").is_err()) {
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

impl Fleet {
    fn open(count: usize, seed: u64, loss: f64) -> Result<Self, IdError> {
        let names: Result<Vec<VmId>, _> = (0..count)
            .map(|i| format!("entry-{i:04}").parse())
            .collect();
        let names = names?;
        let mut all = Members::default();
        for (index, vm) in names.iter().enumerate() {
            let member = Member {
                generation: Generation(1),
                state: MemberState::Live,
                address: None,
                centre: Some(centre(index)?),
            };
            all.vms.insert(vm.clone(), member);
        }
        let mut vms = Vec::new();
        for (index, name) in names.iter().enumerate() {
            let mut members = all.clone();
            members.vms.remove(name);
            let seed = seed.wrapping_mul(1_000_003) + index as u64;
            vms.push(Vm {
                gossip: Gossip::open(centre(index)?, FANOUT, seed),
                spread: SyncState::open(OLD),
                members,
            });
        }
        let index = names.iter().cloned().zip(0..).collect();
        Ok(Self {
            vms,
            names,
            index,
            queue: BTreeMap::new(),
            sequence: 0,
            rng: StdRng::seed_from_u64(seed),
            loss,
            digests: 0,
            fetches: 0,
            rereads: 0,
        })
    }

    fn measure(mut self, seed: u64) -> Line {
        let start = Instant::now();
        for vm in 0..self.vms.len() {
            let phase = ROUND.mul_f64(self.rng.random());
            self.at(start + phase, vm, Happening::Round);
            self.at(start + phase, vm, Happening::Tick);
        }
        let accept = start + WARM_UP;
        self.at(accept, 0, Happening::Accept);
        let mut reached = Vec::new();
        while let Some(((now, _), (vm, happening))) = self.queue.pop_first() {
            if now > accept + BOUND || reached.len() == self.vms.len() {
                break;
            }
            let before = self.vms[vm].spread.revision();
            self.happen(vm, happening, now);
            if self.vms[vm].spread.revision() > before {
                reached.push((now - accept).as_millis());
            }
            if now < accept {
                self.digests = 0;
            }
        }
        let all = reached.len() == self.vms.len();
        Line {
            vms: self.vms.len(),
            seed,
            loss: self.loss,
            half_ms: reached.get(self.vms.len() / 2).copied().unwrap_or_default(),
            last_ms: reached.last().copied().filter(|_| all),
            digests: self.digests,
            fetches: self.fetches,
            rereads: self.rereads,
        }
    }

    fn happen(&mut self, vm: usize, happening: Happening, now: Instant) {
        let name = |index: usize, fleet: &Self| fleet.names[index].clone();
        let event = match happening {
            Happening::Round => {
                self.at(now + ROUND, vm, Happening::Round);
                let one = &mut self.vms[vm];
                let targets = one.gossip.start_round(&one.members);
                return self.tell(vm, &targets, now);
            }
            Happening::Tick => {
                self.at(now + TICK, vm, Happening::Tick);
                Event::Tick
            }
            Happening::Accept => Event::Activated(NEW),
            Happening::Digest { from, revision } => {
                let from = name(from, self);
                self.vms[vm].gossip.record_sender(&from);
                Event::RevisionReceived { from, revision }
            }
            Happening::Fetch { from } => return self.serve(vm, from, now),
            Happening::Spread(event) => event,
        };
        for action in self.vms[vm].spread.step(event, now) {
            self.act(vm, action, now);
        }
    }

    fn act(&mut self, vm: usize, action: Action, now: Instant) {
        match action {
            Action::Announce { except } => {
                let one = &mut self.vms[vm];
                let targets = one.gossip.urgent_targets(&one.members, except.as_ref());
                self.tell(vm, &targets, now);
            }
            Action::SendRevision { to } => self.tell(vm, &[to], now),
            Action::Fetch { from, .. } => {
                self.fetches += 1;
                let to = self.index[&from];
                self.send(to, Happening::Fetch { from: vm }, now);
            }
            Action::Offer { from, .. } => {
                let offered = Event::OfferCompleted {
                    from,
                    result: Ok(NEW),
                };
                self.at(now + OFFER, vm, Happening::Spread(offered));
            }
            Action::RereadStore => self.rereads += 1,
        }
    }

    fn serve(&mut self, vm: usize, to: usize, now: Instant) {
        if self.vms[vm].spread.revision() < NEW {
            return;
        }
        let part = Event::PartReceived {
            from: self.names[vm].clone(),
            part: ConfigPart {
                revision: NEW,
                part: 0,
                parts: 1,
                bytes: Blob::default(),
            },
        };
        self.send(to, Happening::Spread(part), now);
    }

    fn tell(&mut self, vm: usize, targets: &[VmId], now: Instant) {
        let revision = self.vms[vm].spread.revision();
        for target in targets {
            self.digests += 1;
            let digest = Happening::Digest { from: vm, revision };
            self.send(self.index[target], digest, now);
        }
    }

    fn send(&mut self, to: usize, happening: Happening, now: Instant) {
        if !self.rng.random_bool(self.loss) {
            self.at(now + MESSAGE, to, happening);
        }
    }

    fn at(&mut self, when: Instant, vm: usize, happening: Happening) {
        self.sequence += 1;
        self.queue.insert((when, self.sequence), (vm, happening));
    }
}

fn centre(index: usize) -> Result<DataCentre, IdError> {
    format!("centre-{}", index % CENTRES).parse()
}
