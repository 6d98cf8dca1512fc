//! Account machines of a few VMs, driven step by step in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use basilgw::ids::{CallerId, ClientAccount, Generation, Version, VmId};
use basilgw::limit::account::{
    AccountLimiter, AccountQuotas, Action, Admission, LimiterConfig, WaiterId,
};
use basilgw::limit::assignment::{Assignment, LocalVm};
use basilgw::limit::lease_client::LeaseTimes;
use basilgw::limit::{Quota, StoreCall, StoreResult, StoreTimes, VmInfo, VmSnapshot};
use basilgw::schema::peer::{LeaseRequest, LeaseResponse};
use basilgw::units::{TokenRate, Tokens};
use proptest::prelude::*;

use crate::limit_window::overshoot;

const RATE: u64 = 1_000;
const LAG: Duration = Duration::from_millis(500);

/// One thing that happens.
#[derive(Clone, Debug)]
pub enum Step {
    /// Time passes, in milliseconds, and the running VMs act.
    Pass(u64),
    /// A request for tokens comes to a VM, with so many milliseconds left.
    Reserve(usize, u64, u64),
    /// The oldest grants settle for a part of what they reserved, in hundredths.
    Settle(usize, u64),
    /// Messages arrive, the oldest first.
    Deliver(usize),
    /// A message arrives out of order, and stays on its way where it is doubled.
    Reorder(usize, bool),
    /// A message is lost.
    Lose(usize),
    /// A VM stops running.
    Pause(usize),
    /// All VMs run again.
    Resume,
    /// A VM dies and starts anew.
    Restart(usize),
    /// A VM dies for good.
    Kill(usize),
    /// A VM shuts down gracefully.
    Leave(usize),
    /// The list is read, as it was some milliseconds ago.
    List(u64),
    /// The store goes down, or comes back.
    Store(bool),
    /// The store's next answer is lost after it took effect.
    LoseAnswer,
}

/// Steps, the useful ones more often.
pub fn steps() -> impl Strategy<Value = Step> {
    let pass = prop_oneof![8 => 1_u64..30, 2 => 30_u64..400, 2 => 400_u64..2_500];
    let reserve = (0_usize..4, 100_u64..1_500, 50_u64..3_000);
    let reserve = reserve.prop_map(|(vm, tokens, left)| Step::Reserve(vm, tokens, left));
    prop_oneof![
        120 => pass.prop_map(Step::Pass),
        160 => reserve,
        30 => (0_usize..8, 0_u64..130).prop_map(|(at, part)| Step::Settle(at, part)),
        160 => (1_usize..16).prop_map(Step::Deliver),
        20 => (any::<usize>(), any::<bool>()).prop_map(|(at, twice)| Step::Reorder(at, twice)),
        10 => any::<usize>().prop_map(Step::Lose),
        16 => (0_usize..4).prop_map(Step::Pause),
        24 => Just(Step::Resume),
        16 => (0_usize..4).prop_map(Step::Restart),
        8 => (0_usize..4).prop_map(Step::Kill),
        4 => (0_usize..4).prop_map(Step::Leave),
        30 => (0_u64..500).prop_map(Step::List),
        4 => Just(Step::Store(false)),
        12 => Just(Step::Store(true)),
        4 => Just(Step::LoseAnswer),
    ]
}

#[derive(Clone, Debug)]
enum Message {
    Ask(VmId, VmId, LeaseRequest),
    Answer(VmId, VmId, LeaseResponse),
}

#[derive(Debug)]
struct Node {
    account: AccountLimiter,
    waiting: BTreeMap<WaiterId, u64>,
    generation: u64,
    alive: bool,
    paused: bool,
}

#[derive(Clone, Copy, Debug)]
struct Granted {
    node: usize,
    at: Instant,
    reserved: u64,
    used: Option<u64>,
}

/// The VMs, what lies between them, and the history.
#[derive(Debug)]
pub struct Fleet {
    nodes: Vec<Node>,
    burst: u64,
    now: Instant,
    wire: Vec<Message>,
    record: Option<(Version, Assignment)>,
    store_up: bool,
    lose_answer: bool,
    alive: Vec<(Instant, BTreeSet<usize>)>,
    view: VmSnapshot,
    grants: Vec<Granted>,
}

