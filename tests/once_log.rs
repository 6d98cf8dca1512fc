//! Tests that a request with an idempotency key runs at most once, whatever store call fails.

mod once_support;

use std::sync::Arc;

use basilgw::clock::SystemClock;
use basilgw::ids::Generation;
use basilgw::once::record::MAX_BODY_BYTES;
use basilgw::once::store_log::{RecordOwner, StoreOnceLog};
use basilgw::once::{Attempt, AttemptOutcome, BeginResult, OnceKey, OnceLog, RecordedResponse};
use basilgw::outcome::{Ran, Reason, Refusal};
use bytes::Bytes;
use futures_util::future::join_all;
use once_support::{Fault, MemoryStore, MissingVms};
use proptest::collection::vec;
use proptest::prelude::*;

const VMS: usize = 3;
const KEYS: usize = 2;

/// Some VMs, each with its own log, and the store and the instance list that they share.
struct Fleet {
    store: Arc<MemoryStore>,
    missing: Arc<MissingVms>,
    owners: Vec<RecordOwner>,
    logs: Vec<Arc<StoreOnceLog>>,
}

impl Fleet {
    fn open() -> Self {
        let owner = |number| RecordOwner {
            vm: format!("vm{number}").parse().expect("an id"),
            generation: Generation(1),
        };
        let mut fleet = Self {
            store: Arc::default(),
            missing: MissingVms::open(),
            owners: (0..VMS).map(owner).collect(),
            logs: Vec::new(),
        };
        fleet.logs = (0..VMS).map(|vm| fleet.log(vm)).collect();
        fleet
    }

    fn log(&self, vm: usize) -> Arc<StoreOnceLog> {
        let store = Arc::clone(&self.store);
        let missing = Arc::clone(&self.missing);
        StoreOnceLog::open(store, missing, SystemClock::open(), self.owners[vm].clone())
    }

    /// Kills a VM and restarts it without its pending outcomes, as the next generation.
    fn kill(&mut self, vm: usize) {
        let generation = self.owners[vm].generation;
        self.owners[vm].generation = generation.next();
        self.logs[vm] = self.log(vm);
    }

    fn remove_from_list(&self, vm: usize) {
        let owner = &self.owners[vm];
        self.missing.add(&owner.vm, owner.generation);
    }

    async fn begin(&self, vm: usize, key: usize) -> Result<BeginResult, Refusal> {
        self.logs[vm].begin(once_key(key)).await
    }

    async fn run(&self, vm: usize) -> Attempt {
        match self.begin(vm, 0).await.expect("may run") {
            BeginResult::Run(attempt) => attempt,
            BeginResult::Repeat(response) => panic!("nothing ran, but got {response:?}"),
        }
    }

    async fn refused(&self, vm: usize) -> Refusal {
        self.begin(vm, 0).await.expect_err("refused")
    }
}

fn once_key(number: usize) -> OnceKey {
    OnceKey {
        account: "club".parse().expect("an id"),
        route: "book".parse().expect("an id"),
        key: format!("key {number}").into(),
        digest: [1; 32],
    }
}

fn response(text: &str) -> RecordedResponse {
    RecordedResponse {
        status: 201,
        content_type: "text/plain".into(),
        body: Bytes::copy_from_slice(text.as_bytes()),
    }
}

#[tokio::test(start_paused = true)]
async fn a_repeat_elsewhere_gets_the_recorded_answer() {
    let fleet = Fleet::open();
    let attempt = fleet.run(0).await;
    let refusal = fleet.refused(1).await;
    assert_eq!(
        (refusal.reason, refusal.ran),
        (Reason::InProgress, Ran::Unknown)
    );
    fleet.logs[0]
        .finish(attempt, AttemptOutcome::Ran(response("slot 7")))
        .await;
    for vm in 0..VMS {
        let repeat = fleet.begin(vm, 0).await.expect("a repeat");
        assert!(matches!(repeat, BeginResult::Repeat(recorded) if recorded == response("slot 7")));
    }
}

#[tokio::test(start_paused = true)]
async fn what_surely_did_not_run_may_be_tried_again() {
    let fleet = Fleet::open();
    let attempt = fleet.run(0).await;
    fleet.logs[0].finish(attempt, AttemptOutcome::NotRun).await;
    assert_eq!(fleet.store.objects().len(), 0);
    fleet.run(1).await;
}

