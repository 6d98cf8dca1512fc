//! A simulation in virtual time: many VMs in front of one upstream that names a limit.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use basilgw::clock::BootTime;
use basilgw::gateway::upstream::UpstreamInstance;
use basilgw::gateway::upstream_limit::share::Part;
use basilgw::gateway::upstream_limit::table::Statement;
use basilgw::gateway::upstream_limit::warm_up::{Audience, WarmUp};
use basilgw::gateway::upstream_limit::{Decision, GRANT_LIFETIME, Step, UpstreamLimits, VmCounts};
use basilgw::ids::{Epoch, Generation, VmId};
use basilgw::schema::mesh::{PermitAsk, PermitRequest, PermitResponse, UpstreamLimit};
use basilgw::units::RequestRate;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::{id, ms};

/// When the simulation starts; ages reach back before it.
const START: Duration = Duration::from_hours(1);
const HEARTBEAT: Duration = Duration::from_millis(200);
const LEASE_CHECK: Duration = Duration::from_millis(100);
/// From the loss of a leader until another VM holds the lease.
const TAKEOVER: Duration = Duration::from_millis(3300);
const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);
const ASK_ATTEMPTS: u32 = 4;
/// Silence after which a VM counts as unreachable, among many VMs.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(1800);
/// Span over which requests are counted.
pub const WINDOW: Duration = Duration::from_secs(2);
/// Requests in a window beyond what the limit allows: one at its edge, one saved up, and one that
/// was on its way for longer.
pub const SLACK: f64 = 3.0;

/// VMs disturbed for a time.
#[derive(Clone, Debug, Default)]
pub struct Disturbed {
    pub vms: BTreeSet<usize>,
    pub from: Duration,
    pub to: Duration,
}

impl Disturbed {
    fn holds(&self, vm: usize, now: Duration) -> bool {
        self.vms.contains(&vm) && self.from <= now && now < self.to
    }
}

/// What is simulated. VM 0 leads at first.
#[derive(Clone, Debug)]
pub struct Plan {
    pub vms: usize,
    /// Requests a second that only this upstream can serve, over all VMs.
    pub demand: f64,
    /// Number of VMs that get requests.
    pub busy: usize,
    /// Longest time that a request waits for room.
    pub max_wait: Duration,
    /// What the upstream names from each moment on; `None` for no limit.
    pub limits: Vec<(Duration, Option<f64>)>,
    /// Share of datagrams that are lost.
    pub loss: f64,
    /// VMs that reach no other VM for a while.
    pub cut: Disturbed,
    /// VMs that do nothing for a while.
    pub frozen: Disturbed,
    /// VMs that start again, with nothing known.
    pub restart: Option<(Duration, BTreeSet<usize>)>,
    /// When the leader ends.
    pub leader_lost: Option<Duration>,
    /// How the upstream warms up, if it starts only then.
    pub warm_up: Option<Start>,
    pub length: Duration,
}

/// The start of an upstream that warms up at first.
#[derive(Clone, Copy, Debug)]
pub struct Start {
    pub at: Duration,
    pub rate: f64,
    pub lasts: Duration,
    /// Longest time until a VM has read its registration.
    pub read_after: Duration,
}

impl Plan {
    /// A calm network, with three times the demand that the upstream takes from the second second.
    pub fn new(vms: usize, limit: f64) -> Self {
        Self {
            vms,
            demand: limit * 3.0,
            busy: vms,
            max_wait: ms(500),
            limits: vec![(Duration::from_secs(1), Some(limit))],
            loss: 0.0,
            cut: Disturbed::default(),
            frozen: Disturbed::default(),
            restart: None,
            leader_lost: None,
            warm_up: None,
            length: Duration::from_secs(20),
        }
    }

    /// The same before an upstream that starts and warms up to the end.
    pub fn warm_up(vms: usize, rate: f64) -> Self {
        let start = Start {
            at: Duration::from_secs(1),
            rate,
            lasts: Duration::from_secs(19),
            read_after: ms(2500),
        };
        Self {
            limits: Vec::new(),
            warm_up: Some(start),
            ..Self::new(vms, rate)
        }
    }

