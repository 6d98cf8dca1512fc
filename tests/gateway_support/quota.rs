//! The quota of one account over many VMs, in virtual time.
//!
//! VMs read the list of VMs, report to each other in datagrams that are late or lost, start again,
//! stand still, and are cut off; callers send requests to VMs at random.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Range;
use std::time::{Duration, Instant};

use basilgw::gateway::allowance::Allowance;
use basilgw::gateway::fanout::roles::Capacity;
use basilgw::gateway::peers::Peers;
use basilgw::gateway::reachability::Reachability;
use basilgw::gateway::run::VmRegistration;
use basilgw::ids::{Generation, VmId};
use basilgw::schema::mesh::Usage;
use basilgw::units::Tokens;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::{id, ms, rate};

/// Excess over the quota that the requirements allow in any window: a share of it, and tokens.
const TOLERANCE: f64 = 0.1;
const SLACK: f64 = 7400.0;
/// Length of that window.
pub const WINDOW: Duration = Duration::from_secs(8);
const TICK: Duration = Duration::from_millis(20);
/// Time from the start of a VM until it has read the list of VMs.
const LIST_TIME: Duration = Duration::from_millis(150);
/// Interval between two readings of the list.
const LIST_INTERVAL: Duration = Duration::from_secs(20);
/// Time after a report in which no other one is sent.
const REPORT_PAUSE: Duration = Duration::from_millis(40);
/// Time for which a VM that ends is gone.
const RESTART_TIME: Duration = Duration::from_secs(1);

/// A span since the start.
pub type Span = Range<Duration>;

/// Datagrams of the first VMs to the second ones, all lost in a span.
pub type Cut = (Range<usize>, Range<usize>, Span);

/// Requests of one rank and size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Kind {
    pub rank: u8,
    pub tokens: u64,
}

/// What is simulated.
#[derive(Clone, Debug)]
pub struct Plan {
    pub vms: usize,
    /// The account's rate, in tokens a second.
    pub rate: f64,
    pub burst: u64,
    /// Requests that callers send, as a multiple of the rate, from a time on.
    pub loads: Vec<(Duration, f64)>,
    /// The kinds of requests, with the share of the load that each has.
    pub kinds: Vec<(Kind, f64)>,
    /// Time within which all VMs start.
    pub starts: Duration,
    /// Share of datagrams that are lost.
    pub loss: f64,
    /// Longest time that a datagram takes.
    pub delay: Duration,
    /// Shortest time that a datagram takes, on top of which `delay` comes.
    pub late: Duration,
    pub cuts: Vec<Cut>,
    /// VMs that stand still in a span.
    pub freezes: Vec<(Range<usize>, Span)>,
    /// VMs whose process ends and begins anew.
    pub restarts: Vec<(Range<usize>, Duration)>,
    pub length: Duration,
}

impl Plan {
    pub fn new(vms: usize) -> Self {
        Self {
            vms,
            rate: 1900.0,
            burst: 3800,
            loads: vec![(Duration::ZERO, 4.0)],
            kinds: vec![(
                Kind {
                    rank: 0,
                    tokens: 700,
                },
                1.0,
            )],
            starts: Duration::from_secs(14),
            loss: 0.05,
            delay: ms(300),
            late: Duration::ZERO,
            cuts: Vec::new(),
            freezes: Vec::new(),
            restarts: Vec::new(),
            length: Duration::from_secs(40),
        }
    }

    /// Cuts two groups of VMs off from each other.
    pub fn cut(&mut self, side: Range<usize>, span: &Span) {
        let other = side.end..self.vms;
        self.cuts.push((side.clone(), other.clone(), span.clone()));
        self.cuts.push((other, side, span.clone()));
    }

    pub fn allowed(&self) -> f64 {
        (self.rate * WINDOW.as_secs_f64() + self.burst as f64) * (1.0 + TOLERANCE) + SLACK
    }

    fn load(&self, since: Duration) -> f64 {
        let mut begun = self.loads.iter().filter(|(from, _)| *from <= since);
        begun.next_back().map_or(0.0, |(_, load)| *load)
    }

    fn is_cut(&self, from: usize, to: usize, since: Duration) -> bool {
        let mut cuts = self.cuts.iter();
        cuts.any(|(a, b, span)| a.contains(&from) && b.contains(&to) && span.contains(&since))
    }

    fn is_frozen(&self, vm: usize, since: Duration) -> bool {
        let mut freezes = self.freezes.iter();
        freezes.any(|(vms, span)| vms.contains(&vm) && span.contains(&since))
    }
}

struct Vm {
    name: VmId,
    starts: Instant,
    generation: u64,
    listed: Option<Instant>,
    allowance: Allowance,
    peers: Peers,
    reachability: Reachability,
    report_at: Instant,
    reported: Instant,
}

