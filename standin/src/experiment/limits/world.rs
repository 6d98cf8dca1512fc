//! A short loop in virtual time: arrivals, messages, store calls and one fault.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use basilgw::ids::{DataCentre, Generation, Version, VmId};
use basilgw::limit::account::{Action, Admission, WaiterId};
use basilgw::limit::assignment::{Assignment, LocalVm};
use basilgw::limit::{StoreCall, StoreResult, VmInfo, VmSnapshot};
use basilgw::schema::peer::{LeaseRequest, LeaseResponse};
use basilgw::units::Tokens;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::designs::{Machine, Opening};
use super::figures::{Figures, Request};
use super::{Fault, Setup, Traffic, open_machine};

const NEAR: Duration = Duration::from_millis(1);
const FAR: Duration = Duration::from_millis(20);
const STORE: Duration = Duration::from_millis(5);
const STORE_TIMEOUT: Duration = Duration::from_secs(2);
const LIST: Duration = Duration::from_secs(1);
const LIST_LAG: Duration = Duration::from_secs(3);
const TICK: Duration = Duration::from_millis(200);
const DEADLINE: Duration = Duration::from_secs(5);
const LEAST_COST: u64 = 200;
const MOST_COST: u64 = 1_400;

enum Event {
    Arrive,
    Ask(usize, usize, LeaseRequest),
    Answer(usize, usize, LeaseResponse),
    Call(usize, StoreCall),
    Result(usize, StoreResult),
    Wake(usize),
    List,
    Fault,
    Resume(usize),
}

struct Node {
    vm: VmId,
    machine: Box<dyn Machine>,
    alive: bool,
    paused: bool,
    died: Option<Instant>,
    wake: Instant,
    waiting: BTreeMap<WaiterId, Request>,
    held: Vec<Event>,
}

/// The VMs and what lies between them.
pub struct World {
    setup: Setup,
    start: Instant,
    now: Instant,
    events: BTreeMap<(Instant, u64), Event>,
    count: u64,
    nodes: Vec<Node>,
    view: VmSnapshot,
    record: Option<(Version, Assignment)>,
    outage: bool,
    rng: StdRng,
    /// What was counted.
    pub figures: Figures,
}

impl World {
    /// Opens the VMs; nothing has happened yet.
    pub fn open(setup: Setup, seed: u64) -> Self {
        let start = Instant::now();
        let node = |at: usize| {
            let vm = vm_name(at);
            let local = LocalVm {
                vm: vm.clone(),
                generation: Generation(1),
            };
            let opening = Opening {
                local,
                share: setup.share,
                tuning: setup.tuning,
            };
            Node {
                vm,
                machine: open_machine(setup.design, opening, setup.vms, start),
                alive: true,
                paused: false,
                died: None,
                wake: start,
                waiting: BTreeMap::new(),
                held: Vec::new(),
            }
        };
        let mut world = Self {
            start,
            now: start,
            events: BTreeMap::new(),
            count: 0,
            nodes: (0..setup.vms).map(node).collect(),
            view: VmSnapshot::default(),
            record: None,
            outage: false,
            rng: StdRng::seed_from_u64(seed),
            figures: Figures::open(setup.share, start, setup.from, setup.until),
            setup,
        };
        world.schedule(Duration::ZERO, Event::List);
        world.schedule(Duration::from_secs(5), Event::Arrive);
        world.schedule(setup.fault_at, Event::Fault);
        for at in 0..setup.vms {
            world.schedule(Duration::ZERO, Event::Wake(at));
        }
        world
    }

    /// Runs to the end of the setup.
    pub fn run(&mut self) {
        let end = self.start + self.setup.until + DEADLINE;
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > end {
                return;
            }
            self.now = at;
            self.handle(event);
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.count += 1;
        self.events.insert((self.now + after, self.count), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Ask(_, to, _) | Event::Answer(_, to, _) | Event::Result(to, _)
                if self.nodes[to].paused =>
            {
                self.nodes[to].held.push(event);
            }
            Event::Ask(from, to, ask) => self.ask(from, to, &ask),
            Event::Answer(from, to, answer) => {
                let vm = self.nodes[from].vm.clone();
                self.nodes[to].machine.answer(&vm, &answer, self.now);
                self.pump(to);
            }
            Event::Call(from, call) => self.call(from, call),
            Event::Result(to, result) => {
                self.nodes[to].machine.stored(result, &self.view, self.now);
                self.pump(to);
            }
            Event::Wake(at) => {
                if self.nodes[at].wake <= self.now {
                    self.pump(at);
                }
            }
            Event::List => self.list(),
            Event::Fault => self.fault(),
            Event::Resume(at) => self.resume(at),
        }
    }

    fn arrive(&mut self) {
        let mean = f64::midpoint(LEAST_COST as f64, MOST_COST as f64);
        let rate = self.setup.share.rate.per_second() * self.setup.load / mean;
        let pause = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        self.schedule(Duration::from_secs_f64(pause), Event::Arrive);
        let tokens = Tokens(self.rng.random_range(LEAST_COST..=MOST_COST));
        let Some(at) = self.pick() else {
            return;
        };
        let request = self.figures.arrive(tokens, self.now);
        let deadline = self.now + DEADLINE;
        match self.nodes[at].machine.reserve(tokens, deadline, self.now) {
            Admission::Granted => self.figures.grant(request, self.now),
            Admission::Refused(_) => self.figures.refuse(request),
            Admission::Waiting(ticket) => {
                self.nodes[at].waiting.insert(ticket, request);
            }
        }
        self.pump(at);
    }

