//! One part's bucket and two lease clients, which collect as many leases as they can and spend them
//! at the last moment. No window may see more than rate x window + burst granted, however messages
//! are delayed, reordered or duplicated.

mod limit_window;

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use basilgw::ids::{ClientAccount, Epoch, Generation, VmId};
use basilgw::limit::assignment::{Assignment, LocalVm, PartHolder};
use basilgw::limit::lease_client::{LeaseClient, LeaseTimes, QueuedTokens};
use basilgw::limit::part_bucket::PartBucket;
use basilgw::limit::{Quota, VmSnapshot};
use basilgw::schema::peer::{LeaseRequest, LeaseResponse};
use basilgw::units::{TokenRate, Tokens};
use limit_window::overshoot;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};

const RATE: u64 = 1_000;
const BURST: u64 = 2_000;
const LIFE: Duration = Duration::from_secs(2);

/// One event.
#[derive(Clone, Debug)]
enum Step {
    /// Time passes, in milliseconds.
    Advance(u64),
    /// A client decides what to request while so many tokens are queued.
    TakeRequests(usize, u64),
    /// The request at this position arrives; it stays in transit if it is duplicated.
    DeliverRequest(usize, bool),
    /// The response at this position arrives; it stays in transit if it is duplicated.
    DeliverResponse(usize, bool),
    /// A client sends a request and gets the response without delay.
    Exchange(usize),
    /// A client spends up to so many tokens.
    Spend(usize, u64),
    /// One of the last grants settles for so many hundredths of what it reserved; the refund may be
    /// returned without delay.
    Settle(usize, u64, bool),
    /// The quota is halved, or restored.
    SetQuota(bool),
}

/// Steps, of which about `quota_changes` in 20 change the quota.
fn steps(quota_changes: u32) -> impl Strategy<Value = Vec<Step>> {
    let pauses = [1, 30, 100, 500, 1_000, 1_900, 2_100];
    let pause = prop_oneof![1 => 1_u64..2_000, 4 => prop::sample::select(pauses.to_vec())];
    let queued = prop_oneof![2 => 1_u64..2_500, 2 => Just(2_500), 1 => Just(0)];
    let spent_tokens = prop_oneof![1 => 1_u64..2_500, 2 => Just(2_500)];
    let step = prop_oneof![
        3 => pause.prop_map(Step::Advance),
        4 => (0_usize..2, queued).prop_map(|(at, tokens)| Step::TakeRequests(at, tokens)),
        3 => (0_usize..4, any::<bool>())
            .prop_map(|(at, duplicate)| Step::DeliverRequest(at, duplicate)),
        3 => (0_usize..4, any::<bool>())
            .prop_map(|(at, duplicate)| Step::DeliverResponse(at, duplicate)),
        3 => (0_usize..2).prop_map(Step::Exchange),
        4 => (0_usize..2, spent_tokens).prop_map(|(at, tokens)| Step::Spend(at, tokens)),
        2 => (0_usize..4, 0_u64..120, any::<bool>())
            .prop_map(|(at, percent, refund_now)| Step::Settle(at, percent, refund_now)),
        quota_changes => any::<bool>().prop_map(Step::SetQuota),
    ];
    prop::collection::vec(step, 1..60)
}

/// Tokens that a client spent for one request.
struct GrantedRequest {
    client: usize,
    at: Instant,
    reserved: u64,
    used: Option<u64>,
}

/// One bucket, its clients and the messages between them, in virtual time.
struct Harness {
    /// Whether spending counts as demand, so that clients request a stock in advance.
    records_demand: bool,
    now: Instant,
    bucket: PartBucket,
    clients: Vec<LeaseClient>,
    /// Requests in transit, with the client that sent them.
    requests: VecDeque<(usize, LeaseRequest)>,
    /// Responses in transit, with the client that they go to.
    responses: VecDeque<(usize, LeaseResponse)>,
    grants: Vec<GrantedRequest>,
}

fn holder_vm() -> VmId {
    "holder".parse().unwrap()
}

fn borrower(at: usize) -> VmId {
    format!("vm-{at}").parse().unwrap()
}

fn quota() -> Quota {
    Quota {
        rate: TokenRate::new(RATE as f64).unwrap(),
        burst: Tokens(BURST),
    }
}

fn client(at: usize, now: Instant) -> LeaseClient {
    let account: ClientAccount = "club".parse().unwrap();
    let local = LocalVm {
        vm: borrower(at),
        generation: Generation(1),
    };
    let times = LeaseTimes {
        batch: Duration::from_millis(500),
        life: LIFE,
    };
    let part = PartHolder {
        vm: holder_vm(),
        generation: Generation(1),
        epoch: Epoch(1),
    };
    let assignment = Assignment { parts: vec![part] };
    let mut client = LeaseClient::open(account, local, quota(), times, now);
    client.set_assignment(&assignment, &VmSnapshot::default(), now);
    client
}

