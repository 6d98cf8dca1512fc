//! The rate limit state of one account at a few VMs, driven step by step in virtual time.

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

/// One event.
#[derive(Clone, Debug)]
pub enum Step {
    /// Time passes, in milliseconds, and the running VMs act.
    Advance(u64),
    /// A VM gets a request for tokens: VM, tokens and milliseconds until the deadline.
    Reserve(usize, u64, u64),
    /// The unsettled grant at this position settles for so many hundredths of what it reserved.
    Settle(usize, u64),
    /// So many messages arrive, the oldest first.
    Deliver(usize),
    /// A message arrives out of order; it stays in transit if it is duplicated.
    Reorder(usize, bool),
    /// A message is lost.
    DropMessage(usize),
    /// A VM stops running.
    Pause(usize),
    /// All VMs run again.
    Resume,
    /// A VM crashes and starts again.
    Restart(usize),
    /// A VM crashes and never starts again.
    Kill(usize),
    /// A VM starts to shut down gracefully.
    Leave(usize),
    /// The list of VMs is read in its state of so many milliseconds ago.
    ReadList(u64),
    /// The store becomes available or unavailable.
    SetStoreUp(bool),
    /// The response to the next store call is lost after the call took effect.
    LoseResponse,
}

/// A random step; the weights favour steps that make progress.
pub fn steps() -> impl Strategy<Value = Step> {
    let pause = prop_oneof![8 => 1_u64..30, 2 => 30_u64..400, 2 => 400_u64..2_500];
    let reserve = (0_usize..4, 100_u64..1_500, 50_u64..3_000);
    let reserve =
        reserve.prop_map(|(vm, tokens, remaining_ms)| Step::Reserve(vm, tokens, remaining_ms));
    prop_oneof![
        120 => pause.prop_map(Step::Advance),
        160 => reserve,
        30 => (0_usize..8, 0_u64..130).prop_map(|(at, percent)| Step::Settle(at, percent)),
        160 => (1_usize..16).prop_map(Step::Deliver),
        20 => (any::<usize>(), any::<bool>())
            .prop_map(|(at, duplicate)| Step::Reorder(at, duplicate)),
        10 => any::<usize>().prop_map(Step::DropMessage),
        16 => (0_usize..4).prop_map(Step::Pause),
        24 => Just(Step::Resume),
        16 => (0_usize..4).prop_map(Step::Restart),
        8 => (0_usize..4).prop_map(Step::Kill),
        4 => (0_usize..4).prop_map(Step::Leave),
        30 => (0_u64..500).prop_map(Step::ReadList),
        4 => Just(Step::SetStoreUp(false)),
        12 => Just(Step::SetStoreUp(true)),
        4 => Just(Step::LoseResponse),
    ]
}

/// A message in transit, with its sender and receiver.
#[derive(Clone, Debug)]
enum Message {
    Request(VmId, VmId, LeaseRequest),
    Response(VmId, VmId, LeaseResponse),
}

/// One VM and its rate limit state.
#[derive(Debug)]
struct Vm {
    account: AccountLimiter,
    /// Tokens of the requests that wait.
    waiting: BTreeMap<WaiterId, u64>,
    generation: u64,
    alive: bool,
    paused: bool,
}

/// Tokens granted to one request at one VM.
#[derive(Clone, Copy, Debug)]
struct Granted {
    vm: usize,
    at: Instant,
    reserved: u64,
    used: Option<u64>,
}

/// The VMs, the messages between them, the store and the history of grants.
#[derive(Debug)]
pub struct Fleet {
    vms: Vec<Vm>,
    burst: u64,
    now: Instant,
    in_transit: Vec<Message>,
    /// The assignment in the store.
    stored: Option<(Version, Assignment)>,
    store_up: bool,
    lose_response: bool,
    /// Indices of the VMs that were alive at each step, for lists that lag.
    alive: Vec<(Instant, BTreeSet<usize>)>,
    snapshot: VmSnapshot,
    grants: Vec<Granted>,
}