    fn limit(&self, at: Duration) -> Option<f64> {
        let named = self.limits.iter().rev().find(|(from, _)| *from <= at);
        named.and_then(|(_, limit)| *limit)
    }
}

/// What came of it.
#[derive(Debug, Default)]
pub struct Outcome {
    /// When requests reached the upstream.
    pub arrivals: Vec<Duration>,
    /// Requests that found no room.
    pub denied: usize,
    /// Datagrams that ask for permits, or decide on them.
    pub datagrams: usize,
}

impl Outcome {
    /// Requests that reached the upstream between two moments.
    pub fn count(&self, from: Duration, to: Duration) -> usize {
        let within = self.arrivals.iter().filter(|at| from <= **at && **at < to);
        within.count()
    }

    /// The most requests in one window that lies between two moments.
    pub fn most(&self, from: Duration, to: Duration) -> usize {
        self.most_within(WINDOW, from, to)
    }

    /// The most requests in one span of this length between two moments.
    pub fn most_within(&self, span: Duration, from: Duration, to: Duration) -> usize {
        let starts = self.arrivals.iter().filter(|at| from <= **at && **at < to);
        let counts = starts.map(|start| self.count(*start, to.min(*start + span)));
        counts.max().unwrap_or(0)
    }

    /// Checks that the upstream got no more than it names between two moments.
    pub fn check(&self, limit: f64, from: Duration, to: Duration) {
        let most = self.most(from, to);
        let allowed = limit * WINDOW.as_secs_f64() + SLACK;
        assert!(
            most as f64 <= allowed,
            "{most} requests in {WINDOW:?}, allowed {allowed}"
        );
    }

    /// Share of what the upstream names that it got between two moments.
    pub fn used(&self, limit: f64, from: Duration, to: Duration) -> f64 {
        self.count(from, to) as f64 / (limit * to.saturating_sub(from).as_secs_f64())
    }
}

#[derive(Clone, Debug)]
enum Message {
    Usage {
        leader: Option<Epoch>,
        limits: Rc<Vec<UpstreamLimit>>,
        started: bool,
    },
    Summary(Vec<UpstreamLimit>),
    Request(PermitRequest),
    Response(PermitResponse),
}

#[derive(Clone, Debug)]
enum Event {
    /// A caller's request arrives at a random VM.
    Caller,
    Datagram {
        from: usize,
        message: Message,
    },
    AskTimeout {
        number: u64,
        sent: u32,
    },
    /// A grant that was asked for at a time, and is for now.
    Send {
        asked: Duration,
        wait: Duration,
    },
    Arrive {
        sent: Duration,
    },
    Answer {
        sent: Duration,
        limit: Option<f64>,
    },
    Usage,
    LeaseCheck,
    Restart,
    /// The VM reads the registration of an upstream that warms up.
    Registration(Start),
}

#[derive(Debug)]
struct Waiting {
    ask: PermitAsk,
    asked: Duration,
}

#[derive(Debug, Default)]
struct Vm {
    limits: UpstreamLimits,
    waiting: BTreeMap<u64, Waiting>,
    starts: u64,
    reported: bool,
    leader: Option<(usize, Epoch)>,
    registered: bool,
}

impl Vm {
    fn knows_upstream(&self, plan: &Plan) -> bool {
        plan.warm_up.is_none() || self.registered
    }
}

/// The simulation.
#[derive(Debug)]
pub struct Simulation {
    plan: Plan,
    random: StdRng,
    now: Duration,
    vms: Vec<Vm>,
    events: BTreeMap<(Duration, u64), (usize, Event)>,
    number: u64,
    outcome: Outcome,
}

fn boot(at: Duration) -> BootTime {
    BootTime::new(START + at)
}

fn instance() -> UpstreamInstance {
    UpstreamInstance {
        id: id("u1"),
        started_ms: 1,
    }
}