impl Fleet {
    /// A fleet whose list is up to date.
    pub fn open(count: usize, burst: u64) -> Self {
        let now = Instant::now();
        let mut fleet = Self {
            nodes: (0..count).map(|n| node(n, 1, burst, now)).collect(),
            burst,
            now,
            wire: Vec::new(),
            record: None,
            store_up: true,
            lose_answer: false,
            alive: vec![(now, (0..count).collect())],
            view: VmSnapshot::default(),
            grants: Vec::new(),
        };
        fleet.list(0);
        fleet
    }

    /// Lets one thing happen.
    pub fn step(&mut self, step: &Step) {
        match *step {
            Step::Pass(ms) => self.now += Duration::from_millis(ms),
            Step::Reserve(at, tokens, left) => self.reserve(at, tokens, left),
            Step::Settle(at, part) => self.settle(at, part),
            Step::Deliver(count) => {
                let count = count.min(self.wire.len());
                let messages: Vec<_> = self.wire.drain(..count).collect();
                for one in messages {
                    self.deliver(one);
                }
            }
            Step::Reorder(at, twice) => {
                if let Some(at) = at.checked_rem(self.wire.len()) {
                    let message = self.wire[at].clone();
                    if !twice {
                        self.wire.remove(at);
                    }
                    self.deliver(message);
                }
            }
            Step::Lose(at) => {
                if let Some(at) = at.checked_rem(self.wire.len()) {
                    self.wire.remove(at);
                }
            }
            Step::Pause(at) => self.nodes[at].paused = true,
            Step::Resume => self.nodes.iter_mut().for_each(|node| node.paused = false),
            Step::Restart(at) => self.restart(at),
            Step::Kill(at) => self.nodes[at].alive = false,
            Step::Leave(at) => self.leave(at),
            Step::List(age) => self.list(age),
            Step::Store(up) => self.store_up = up,
            Step::LoseAnswer => self.lose_answer = true,
        }
        let alive = (0..self.nodes.len())
            .filter(|&at| self.nodes[at].alive)
            .collect();
        self.alive.push((self.now, alive));
        // A VM that just resumed may serve a request before its timers run.
        if !matches!(step, Step::Resume) {
            (0..self.nodes.len()).for_each(|at| self.pump(at));
        }
    }

    /// Greatest excess of any window over the bound, in thousandths of a token.
    pub fn overshoot(&self) -> u64 {
        let used = |grant: &Granted| grant.used.unwrap_or(grant.reserved).min(grant.reserved);
        let history = self.grants.iter().map(|grant| (grant.at, used(grant)));
        overshoot(history, RATE, self.burst)
    }

    fn reserve(&mut self, at: usize, tokens: u64, left: u64) {
        let (now, node) = (self.now, &mut self.nodes[at]);
        if !node.alive || node.paused {
            return;
        }
        let deadline = now + Duration::from_millis(left);
        match node
            .account
            .reserve(&caller(), Tokens(tokens), deadline, now)
        {
            Admission::Granted => self.grant(at, tokens),
            Admission::Waiting(ticket) => {
                node.waiting.insert(ticket, tokens);
            }
            Admission::Refused(_) => {}
        }
    }

    fn grant(&mut self, node: usize, reserved: u64) {
        self.grants.push(Granted {
            node,
            at: self.now,
            reserved,
            used: None,
        });
    }

    fn settle(&mut self, at: usize, part: u64) {
        let now = self.now;
        let mut open = self.grants.iter_mut().filter(|grant| grant.used.is_none());
        let Some(grant) = open.nth(at) else { return };
        let node = &mut self.nodes[grant.node];
        if !node.alive || node.paused {
            return;
        }
        let used = grant.reserved * part / 100;
        grant.used = Some(used);
        let (reserved, used) = (Tokens(grant.reserved), Tokens(used));
        node.account
            .settle(&caller(), reserved, used, grant.at, now);
    }

    fn restart(&mut self, at: usize) {
        let generation = self.nodes[at].generation + 1;
        self.nodes[at] = node(at, generation, self.burst, self.now);
        for grant in self.grants.iter_mut().filter(|grant| grant.node == at) {
            grant.used = grant.used.or(Some(grant.reserved));
        }
    }

    fn leave(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        if node.alive && !node.paused {
            node.account.release_parts(self.now);
        }
    }

