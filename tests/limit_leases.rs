//! One holder and its borrowers, which hoard tokens and spend them as late as they may.

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

#[derive(Clone, Debug)]
enum Step {
    Pass(u64),
    Plan(usize, u64),
    Ask(usize, bool),
    Answer(usize, bool),
    /// A whole exchange without delay.
    Take(usize),
    Spend(usize, u64),
    /// Settles one of the last grants; its refund may go out at once.
    Settle(usize, u64, bool),
    /// The share changes to half, or back to the whole.
    Resize(bool),
}

/// Steps, with changes of the share `resizes` times in about 20.
fn steps(resizes: u32) -> impl Strategy<Value = Vec<Step>> {
    let spans = [1, 30, 100, 500, 1_000, 1_900, 2_100];
    let pass = prop_oneof![1 => 1_u64..2_000, 4 => prop::sample::select(spans.to_vec())];
    let queued = prop_oneof![2 => 1_u64..2_500, 2 => Just(2_500), 1 => Just(0)];
    let spent = prop_oneof![1 => 1_u64..2_500, 2 => Just(2_500)];
    let step = prop_oneof![
        3 => pass.prop_map(Step::Pass),
        4 => (0_usize..2, queued).prop_map(|(at, tokens)| Step::Plan(at, tokens)),
        3 => (0_usize..4, any::<bool>()).prop_map(|(at, keep)| Step::Ask(at, keep)),
        3 => (0_usize..4, any::<bool>()).prop_map(|(at, keep)| Step::Answer(at, keep)),
        3 => (0_usize..2).prop_map(Step::Take),
        4 => (0_usize..2, spent).prop_map(|(at, tokens)| Step::Spend(at, tokens)),
        2 => (0_usize..4, 0_u64..120, any::<bool>())
            .prop_map(|(at, part, prompt)| Step::Settle(at, part, prompt)),
        resizes => any::<bool>().prop_map(Step::Resize),
    ];
    prop::collection::vec(step, 1..60)
}

struct Grant {
    spender: usize,
    at: Instant,
    reserved: u64,
    used: Option<u64>,
}

struct Bench {
    /// Whether spending counts as demand, so that a stock is asked for.
    stock: bool,
    now: Instant,
    holder: PartBucket,
    spenders: Vec<LeaseClient>,
    asks: VecDeque<(usize, LeaseRequest)>,
    answers: VecDeque<(usize, LeaseResponse)>,
    grants: Vec<Grant>,
}

fn holder_vm() -> VmId {
    "holder".parse().unwrap()
}

fn borrower(at: usize) -> VmId {
    format!("vm-{at}").parse().unwrap()
}

fn share() -> Quota {
    Quota {
        rate: TokenRate::new(RATE as f64).unwrap(),
        burst: Tokens(BURST),
    }
}

fn spender(at: usize, now: Instant) -> LeaseClient {
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
    let holding = Assignment { parts: vec![part] };
    let mut spender = LeaseClient::open(account, local, share(), times, now);
    spender.set_assignment(&holding, &VmSnapshot::default(), now);
    spender
}

impl Bench {
    fn open(stock: bool) -> Self {
        let now = Instant::now();
        Self {
            stock,
            now,
            holder: PartBucket::open(share(), LIFE, now),
            spenders: (0..2).map(|at| spender(at, now)).collect(),
            asks: VecDeque::new(),
            answers: VecDeque::new(),
            grants: Vec::new(),
        }
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Pass(ms) => self.now += Duration::from_millis(ms),
            Step::Plan(at, queued) => self.plan(at, queued),
            Step::Take(at) => self.exchange(at, BURST),
            Step::Ask(at, keep) => self.ask(at, keep),
            Step::Answer(at, keep) => self.answer(at, keep),
            Step::Spend(at, tokens) => self.spend(at, tokens),
            Step::Settle(at, part, prompt) => self.settle(at, part, prompt),
            Step::Resize(half) => self.set_quota(if half { share().part(2) } else { share() }),
        }
    }

    fn set_quota(&mut self, share: Quota) {
        self.holder.set_quota(share, self.now);
        for spender in &mut self.spenders {
            spender.set_quota(share);
        }
    }

    fn plan(&mut self, at: usize, queued: u64) {
        let queued = QueuedTokens {
            first: Tokens(queued),
            total: Tokens(queued),
        };
        let sendings = self.spenders[at].take_requests(queued, self.now);
        let asks = sendings.into_iter().map(|sending| (at, sending.request));
        self.asks.extend(asks);
    }

    fn exchange(&mut self, at: usize, queued: u64) {
        self.plan(at, queued);
        self.ask(self.asks.len().saturating_sub(1), false);
        self.answer(self.answers.len().saturating_sub(1), false);
    }

    fn ask(&mut self, at: usize, keep: bool) {
        let Some((from, ask)) = self.asks.get(at).cloned() else {
            return;
        };
        if !keep {
            self.asks.remove(at);
        }
        let answer = self.holder.grant_lease(&borrower(from), &ask, self.now);
        self.answers.extend(answer.map(|answer| (from, answer)));
        let total = self.holder.total_tokens(self.now);
        assert!(total <= Tokens(BURST), "{total} on hand and on lease");
    }

    fn answer(&mut self, at: usize, keep: bool) {
        let Some((to, answer)) = self.answers.get(at).cloned() else {
            return;
        };
        if !keep {
            self.answers.remove(at);
        }
        self.spenders[to].on_response(&holder_vm(), &answer, self.now);
    }

    fn spend(&mut self, at: usize, most: u64) {
        let spender = &mut self.spenders[at];
        let tokens = spender.available(self.now).min(Tokens(most));
        if self.stock {
            spender.record_demand(tokens, self.now);
        }
        if spender.spend(tokens, self.now) {
            self.grants.push(Grant {
                spender: at,
                at: self.now,
                reserved: tokens.0,
                used: None,
            });
        }
    }

    fn settle(&mut self, at: usize, part: u64, prompt: bool) {
        let open = self.grants.iter_mut().filter(|grant| grant.used.is_none());
        let Some(grant) = open.rev().nth(at) else {
            return;
        };
        let used = grant.reserved * part / 100;
        grant.used = Some(used);
        let (reserved, used) = (Tokens(grant.reserved), Tokens(used));
        let spender = &mut self.spenders[grant.spender];
        spender.settle(reserved, used, grant.at, self.now);
        if prompt {
            let at = grant.spender;
            self.exchange(at, 0);
        }
    }

    fn overshoot(&self) -> u64 {
        let used = |grant: &Grant| grant.used.unwrap_or(grant.reserved).min(grant.reserved);
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

fn run(steps: &[Step], stock: bool) -> Result<(), TestCaseError> {
    let mut bench = Bench::open(stock);
    for step in steps {
        bench.step(step);
        let over = bench.overshoot();
        prop_assert_eq!(over, 0, "thousandths of a token above the bound");
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