fn vm_id(vm: usize) -> VmId {
    id(&format!("vm-{vm}"))
}

impl Simulation {
    /// Plays `plan` with random numbers of `seed`.
    pub fn play(plan: Plan, seed: u64) -> Outcome {
        let mut simulation = Self {
            vms: (0..plan.vms).map(|_| Vm::default()).collect(),
            random: StdRng::seed_from_u64(seed),
            now: Duration::ZERO,
            events: BTreeMap::new(),
            number: 0,
            outcome: Outcome::default(),
            plan,
        };
        simulation.start();
        while let Some(((at, _), (vm, event))) = simulation.events.pop_first() {
            if at >= simulation.plan.length {
                break;
            }
            simulation.now = at;
            simulation.step(vm, event);
        }
        simulation.outcome
    }

    fn start(&mut self) {
        for vm in 0..self.plan.vms {
            let first = self.between(0, 200);
            self.schedule(first, vm, Event::Usage);
            self.schedule(Duration::ZERO, vm, Event::LeaseCheck);
        }
        self.schedule(ms(300), 0, Event::Caller);
        if let Some(start) = self.plan.warm_up {
            for vm in 0..self.plan.vms {
                self.schedule_registration(vm, start, start.at);
            }
        }
        if let Some((at, vms)) = self.plan.restart.clone() {
            for vm in vms {
                self.schedule(at, vm, Event::Restart);
            }
        }
    }

    fn between(&mut self, from_ms: u64, to_ms: u64) -> Duration {
        ms(self.random.random_range(from_ms..to_ms))
    }

    fn schedule(&mut self, delay: Duration, vm: usize, event: Event) {
        self.number += 1;
        self.events
            .insert((self.now + delay, self.number), (vm, event));
    }

    fn schedule_registration(&mut self, vm: usize, start: Start, after: Duration) {
        let delay = self.between(0, start.read_after.as_millis() as u64);
        self.schedule(after + delay, vm, Event::Registration(start));
    }

    /// What the registration told when it was written counts from when it is read.
    fn read_registration(&mut self, vm: usize, start: Start) {
        let rate = RequestRate::new(start.rate).expect("a rate");
        let left = start.lasts;
        let state = &mut self.vms[vm];
        state.registered = true;
        let (warm_up, now) = (WarmUp { rate, left }, boot(self.now));
        let limits = &mut state.limits;
        limits.on_warm_up(&instance(), warm_up, Audience::Own, now);
    }

    /// Who holds the lease now.
    fn leader(&self) -> (Option<usize>, Epoch) {
        let frozen = &self.plan.frozen;
        let frozen_leader = frozen.vms.contains(&0) && frozen.to > frozen.from + TAKEOVER;
        let lost = if frozen_leader {
            Some(frozen.from)
        } else {
            self.plan.leader_lost
        };
        match lost {
            Some(lost) if self.now >= lost + TAKEOVER => (Some(1), Epoch(2)),
            Some(lost) if self.now >= lost => (None, Epoch(2)),
            _ => (Some(0), Epoch(1)),
        }
    }

    fn is_gone(&self, vm: usize) -> bool {
        vm == 0 && self.plan.leader_lost.is_some_and(|at| self.now >= at)
    }

    fn counts(&self, vm: usize) -> VmCounts {
        let known = self.plan.vms as u32;
        let cut = &self.plan.cut;
        let noticed = cut.from + UNREACHABLE_AFTER <= self.now && self.now < cut.to;
        let reachable = match (noticed, cut.vms.contains(&vm)) {
            (false, _) => known,
            (true, true) => 1,
            (true, false) => known - cut.vms.len() as u32,
        };
        let part = Part {
            rank: vm as u32,
            parts: known.max(8),
        };
        VmCounts {
            known,
            reachable,
            part,
        }
    }