#[tokio::test(start_paused = true)]
async fn after_its_vm_died_the_outcome_is_unknown_for_good() {
    let mut fleet = Fleet::open();
    drop(fleet.run(0).await);
    assert_eq!(fleet.refused(1).await.reason, Reason::InProgress);
    fleet.remove_from_list(0);
    fleet.kill(0);
    for vm in [1, 0, 2] {
        let refusal = fleet.refused(vm).await;
        assert_eq!(refusal, Refusal::unknown(Reason::UpstreamFailed));
    }
}

#[tokio::test(start_paused = true)]
async fn a_live_vm_that_the_list_lost_still_records_its_answer() {
    let fleet = Fleet::open();
    let attempt = fleet.run(0).await;
    fleet.remove_from_list(0);
    assert_eq!(fleet.refused(1).await.ran, Ran::Unknown);
    fleet.logs[0]
        .finish(attempt, AttemptOutcome::Ran(response("late")))
        .await;
    let repeat = fleet.begin(2, 0).await.expect("a repeat");
    assert!(matches!(repeat, BeginResult::Repeat(recorded) if recorded == response("late")));
}

#[tokio::test(start_paused = true)]
async fn another_request_with_the_same_key_did_not_run() {
    let fleet = Fleet::open();
    fleet.run(0).await;
    let mut other = once_key(0);
    other.digest = [2; 32];
    let refusal = fleet.logs[1]
        .begin(other)
        .await
        .expect_err("another request");
    assert_eq!(refusal, Refusal::not_run(Reason::Conflict));
}

#[tokio::test(start_paused = true)]
async fn a_stale_record_of_another_request_does_not_hide_a_run() {
    let fleet = Fleet::open();
    let mut other = once_key(0);
    other.digest = [2; 32];
    let Ok(BeginResult::Run(attempt)) = fleet.logs[0].begin(other).await else {
        panic!("a new key");
    };
    fleet.store.freeze_stale_reads();
    fleet.logs[0].finish(attempt, AttemptOutcome::NotRun).await;
    let attempt = fleet.run(0).await;
    fleet.logs[0]
        .finish(attempt, AttemptOutcome::Ran(response("ran")))
        .await;
    fleet.store.inject([Fault::None, Fault::Stale]);
    let repeat = fleet.begin(1, 0).await.expect("a repeat");
    assert!(matches!(repeat, BeginResult::Repeat(recorded) if recorded == response("ran")));
}

#[tokio::test(start_paused = true)]
async fn a_stale_record_of_another_attempt_does_not_hide_an_unwritten_end() {
    let fleet = Fleet::open();
    let attempt = fleet.run(0).await;
    fleet.store.freeze_stale_reads();
    fleet.logs[0].finish(attempt, AttemptOutcome::NotRun).await;
    let attempt = fleet.run(0).await;
    fleet.store.inject([Fault::RequestLost, Fault::Stale]);
    let outcome = AttemptOutcome::Ran(response("ran"));
    fleet.logs[0].finish(attempt, outcome).await;
    assert_eq!(fleet.logs[0].flush().await, 0);
    let repeat = fleet.begin(1, 0).await.expect("a repeat");
    assert!(matches!(repeat, BeginResult::Repeat(recorded) if recorded == response("ran")));
}

#[tokio::test(start_paused = true)]
async fn accounts_and_routes_do_not_share_keys() {
    let fleet = Fleet::open();
    fleet.run(0).await;
    let (mut account, mut route) = (once_key(0), once_key(0));
    account.account = "rival".parse().expect("an id");
    route.route = "draw".parse().expect("an id");
    for key in [account, route] {
        let begin = fleet.logs[0].begin(key).await.expect("another key");
        assert!(matches!(begin, BeginResult::Run(_)));
    }
}

#[tokio::test(start_paused = true)]
async fn a_store_that_is_down_means_not_run_and_when_to_come_back() {
    let fleet = Fleet::open();
    fleet.store.inject([Fault::Unavailable]);
    let refusal = fleet.refused(0).await;
    assert_eq!(
        (refusal.reason, refusal.ran),
        (Reason::StoreUnavailable, Ran::No)
    );
    assert!(refusal.retry.is_some());
    fleet.run(0).await;
}

#[tokio::test(start_paused = true)]
async fn an_earlier_attempt_that_cannot_be_read_is_not_called_not_run() {
    let fleet = Fleet::open();
    fleet.run(0).await;
    fleet.store.inject([Fault::None, Fault::Unavailable]);
    let refusal = fleet.refused(1).await;
    assert_eq!(
        (refusal.reason, refusal.ran),
        (Reason::StoreUnavailable, Ran::Unknown)
    );
}