impl Vm {
    fn open(n: usize, plan: &Plan, generation: u64, starts: Instant) -> Self {
        let full = generation == 1;
        Self {
            name: id(&format!("v{n:03}")),
            starts,
            generation,
            listed: None,
            allowance: Allowance::open(rate(plan.rate), Tokens(plan.burst), full, starts),
            peers: Peers::open(starts),
            reachability: Reachability::open(starts),
            report_at: starts,
            reported: starts,
        }
    }

    fn usage(&mut self, now: Instant) -> Usage {
        let age = now.saturating_duration_since(self.starts);
        let refused = self.allowance.was_exhausted(ms(1500), now);
        Usage {
            vm: self.name.clone(),
            generation: Generation(self.generation),
            age_ms: Some(age.as_millis() as u64),
            lease: None,
            accounts: BTreeMap::from([(id("a"), self.allowance.take_report())]),
            upstreams: BTreeMap::new(),
            leaving: Vec::new(),
            quarantine: None,
            limits: Vec::new(),
            over: refused.then(|| id("a")).into_iter().collect(),
            site: None,
            slow: BTreeMap::new(),
        }
    }
}

pub fn address(n: usize) -> SocketAddr {
    let port = u16::try_from(n + 1).expect("a port");
    SocketAddr::from(([127, 0, 0, 1], port))
}

pub fn registration(n: usize) -> VmRegistration {
    VmRegistration {
        mesh: address(n),
        centre: None,
        capacity: Capacity::default(),
        stopped: None,
    }
}

pub struct Fleet {
    plan: Plan,
    random: StdRng,
    start: Instant,
    now: Instant,
    vms: Vec<Vm>,
    datagrams: BTreeMap<(Instant, u64), (usize, usize, Usage)>,
    number: u64,
    admitted: Vec<(Instant, Kind)>,
    /// Requests that were refused: when, and at which VM.
    refused: Vec<(Instant, usize, Kind)>,
}

impl Fleet {
    pub fn play(plan: Plan, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        // Ages reach back before the start.
        let start = Instant::now() + Duration::from_hours(1);
        let vms = (0..plan.vms).map(|n| {
            let starts = start + plan.starts.mul_f64(random.random());
            Vm::open(n, &plan, 1, starts)
        });
        let vms = vms.collect();
        let mut fleet = Self {
            plan,
            random,
            start,
            now: start,
            vms,
            datagrams: BTreeMap::new(),
            number: 0,
            admitted: Vec::new(),
            refused: Vec::new(),
        };
        while fleet.now < start + fleet.plan.length {
            fleet.step();
        }
        fleet
    }

    fn since(&self) -> Duration {
        self.now - self.start
    }

    fn step(&mut self) {
        self.restart();
        self.deliver();
        for n in 0..self.vms.len() {
            if self.is_running(n) {
                self.list(n);
                self.report(n);
            }
        }
        let load = self.plan.load(self.since());
        let tokens = self.plan.rate * load * TICK.as_secs_f64();
        for (kind, share) in self.plan.kinds.clone() {
            let requests = tokens * share / kind.tokens as f64;
            let whole = requests.floor();
            let more = usize::from(self.random.random_bool(requests - whole));
            for _ in 0..whole as usize + more {
                self.request(kind);
            }
        }
        self.now += TICK;
    }

    fn is_running(&self, n: usize) -> bool {
        self.vms[n].starts <= self.now && !self.plan.is_frozen(n, self.since())
    }

    fn restart(&mut self) {
        let since = self.since();
        for (vms, at) in self.plan.restarts.clone() {
            if !(at..at + TICK).contains(&since) {
                continue;
            }
            for n in vms {
                let starts = self.now + RESTART_TIME;
                let generation = self.vms[n].generation + 1;
                self.vms[n] = Vm::open(n, &self.plan, generation, starts);
            }
        }
    }

    fn list(&mut self, n: usize) {
        let due = match self.vms[n].listed {
            Some(at) => at + LIST_INTERVAL,
            None => self.vms[n].starts + LIST_TIME,
        };
        if due > self.now {
            return;
        }
        let now = self.now;
        let is_listed = |vm: &Vm| vm.generation > 1 || vm.starts + ms(50) <= now;
        let registered = (0..self.vms.len()).filter(|vm| is_listed(&self.vms[*vm]));
        let registered: Vec<_> = registered.filter(|vm| *vm != n).collect();
        let registered = registered.into_iter();
        let registered = registered.map(|vm| (self.vms[vm].name.clone(), registration(vm)));
        let registered: Vec<_> = registered.collect();
        self.vms[n].peers.on_list(registered, true, now);
        self.vms[n].listed = Some(now);
        self.vms[n].report_at = now;
    }