    fn step(&mut self, vm: usize, event: Event) {
        if let Event::Arrive { sent } = event {
            return self.arrive(vm, sent);
        }
        if matches!(event, Event::Caller) {
            return self.caller();
        }
        if self.plan.frozen.holds(vm, self.now) {
            let thaw = self.plan.frozen.to.saturating_sub(self.now);
            return self.schedule(thaw, vm, event);
        }
        if self.is_gone(vm) {
            return;
        }
        match event {
            Event::Datagram { from, message } => self.receive(vm, from, message),
            Event::AskTimeout { number, sent } => self.ask_timeout(vm, number, sent),
            Event::Send { asked, wait } => self.send(vm, asked, wait),
            Event::Answer { sent, limit } => self.answer(vm, sent, limit),
            Event::Usage => self.usage(vm),
            Event::LeaseCheck => self.check_lease(vm),
            Event::Restart => {
                let starts = self.vms[vm].starts + 1;
                self.vms[vm] = Vm {
                    starts,
                    ..Vm::default()
                };
                if let Some(start) = self.plan.warm_up {
                    self.schedule_registration(vm, start, Duration::ZERO);
                }
            }
            Event::Registration(start) => self.read_registration(vm, start),
            Event::Caller | Event::Arrive { .. } => {}
        }
    }

    fn caller(&mut self) {
        let pause = -(1.0 - self.random.random::<f64>()).ln() / self.plan.demand;
        self.schedule(Duration::from_secs_f64(pause), 0, Event::Caller);
        let vm = self.random.random_range(0..self.plan.busy);
        if self.plan.frozen.holds(vm, self.now) || self.is_gone(vm) {
            return;
        }
        let (now, counts) = (boot(self.now), self.counts(vm));
        if !self.vms[vm].knows_upstream(&self.plan) {
            return;
        }
        let wall = SystemTime::UNIX_EPOCH + START + self.now;
        let limits = &mut self.vms[vm].limits;
        match limits.request(&instance(), self.plan.max_wait, counts, wall, now) {
            Step::Decided(decision) => self.decided(vm, decision, self.now),
            Step::Ask(ask) => self.ask(vm, ask, 1),
        }
    }

    fn ask(&mut self, vm: usize, ask: PermitAsk, sent: u32) {
        let number = ask.number;
        self.schedule(ANSWER_TIMEOUT, vm, Event::AskTimeout { number, sent });
        if let Some((leader, _)) = self.vms[vm].leader {
            let request = PermitRequest {
                vm: vm_id(vm),
                generation: Generation(self.vms[vm].starts),
                asks: vec![ask.clone()],
            };
            self.outcome.datagrams += 1;
            self.datagram(vm, leader, Message::Request(request));
        }
        let waiting = Waiting {
            ask,
            asked: self.now,
        };
        self.vms[vm].waiting.entry(number).or_insert(waiting);
    }

    fn ask_timeout(&mut self, vm: usize, number: u64, sent: u32) {
        let Some(waiting) = self.vms[vm].waiting.get(&number) else {
            return;
        };
        let ask = waiting.ask.clone();
        if sent < ASK_ATTEMPTS {
            return self.ask(vm, ask, sent + 1);
        }
        self.vms[vm].waiting.remove(&number);
        let limits = &mut self.vms[vm].limits;
        limits.close_ask(&ask);
        limits.on_silence(&ask, boot(self.now));
        self.outcome.denied += 1;
    }

    fn decided(&mut self, vm: usize, decision: Decision, asked: Duration) {
        match decision {
            Decision::Unlimited => self.send(vm, self.now, Duration::ZERO),
            Decision::Granted(wait) => self.schedule(wait, vm, Event::Send { asked, wait }),
            Decision::Denied(_) => self.outcome.denied += 1,
        }
    }

    fn send(&mut self, vm: usize, asked: Duration, wait: Duration) {
        if self.now > asked + wait + GRANT_LIFETIME {
            self.outcome.denied += 1;
            return;
        }
        let delay = self.between(1, 4);
        self.schedule(delay, vm, Event::Arrive { sent: self.now });
    }