impl Fleet {
    /// Starts `count` VMs, all of them on the list.
    pub fn open(count: usize, burst: u64) -> Self {
        let now = Instant::now();
        let mut fleet = Self {
            vms: (0..count).map(|n| open_vm(n, 1, burst, now)).collect(),
            burst,
            now,
            in_transit: Vec::new(),
            stored: None,
            store_up: true,
            lose_response: false,
            alive: vec![(now, (0..count).collect())],
            snapshot: VmSnapshot::default(),
            grants: Vec::new(),
        };
        fleet.read_list(0);
        fleet
    }

    /// Applies one event, then polls the VMs that run.
    pub fn step(&mut self, step: &Step) {
        match *step {
            Step::Advance(ms) => self.now += Duration::from_millis(ms),
            Step::Reserve(at, tokens, remaining_ms) => self.reserve(at, tokens, remaining_ms),
            Step::Settle(at, percent) => self.settle(at, percent),
            Step::Deliver(count) => {
                let count = count.min(self.in_transit.len());
                let messages: Vec<_> = self.in_transit.drain(..count).collect();
                for message in messages {
                    self.deliver(message);
                }
            }
            Step::Reorder(at, duplicate) => {
                if let Some(at) = at.checked_rem(self.in_transit.len()) {
                    let message = self.in_transit[at].clone();
                    if !duplicate {
                        self.in_transit.remove(at);
                    }
                    self.deliver(message);
                }
            }
            Step::DropMessage(at) => {
                if let Some(at) = at.checked_rem(self.in_transit.len()) {
                    self.in_transit.remove(at);
                }
            }
            Step::Pause(at) => self.vms[at].paused = true,
            Step::Resume => self.vms.iter_mut().for_each(|vm| vm.paused = false),
            Step::Restart(at) => self.restart(at),
            Step::Kill(at) => self.vms[at].alive = false,
            Step::Leave(at) => self.leave(at),
            Step::ReadList(age) => self.read_list(age),
            Step::SetStoreUp(up) => self.store_up = up,
            Step::LoseResponse => self.lose_response = true,
        }
        let alive = (0..self.vms.len())
            .filter(|&at| self.vms[at].alive)
            .collect();
        self.alive.push((self.now, alive));
        // No poll follows a resume: a request may reach the VM before its timers run.
        if !matches!(step, Step::Resume) {
            (0..self.vms.len()).for_each(|at| self.poll_vm(at));
        }
    }

    /// The most by which any window exceeds the bound, in thousandths of a token.
    pub fn overshoot(&self) -> u64 {
        let used = |grant: &Granted| grant.used.unwrap_or(grant.reserved).min(grant.reserved);
        let history = self.grants.iter().map(|grant| (grant.at, used(grant)));
        overshoot(history, RATE, self.burst)
    }

    fn reserve(&mut self, at: usize, tokens: u64, remaining_ms: u64) {
        let (now, vm) = (self.now, &mut self.vms[at]);
        if !vm.alive || vm.paused {
            return;
        }
        let deadline = now + Duration::from_millis(remaining_ms);
        match vm.account.reserve(&caller(), Tokens(tokens), deadline, now) {
            Admission::Granted => self.grant(at, tokens),
            Admission::Waiting(waiter) => {
                vm.waiting.insert(waiter, tokens);
            }
            Admission::Refused(_) => {}
        }
    }

    fn grant(&mut self, vm: usize, reserved: u64) {
        self.grants.push(Granted {
            vm,
            at: self.now,
            reserved,
            used: None,
        });
    }

    fn settle(&mut self, at: usize, percent: u64) {
        let now = self.now;
        let mut unsettled = self.grants.iter_mut().filter(|grant| grant.used.is_none());
        let Some(grant) = unsettled.nth(at) else {
            return;
        };
        let vm = &mut self.vms[grant.vm];
        if !vm.alive || vm.paused {
            return;
        }
        let used = grant.reserved * percent / 100;
        grant.used = Some(used);
        let (reserved, used) = (Tokens(grant.reserved), Tokens(used));
        vm.account.settle(&caller(), reserved, used, grant.at, now);
    }

    fn restart(&mut self, at: usize) {
        let generation = self.vms[at].generation + 1;
        self.vms[at] = open_vm(at, generation, self.burst, self.now);
        for grant in self.grants.iter_mut().filter(|grant| grant.vm == at) {
            grant.used = grant.used.or(Some(grant.reserved));
        }
    }