    fn pick(&mut self) -> Option<usize> {
        let up = |node: &Node| node.alive && !node.paused;
        let target = self.target();
        if self.setup.traffic == Traffic::Skewed {
            return (0..self.nodes.len()).find(|&at| up(&self.nodes[at]) && at != target);
        }
        let ups: Vec<_> = (0..self.nodes.len())
            .filter(|&at| up(&self.nodes[at]))
            .collect();
        (!ups.is_empty()).then(|| ups[self.rng.random_range(0..ups.len())])
    }

    /// The VM that the fault meets: the first holder, if there are holders.
    fn target(&self) -> usize {
        let first = self
            .record
            .as_ref()
            .and_then(|(_, holding)| holding.parts.first());
        first.map_or(1, |part| vm_index(&part.vm))
    }

    fn ask(&mut self, from: usize, to: usize, ask: &LeaseRequest) {
        if !self.nodes[to].alive {
            return;
        }
        let vm = self.nodes[from].vm.clone();
        let answer = self.nodes[to].machine.ask(&vm, ask, self.now);
        if let Some(answer) = answer {
            self.figures.message(self.now);
            self.schedule(self.distance(from, to), Event::Answer(to, from, answer));
        }
        self.pump(to);
    }

    fn distance(&self, from: usize, to: usize) -> Duration {
        let regions = if self.setup.vms > 100 { 2 } else { 1 };
        let far = from % regions != to % regions;
        if far { FAR } else { NEAR }
    }

    fn pump(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        if !node.alive || node.paused {
            return;
        }
        let mut actions = Vec::new();
        node.machine.pump(&self.view, self.now, &mut actions);
        let latest = self.now + TICK;
        let wake = node
            .machine
            .wake(self.now)
            .map_or(latest, |wake| wake.min(latest));
        node.wake = wake.max(self.now + Duration::from_millis(1));
        let pause = node.wake - self.now;
        self.schedule(pause, Event::Wake(at));
        for action in actions {
            self.act(at, action);
        }
    }

    fn act(&mut self, at: usize, action: Action) {
        match action {
            Action::Send(sending) => {
                let to = vm_index(&sending.to);
                self.figures.message(self.now);
                self.schedule(self.distance(at, to), Event::Ask(at, to, sending.request));
            }
            Action::Store(call) => {
                self.figures.store_call(self.now);
                self.schedule(STORE, Event::Call(at, call));
            }
            Action::Resolve(ticket, result) => {
                let request = self.nodes[at].waiting.remove(&ticket);
                match (request, result) {
                    (Some(request), Ok(())) => self.figures.grant(request, self.now),
                    (Some(request), Err(_)) => self.figures.refuse(request),
                    (None, _) => {}
                }
            }
        }
    }

    fn call(&mut self, from: usize, call: StoreCall) {
        if self.outage {
            self.schedule(STORE_TIMEOUT, Event::Result(from, StoreResult::Failed));
            return;
        }
        let result = match call {
            StoreCall::Read => StoreResult::Read(self.record.clone()),
            StoreCall::Write(expected, holding) => {
                let present = self
                    .record
                    .as_ref()
                    .map_or(Version(0), |(version, _)| *version);
                if present == expected {
                    self.record = Some((present.next(), holding));
                    StoreResult::Written(present.next())
                } else {
                    StoreResult::Conflict
                }
            }
        };
        self.schedule(STORE, Event::Result(from, result));
    }

    fn list(&mut self) {
        self.schedule(LIST, Event::List);
        if self.outage {
            return;
        }
        let shown = |node: &&Node| node.died.is_none_or(|died| died + LIST_LAG > self.now);
        let live = |node: &Node| VmInfo {
            centre: centre_of(vm_index(&node.vm), self.setup.vms),
            generation: Generation(1),
            leaving: false,
            listed: true,
        };
        let listed = self.nodes.iter().filter(shown);
        self.view = VmSnapshot {
            vms: listed.map(|node| (node.vm.clone(), live(node))).collect(),
            list_read: Some(self.now),
        };
    }

    fn fault(&mut self) {
        let target = self.target();
        match self.setup.fault {
            Fault::None => {}
            Fault::Kill => self.kill(target),
            Fault::Pause(span) => {
                self.nodes[target].paused = true;
                self.schedule(span, Event::Resume(target));
            }
            Fault::Outage => self.outage = true,
            Fault::OutageAndKill => {
                self.outage = true;
                self.kill(target);
            }
        }
    }

    fn kill(&mut self, at: usize) {
        self.nodes[at].alive = false;
        self.nodes[at].died = Some(self.now);
        self.nodes[at].waiting.clear();
    }

    fn resume(&mut self, at: usize) {
        self.nodes[at].paused = false;
        for event in std::mem::take(&mut self.nodes[at].held) {
            self.handle(event);
        }
        self.pump(at);
    }
}

fn vm_name(at: usize) -> VmId {
    format!("vm-{at:03}").parse().expect("a valid name")
}

fn vm_index(vm: &VmId) -> usize {
    let digits = vm.as_str().trim_start_matches("vm-");
    digits.parse().expect("a VM of this run")
}

fn centre_of(at: usize, vms: usize) -> DataCentre {
    let centres = if vms > 100 { 5 } else { 3 };
    let name = format!("dc-{}", at % centres);
    name.parse().expect("a valid name")
}