    fn arrive(&mut self, vm: usize, sent: Duration) {
        self.outcome.arrivals.push(self.now);
        let limit = self.plan.limit(self.now);
        let delay = self.between(10, 80);
        self.schedule(delay, vm, Event::Answer { sent, limit });
    }

    fn answer(&mut self, vm: usize, sent: Duration, limit: Option<f64>) {
        let statement = Statement {
            rate: limit.map(|rate| RequestRate::new(rate).expect("a rate")),
            sent: boot(sent),
            received: boot(self.now),
        };
        let limits = &mut self.vms[vm].limits;
        if limits.on_statement(&instance(), statement, boot(self.now)) {
            self.report(vm);
        }
    }

    fn usage(&mut self, vm: usize) {
        self.report(vm);
        let leads = self.leader().0 == Some(vm);
        let interval = if leads {
            HEARTBEAT
        } else {
            (HEARTBEAT * self.plan.vms as u32 / 12).clamp(HEARTBEAT, ms(1200))
        };
        let jitter = self.random.random_range(0.75..1.25);
        self.schedule(interval.mul_f64(jitter), vm, Event::Usage);
    }

    /// Sends a usage report to all VMs. Those that say nothing are left out.
    fn report(&mut self, vm: usize) {
        let (leader, epoch) = self.leader();
        let leader = (leader == Some(vm)).then_some(epoch);
        let limits = Rc::new(self.vms[vm].limits.report(boot(self.now)));
        let started = !std::mem::replace(&mut self.vms[vm].reported, true);
        if leader.is_none() && limits.is_empty() && !started {
            return;
        }
        for to in (0..self.plan.vms).filter(|to| *to != vm) {
            let message = Message::Usage {
                leader,
                limits: Rc::clone(&limits),
                started,
            };
            self.datagram(vm, to, message);
        }
    }

    fn datagram(&mut self, from: usize, to: usize, message: Message) {
        let cut = &self.plan.cut;
        let cut = cut.holds(from, self.now) || cut.holds(to, self.now);
        if cut || self.random.random_bool(self.plan.loss) {
            return;
        }
        let delay = self.between(1, 6);
        self.schedule(delay, to, Event::Datagram { from, message });
    }

    fn receive(&mut self, vm: usize, from: usize, message: Message) {
        let now = boot(self.now);
        let counts = self.counts(vm);
        match message {
            Message::Usage {
                leader,
                limits,
                started,
            } => {
                let state = &mut self.vms[vm];
                state.limits.on_reports(&limits, now);
                if let Some(epoch) = leader
                    && state.leader.is_none_or(|(_, known)| known <= epoch)
                {
                    state.leader = Some((from, epoch));
                    state.limits.on_leader(epoch, now);
                }
                let summary = state.limits.summary(now);
                if started && !summary.is_empty() {
                    self.datagram(vm, from, Message::Summary(summary));
                }
            }
            Message::Summary(limits) => self.vms[vm].limits.on_reports(&limits, now),
            Message::Request(request) => {
                if let Some(response) = self.vms[vm].limits.grant(request, counts, now) {
                    self.outcome.datagrams += 1;
                    self.datagram(vm, from, Message::Response(response));
                }
            }
            Message::Response(response) => self.response(vm, response),
        }
    }

    fn response(&mut self, vm: usize, response: PermitResponse) {
        let now = boot(self.now);
        for decided in self.vms[vm].limits.on_response(response, now) {
            let Some(waiting) = self.vms[vm].waiting.remove(&decided.number) else {
                continue;
            };
            self.vms[vm].limits.close_ask(&waiting.ask);
            self.decided(vm, decided.decision, waiting.asked);
        }
    }

    fn check_lease(&mut self, vm: usize) {
        let (leader, epoch) = self.leader();
        let epoch = (leader == Some(vm)).then_some(epoch);
        self.vms[vm].limits.set_lease(epoch, boot(self.now));
        self.schedule(LEASE_CHECK, vm, Event::LeaseCheck);
    }
}