    fn leave(&mut self, at: usize) {
        let vm = &mut self.vms[at];
        if vm.alive && !vm.paused {
            vm.account.release_parts(self.now);
        }
    }

    fn read_list(&mut self, age: u64) {
        let list_time = self
            .now
            .checked_sub(Duration::from_millis(age))
            .unwrap_or(self.now);
        let last_alive = self.alive.iter().rev().find(|(at, _)| *at <= list_time);
        let (_, listed_vms) = last_alive.or(self.alive.first()).expect("never empty");
        let vms = self.vms.iter().enumerate().map(|(at, vm)| {
            let info = VmInfo {
                centre: "a".parse().unwrap(),
                generation: Generation(vm.generation),
                leaving: false,
                listed: listed_vms.contains(&at),
            };
            (vm_id(at), info)
        });
        self.snapshot = VmSnapshot {
            vms: vms.collect(),
            list_read: Some(self.now),
        };
    }

    fn deliver(&mut self, message: Message) {
        let to = match &message {
            Message::Request(_, to, _) | Message::Response(_, to, _) => vm_index(to),
        };
        let (now, vm) = (self.now, &mut self.vms[to]);
        if vm.paused {
            self.in_transit.push(message);
            return;
        }
        if !vm.alive {
            return;
        }
        match message {
            Message::Request(from, to, request) => {
                let response = vm.account.on_request(&from, &request, now);
                let response = response.map(|response| Message::Response(to, from, response));
                self.in_transit.extend(response);
            }
            Message::Response(from, _, response) => vm.account.on_response(&from, &response, now),
        }
    }

    fn poll_vm(&mut self, at: usize) {
        if !self.vms[at].alive || self.vms[at].paused {
            return;
        }
        let mut actions = Vec::new();
        let vm = &mut self.vms[at];
        vm.account.poll(&self.snapshot, self.now, &mut actions);
        for action in actions {
            match action {
                Action::Send(outgoing) => {
                    self.in_transit.push(Message::Request(
                        vm_id(at),
                        outgoing.to,
                        outgoing.request,
                    ));
                }
                Action::Resolve(waiter, result) => {
                    let tokens = self.vms[at].waiting.remove(&waiter).expect("waits");
                    if result.is_ok() {
                        self.grant(at, tokens);
                    }
                }
                Action::Store(call) => {
                    let result = self.call_store(call);
                    let account = &mut self.vms[at].account;
                    account.on_store_result(result, &self.snapshot, self.now);
                }
            }
        }
    }

    fn call_store(&mut self, call: StoreCall) -> StoreResult {
        if !self.store_up {
            return StoreResult::Failed;
        }
        let result = match call {
            StoreCall::Read => StoreResult::Read(self.stored.clone()),
            StoreCall::Write(expected, assignment) => self.write(expected, assignment),
        };
        let is_lost = std::mem::take(&mut self.lose_response);
        if is_lost { StoreResult::Failed } else { result }
    }

    fn write(&mut self, expected: Version, assignment: Assignment) -> StoreResult {
        let present = self
            .stored
            .as_ref()
            .map_or(Version(0), |(version, _)| *version);
        if present != expected {
            return StoreResult::Conflict;
        }
        let version = present.next();
        self.stored = Some((version, assignment));
        StoreResult::Written(version)
    }
}

fn open_vm(at: usize, generation: u64, burst: u64, now: Instant) -> Vm {
    let local = LocalVm {
        vm: vm_id(at),
        generation: Generation(generation),
    };
    let quota = Quota {
        rate: TokenRate::new(RATE as f64).unwrap(),
        burst: Tokens(burst),
    };
    let quotas = AccountQuotas {
        account: quota,
        callers: BTreeMap::new(),
    };
    let account: ClientAccount = "club".parse().unwrap();
    Vm {
        account: AccountLimiter::open(account, local, quotas, config(), now),
        waiting: BTreeMap::new(),
        generation,
        alive: true,
        paused: false,
    }
}

fn config() -> LimiterConfig {
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

fn vm_id(at: usize) -> VmId {
    format!("vm-{at}").parse().unwrap()
}

fn vm_index(vm: &VmId) -> usize {
    vm.as_str().trim_start_matches("vm-").parse().unwrap()
}

fn caller() -> CallerId {
    "c".parse().unwrap()
}