impl Harness {
    fn open(records_demand: bool) -> Self {
        let now = Instant::now();
        Self {
            records_demand,
            now,
            bucket: PartBucket::open(quota(), LIFE, now),
            clients: (0..2).map(|at| client(at, now)).collect(),
            requests: VecDeque::new(),
            responses: VecDeque::new(),
            grants: Vec::new(),
        }
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Advance(ms) => self.now += Duration::from_millis(ms),
            Step::TakeRequests(at, queued) => self.take_requests(at, queued),
            Step::Exchange(at) => self.exchange(at, BURST),
            Step::DeliverRequest(at, duplicate) => self.deliver_request(at, duplicate),
            Step::DeliverResponse(at, duplicate) => self.deliver_response(at, duplicate),
            Step::Spend(at, tokens) => self.spend(at, tokens),
            Step::Settle(at, percent, refund_now) => self.settle(at, percent, refund_now),
            Step::SetQuota(half) => self.set_quota(if half { quota().part(2) } else { quota() }),
        }
    }

    fn set_quota(&mut self, quota: Quota) {
        self.bucket.set_quota(quota, self.now);
        for client in &mut self.clients {
            client.set_quota(quota);
        }
    }

    fn take_requests(&mut self, at: usize, queued: u64) {
        let queued = QueuedTokens {
            first: Tokens(queued),
            total: Tokens(queued),
        };
        let requests = self.clients[at].take_requests(queued, self.now);
        let requests = requests.into_iter().map(|outgoing| (at, outgoing.request));
        self.requests.extend(requests);
    }

    fn exchange(&mut self, at: usize, queued: u64) {
        self.take_requests(at, queued);
        self.deliver_request(self.requests.len().saturating_sub(1), false);
        self.deliver_response(self.responses.len().saturating_sub(1), false);
    }

    fn deliver_request(&mut self, at: usize, duplicate: bool) {
        let Some((from, request)) = self.requests.get(at).cloned() else {
            return;
        };
        if !duplicate {
            self.requests.remove(at);
        }
        let response = self.bucket.grant_lease(&borrower(from), &request, self.now);
        self.responses
            .extend(response.map(|response| (from, response)));
        let total = self.bucket.total_tokens(self.now);
        assert!(total <= Tokens(BURST), "{total} on hand and on lease");
    }

    fn deliver_response(&mut self, at: usize, duplicate: bool) {
        let Some((to, response)) = self.responses.get(at).cloned() else {
            return;
        };
        if !duplicate {
            self.responses.remove(at);
        }
        self.clients[to].on_response(&holder_vm(), &response, self.now);
    }

    fn spend(&mut self, at: usize, max_tokens: u64) {
        let client = &mut self.clients[at];
        let tokens = client.available(self.now).min(Tokens(max_tokens));
        if self.records_demand {
            client.record_demand(tokens, self.now);
        }
        if client.spend(tokens, self.now) {
            self.grants.push(GrantedRequest {
                client: at,
                at: self.now,
                reserved: tokens.0,
                used: None,
            });
        }
    }

    fn settle(&mut self, at: usize, percent: u64, refund_now: bool) {
        let unsettled = self.grants.iter_mut().filter(|grant| grant.used.is_none());
        let Some(grant) = unsettled.rev().nth(at) else {
            return;
        };
        let used = grant.reserved * percent / 100;
        grant.used = Some(used);
        let (reserved, used) = (Tokens(grant.reserved), Tokens(used));
        let client = &mut self.clients[grant.client];
        client.settle(reserved, used, grant.at, self.now);
        if refund_now {
            let at = grant.client;
            self.exchange(at, 0);
        }
    }

    fn overshoot(&self) -> u64 {
        let used =
            |grant: &GrantedRequest| grant.used.unwrap_or(grant.reserved).min(grant.reserved);
        let history = self.grants.iter().map(|grant| (grant.at, used(grant)));
        overshoot(history, RATE, BURST)
    }
}

fn config() -> Config {
    Config {
        cases: 4_000,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(11),
        ..Config::default()
    }
}

fn run(steps: &[Step], records_demand: bool) -> Result<(), TestCaseError> {
    let mut harness = Harness::open(records_demand);
    for step in steps {
        harness.step(step);
        let excess = harness.overshoot();
        prop_assert_eq!(excess, 0, "thousandths of a token above the bound");
    }
    Ok(())
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn hoarded_leases_stay_in_the_bound(steps in steps(0)) {
        run(&steps, false)?;
    }

    #[test]
    fn a_stock_stays_in_the_bound(steps in steps(0)) {
        run(&steps, true)?;
    }

    #[test]
    fn a_changed_share_stays_in_the_bound(steps in steps(1)) {
        run(&steps, false)?;
    }
}