#[tokio::test(start_paused = true)]
async fn a_lost_answer_of_the_creation_is_settled_by_reading() {
    for fault in [Fault::ResponseLost, Fault::RequestLost, Fault::AppliedLater] {
        let fleet = Fleet::open();
        fleet.store.inject([fault]);
        fleet.run(0).await;
        fleet.store.apply_late_writes();
        assert_eq!(
            fleet.refused(1).await.reason,
            Reason::InProgress,
            "{fault:?}"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn a_creation_given_up_on_that_appears_later_is_cleared_away() {
    let fleet = Fleet::open();
    fleet
        .store
        .inject([Fault::AppliedLater, Fault::Unavailable]);
    assert_eq!(fleet.refused(0).await.ran, Ran::No);
    assert_eq!(fleet.logs[0].flush().await, 1);
    fleet.store.apply_late_writes();
    assert_eq!(fleet.refused(1).await.reason, Reason::InProgress);
    assert_eq!(fleet.logs[0].flush().await, 0);
    fleet.run(1).await;
}

#[tokio::test(start_paused = true)]
async fn an_outcome_survives_an_outage_while_its_vm_lives() {
    let fleet = Fleet::open();
    let attempt = fleet.run(0).await;
    fleet.store.inject([Fault::Unavailable; 2]);
    fleet.logs[0]
        .finish(attempt, AttemptOutcome::Ran(response("kept")))
        .await;
    let repeat = fleet.begin(0, 0).await.expect("a repeat without the store");
    assert!(matches!(repeat, BeginResult::Repeat(recorded) if recorded == response("kept")));
    fleet.store.clear_faults();
    assert_eq!(fleet.logs[0].flush().await, 0);
    let repeat = fleet.begin(1, 0).await.expect("a repeat elsewhere");
    assert!(matches!(repeat, BeginResult::Repeat(recorded) if recorded == response("kept")));
}

#[tokio::test(start_paused = true)]
async fn a_repeat_given_up_on_does_not_hide_an_end_that_waits() {
    let fleet = Fleet::open();
    let attempt = fleet.run(0).await;
    fleet.store.inject([Fault::RequestLost]);
    assert_eq!(fleet.refused(0).await.reason, Reason::InProgress);
    fleet.store.inject([Fault::Unavailable; 8]);
    let outcome = AttemptOutcome::Ran(response("kept"));
    fleet.logs[0].finish(attempt, outcome).await;
    let repeat = fleet.begin(0, 0).await.expect("a repeat without the store");
    assert!(matches!(repeat, BeginResult::Repeat(recorded) if recorded == response("kept")));
}

#[tokio::test(start_paused = true)]
async fn a_known_other_attempt_is_not_forgotten_in_an_outage() {
    let fleet = Fleet::open();
    fleet.run(1).await;
    fleet.store.inject([Fault::RequestLost]);
    assert_eq!(fleet.refused(0).await.reason, Reason::InProgress);
    fleet.store.inject([Fault::Unavailable]);
    let refusal = fleet.refused(0).await;
    assert_eq!(
        (refusal.reason, refusal.ran),
        (Reason::StoreUnavailable, Ran::Unknown)
    );
}

#[tokio::test(start_paused = true)]
async fn an_answer_too_large_to_keep_is_said_to_have_run() {
    let fleet = Fleet::open();
    let attempt = fleet.run(0).await;
    let large = "x".repeat(MAX_BODY_BYTES + 1);
    fleet.logs[0]
        .finish(attempt, AttemptOutcome::Ran(response(&large)))
        .await;
    assert_eq!(fleet.refused(1).await, Refusal::ran(Reason::Capacity));
    assert!(fleet.store.objects()[0].len() < 1000);
}

/// One step of a generated test case.
#[derive(Clone, Debug)]
enum Step {
    /// The request with this number arrives at several VMs at the same time.
    Begin(usize, Vec<usize>),
    /// The oldest running attempt of a VM ends: 0 is "not run", 1 is "unknown", 2 is "ran".
    Finish(usize, u8),
    Kill(usize),
    /// The instance list no longer shows a VM, which may still run.
    Unlist(usize),
    Flush(usize),
    Inject(Vec<Fault>),
    ApplyLateWrites,
}

fn step() -> impl Strategy<Value = Step> {
    let fault = prop::sample::select(vec![
        Fault::None,
        Fault::Unavailable,
        Fault::ResponseLost,
        Fault::RequestLost,
        Fault::AppliedLater,
        Fault::Stale,
    ]);
    prop_oneof![
        4 => (0..KEYS, vec(0..VMS, 1..4)).prop_map(|(key, vms)| Step::Begin(key, vms)),
        3 => (0..VMS, 0..3_u8).prop_map(|(vm, outcome)| Step::Finish(vm, outcome)),
        1 => (0..VMS).prop_map(Step::Kill),
        1 => (0..VMS).prop_map(Step::Unlist),
        1 => (0..VMS).prop_map(Step::Flush),
        3 => vec(fault, 1..8).prop_map(Step::Inject),
        1 => Just(Step::ApplyLateWrites),
    ]
}

/// What actually happened to one request, to check the log's results against.
#[derive(Debug, Default)]
struct ActualState {
    /// The VM whose attempt may be running.
    running: Option<usize>,
    /// Whether the request ran or may have run, so that it must not run again.
    may_have_run: bool,
    response: Option<RecordedResponse>,
}

/// The VMs, their running attempts and what actually happened to each request.
struct Simulation {
    fleet: Fleet,
    attempts: Vec<Vec<(usize, Attempt)>>,
    actual: Vec<ActualState>,
    runs: usize,
}

impl Simulation {
    fn open() -> Self {
        Self {
            fleet: Fleet::open(),
            attempts: (0..VMS).map(|_| Vec::new()).collect(),
            actual: (0..KEYS).map(|_| ActualState::default()).collect(),
            runs: 0,
        }
    }

    async fn step(&mut self, step: Step) -> Result<(), TestCaseError> {
        match step {
            Step::Begin(key, vms) => {
                let begun = join_all(vms.iter().map(|&vm| self.fleet.begin(vm, key))).await;
                for (vm, begin) in vms.into_iter().zip(begun) {
                    self.check(vm, key, begin)?;
                }
            }
            Step::Finish(vm, outcome) => self.finish(vm, outcome).await,
            Step::Kill(vm) => {
                self.fleet.kill(vm);
                for (key, _) in self.attempts[vm].drain(..) {
                    self.actual[key].running = None;
                    self.actual[key].may_have_run = true;
                }
            }
            Step::Unlist(vm) => self.fleet.remove_from_list(vm),
            Step::Flush(vm) => {
                self.fleet.logs[vm].flush().await;
            }
            Step::Inject(faults) => self.fleet.store.inject(faults),
            Step::ApplyLateWrites => self.fleet.store.apply_late_writes(),
        }
        Ok(())
    }

    fn check(
        &mut self,
        vm: usize,
        key: usize,
        begin: Result<BeginResult, Refusal>,
    ) -> Result<(), TestCaseError> {
        let actual = &mut self.actual[key];
        match begin {
            Ok(BeginResult::Run(attempt)) => {
                prop_assert_eq!(actual.running, None, "two attempts may run");
                prop_assert!(!actual.may_have_run, "a second run");
                actual.running = Some(vm);
                self.attempts[vm].push((key, attempt));
            }
            Ok(BeginResult::Repeat(response)) => {
                prop_assert_eq!(Some(&response), actual.response.as_ref());
            }
            Err(refusal) if refusal.ran == Ran::No => {
                prop_assert_eq!(refusal.reason, Reason::StoreUnavailable);
            }
            Err(refusal) => prop_assert_eq!(refusal.ran, Ran::Unknown),
        }
        Ok(())
    }

    async fn finish(&mut self, vm: usize, outcome: u8) {
        if self.attempts[vm].is_empty() {
            return;
        }
        let (key, attempt) = self.attempts[vm].remove(0);
        let actual = &mut self.actual[key];
        actual.running = None;
        let outcome = match outcome {
            0 => AttemptOutcome::NotRun,
            1 => AttemptOutcome::Unknown,
            _ => {
                self.runs += 1;
                AttemptOutcome::Ran(response(&self.runs.to_string()))
            }
        };
        if outcome != AttemptOutcome::NotRun {
            actual.may_have_run = true;
        }
        if let AttemptOutcome::Ran(response) = &outcome {
            actual.response = Some(response.clone());
        }
        self.fleet.logs[vm].finish(attempt, outcome).await;
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_order_of_faults_runs_a_request_twice(steps in vec(step(), 1..40)) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("a runtime");
        let mut simulation = Simulation::open();
        for step in steps {
            runtime.block_on(simulation.step(step))?;
        }
    }
}