    fn report(&mut self, n: usize) {
        let now = self.now;
        let since = self.since();
        let vm = &mut self.vms[n];
        let due = vm.allowance.report_due(vm.reachability.vms);
        if now < vm.report_at && !(due && now >= vm.reported + REPORT_PAUSE) {
            return;
        }
        let jitter = self.random.random_range(0.75..1.25);
        vm.allowance.refill(now, vm.reachability.part(now));
        vm.reported = now;
        vm.report_at = now + vm.peers.usage_interval().mul_f64(jitter);
        vm.peers.expire(now);
        vm.reachability = vm.peers.reachability(now);
        let usage = vm.usage(now);
        let targets = vm.peers.addresses();
        for to in targets {
            let to = usize::from(to.port()) - 1;
            if self.random.random_bool(self.plan.loss) || self.plan.is_cut(n, to, since) {
                continue;
            }
            let delay = self.plan.late + self.plan.delay.mul_f64(self.random.random());
            self.number += 1;
            let key = (now + delay, self.number);
            self.datagrams.insert(key, (n, to, usage.clone()));
        }
    }

    fn deliver(&mut self) {
        let mut kept = Vec::new();
        while let Some(entry) = self.datagrams.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (key, (from, to, usage)) = entry.remove_entry();
            if self.plan.is_frozen(to, self.since()) {
                kept.push(((self.now + TICK, key.1), (from, to, usage)));
                continue;
            }
            let vm = &mut self.vms[to];
            if vm.starts > self.now {
                continue;
            }
            if !usage.over.is_empty() {
                vm.allowance.on_peer_refusal(self.now);
            }
            let change = vm.peers.apply_usage(usage, address(from), self.now);
            let part = vm.reachability.part(self.now);
            for (_, tokens) in change.earlier {
                vm.allowance.on_earlier_usage(tokens);
            }
            for (_, tokens) in change.admitted {
                vm.allowance
                    .on_peer_usage(tokens, change.silence, self.now, part);
            }
            vm.reachability.last_received = self.now;
            if change.reappeared {
                vm.allowance.refill(self.now, part);
                vm.reachability = vm.peers.reachability(self.now);
            }
        }
        self.datagrams.extend(kept);
    }

    fn request(&mut self, kind: Kind) {
        let n = self.random.random_range(0..self.vms.len());
        // A VM is ready once it has read the configuration, some time after its start.
        if !self.is_running(n) || self.vms[n].starts + ms(60) > self.now {
            return;
        }
        let vm = &mut self.vms[n];
        let part = vm.reachability.part(self.now);
        let draw = self.random.random();
        let tokens = Tokens(kind.tokens);
        let admitted = vm.allowance.admit(kind.rank, tokens, self.now, part, draw);
        match admitted {
            Ok(()) => self.admitted.push((self.now, kind)),
            Err(_wait) => self.refused.push((self.now, n, kind)),
        }
    }

    /// Tokens admitted in the last window.
    pub fn last(&self) -> f64 {
        let last = self.admitted.iter();
        let last = last.filter(|(at, _)| *at + WINDOW >= self.now);
        last.map(|(_, kind)| kind.tokens as f64).sum()
    }

    /// Most tokens admitted in any window.
    pub fn most(&self) -> f64 {
        let sums = self.admitted.iter().enumerate().map(|(first, (from, _))| {
            let window = self.admitted[first..].iter();
            let window = window.take_while(|(at, _)| *at < *from + WINDOW);
            window.map(|(_, kind)| kind.tokens as f64).sum::<f64>()
        });
        sums.fold(0.0, f64::max)
    }

    /// Share of the requests of each kind that were admitted from a time on.
    pub fn served(&self, from: Duration) -> BTreeMap<Kind, f64> {
        let from = self.start + from;
        let admitted = self.admitted.iter().filter(|(at, _)| *at >= from);
        let admitted = admitted.map(|(_, kind)| (*kind, 1.0));
        let refused = self.refused.iter().filter(|(at, ..)| *at >= from);
        let refused = refused.map(|(_, _, kind)| (*kind, 0.0));
        let mut counts = BTreeMap::<Kind, (f64, f64)>::new();
        for (kind, served) in admitted.chain(refused) {
            let (sum, count) = counts.entry(kind).or_default();
            *sum += served;
            *count += 1.0;
        }
        let shares = counts.into_iter();
        shares
            .map(|(kind, (sum, count))| (kind, sum / count))
            .collect()
    }

    /// Requests refused in a span, and how many of them at each VM.
    pub fn refused(&self, span: &Span) -> BTreeMap<usize, usize> {
        let mut refused = BTreeMap::new();
        for (at, vm, _) in &self.refused {
            if span.contains(&(*at - self.start)) {
                *refused.entry(*vm).or_default() += 1;
            }
        }
        refused
    }
}