    fn list(&mut self, age: u64) {
        let then = self
            .now
            .checked_sub(Duration::from_millis(age))
            .unwrap_or(self.now);
        let before = self.alive.iter().rev().find(|(at, _)| *at <= then);
        let (_, shown) = before.or(self.alive.first()).expect("never empty");
        let vms = self.nodes.iter().enumerate().map(|(at, node)| {
            let live = VmInfo {
                centre: "a".parse().unwrap(),
                generation: Generation(node.generation),
                leaving: false,
                listed: shown.contains(&at),
            };
            (name(at), live)
        });
        self.view = VmSnapshot {
            vms: vms.collect(),
            list_read: Some(self.now),
        };
    }

    fn deliver(&mut self, message: Message) {
        let to = match &message {
            Message::Ask(_, to, _) | Message::Answer(_, to, _) => index(to),
        };
        let (now, node) = (self.now, &mut self.nodes[to]);
        if node.paused {
            self.wire.push(message);
            return;
        }
        if !node.alive {
            return;
        }
        match message {
            Message::Ask(from, to, ask) => {
                let answer = node.account.on_request(&from, &ask, now);
                let answer = answer.map(|answer| Message::Answer(to, from, answer));
                self.wire.extend(answer);
            }
            Message::Answer(from, _, answer) => node.account.on_response(&from, &answer, now),
        }
    }

    fn pump(&mut self, at: usize) {
        if !self.nodes[at].alive || self.nodes[at].paused {
            return;
        }
        let mut actions = Vec::new();
        let node = &mut self.nodes[at];
        node.account.poll(&self.view, self.now, &mut actions);
        for action in actions {
            match action {
                Action::Send(sending) => {
                    self.wire
                        .push(Message::Ask(name(at), sending.to, sending.request));
                }
                Action::Resolve(ticket, result) => {
                    let tokens = self.nodes[at].waiting.remove(&ticket).expect("waits");
                    if result.is_ok() {
                        self.grant(at, tokens);
                    }
                }
                Action::Store(call) => {
                    let result = self.call(call);
                    let account = &mut self.nodes[at].account;
                    account.on_store_result(result, &self.view, self.now);
                }
            }
        }
    }

    fn call(&mut self, call: StoreCall) -> StoreResult {
        if !self.store_up {
            return StoreResult::Failed;
        }
        let result = match call {
            StoreCall::Read => StoreResult::Read(self.record.clone()),
            StoreCall::Write(expected, holding) => self.write(expected, holding),
        };
        let lost = std::mem::take(&mut self.lose_answer);
        if lost { StoreResult::Failed } else { result }
    }

    fn write(&mut self, expected: Version, holding: Assignment) -> StoreResult {
        let present = self
            .record
            .as_ref()
            .map_or(Version(0), |(version, _)| *version);
        if present != expected {
            return StoreResult::Conflict;
        }
        let version = present.next();
        self.record = Some((version, holding));
        StoreResult::Written(version)
    }
}

fn node(at: usize, generation: u64, burst: u64, now: Instant) -> Node {
    let local = LocalVm {
        vm: name(at),
        generation: Generation(generation),
    };
    let share = Quota {
        rate: TokenRate::new(RATE as f64).unwrap(),
        burst: Tokens(burst),
    };
    let shares = AccountQuotas {
        account: share,
        callers: BTreeMap::new(),
    };
    let account: ClientAccount = "club".parse().unwrap();
    Node {
        account: AccountLimiter::open(account, local, shares, tuning(), now),
        waiting: BTreeMap::new(),
        generation,
        alive: true,
        paused: false,
    }
}

fn tuning() -> LimiterConfig {
    LimiterConfig {
        leases: LeaseTimes {
            batch: Duration::from_millis(500),
            life: Duration::from_secs(2),
        },
        store: StoreTimes {
            list_lag: LAG,
            max_backoff: Duration::from_secs(1),
        },
        max_parts: 3,
    }
}

fn name(at: usize) -> VmId {
    format!("vm-{at}").parse().unwrap()
}

fn index(vm: &VmId) -> usize {
    vm.as_str().trim_start_matches("vm-").parse().unwrap()
}

fn caller() -> CallerId {
    "c".parse().unwrap()
}
