//! Tests for the dispatch of a request: the number of attempts, their upstreams, and what the
//! caller gets.

mod route_support;

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use basilgw::clock::SystemClock;
use basilgw::ids::{Generation, UpstreamId};
use basilgw::outcome::{Ran, Reason, Refusal};
use basilgw::route::balancer::{Balancer, BalancerSettings};
use basilgw::route::dispatch::{Dispatched, Dispatcher, Job};
use basilgw::route::{
    ChoiceContext, Chooser, DispatchOutcome, SendError, Transport, UpstreamRequest,
    UpstreamResponse, upstream_id,
};
use basilgw::store::{Instance, InstanceKind};
use bytes::Bytes;
use futures_util::future::BoxFuture;
use futures_util::stream::{self, StreamExt};
use http::{HeaderMap, HeaderValue, StatusCode};
use proptest::prelude::*;
use route_support::{instance, post};

const UNSENT: Plan = Plan::Fail(SendError::NotSent(Reason::UpstreamFailed));
const LOST: Plan = Plan::Fail(SendError::ResponseLost(Reason::UpstreamSilent));
const DECLINED: Plan = Plan::Fail(SendError::Declined);

/// What the transport does with one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Plan {
    Fail(SendError),
    /// A response: its status, its number of chunks, and whether the body fails after them.
    Respond(u16, usize, bool),
}

impl Plan {
    /// Whether the request may have run at the upstream.
    fn may_run(self) -> bool {
        !matches!(
            self,
            Self::Fail(SendError::NotSent(_) | SendError::Declined)
        )
    }
}

/// A transport that follows a list of plans and records the requests it is given.
#[derive(Debug, Default)]
struct ScriptedTransport {
    plans: Mutex<VecDeque<Plan>>,
    sent: Mutex<Vec<(Instance, UpstreamRequest, Plan)>>,
}

impl Transport for ScriptedTransport {
    fn send<'a>(
        &'a self,
        to: &'a Instance,
        request: UpstreamRequest,
        _deadline: Instant,
    ) -> BoxFuture<'a, Result<UpstreamResponse, SendError>> {
        Box::pin(async move {
            let plan = self.plans.lock().expect("no panic").pop_front();
            let plan = plan.unwrap_or(Plan::Respond(200, 1, false));
            let mut sent = self.sent.lock().expect("no panic");
            sent.push((to.clone(), request, plan));
            match plan {
                Plan::Fail(error) => Err(error),
                Plan::Respond(status, chunks, truncated) => Ok(response(status, chunks, truncated)),
            }
        })
    }
}

fn response(status: u16, chunks: usize, truncated: bool) -> UpstreamResponse {
    let complete = (0..chunks).map(|_| Ok(Bytes::from_static(b"x")));
    let end = truncated.then_some(Err(Refusal::unknown(Reason::UpstreamFailed)));
    UpstreamResponse {
        status: StatusCode::from_u16(status).expect("a status"),
        headers: HeaderMap::new(),
        body: stream::iter(complete.chain(end).collect::<Vec<_>>()).boxed(),
    }
}

struct Setup {
    transport: Arc<ScriptedTransport>,
    balancer: Arc<Balancer>,
    dispatcher: Dispatcher,
    instances: Vec<Instance>,
}

impl Setup {
    fn open(kind: InstanceKind, plans: &[Plan]) -> Self {
        let clock = SystemClock::open();
        let settings = BalancerSettings {
            centre: "dc-a".parse().expect("an id"),
            retry_percent: 10,
            seed: 6,
        };
        let balancer = Arc::new(Balancer::open(&settings, clock.now()));
        let transport = Arc::new(ScriptedTransport::default());
        transport.plans.lock().expect("no panic").extend(plans);
        let dispatcher = Dispatcher::open(
            Arc::clone(&balancer) as _,
            Arc::clone(&transport) as _,
            Arc::clone(&clock),
            3,
        );
        let address = ([127, 0, 0, 1], 1).into();
        let instances = ["u1", "u2", "u3"].map(|name| instance(name, address, kind));
        Self {
            transport,
            balancer,
            dispatcher,
            instances: instances.into(),
        }
    }

    async fn dispatch(&self, idempotent: bool) -> Result<Dispatched, Refusal> {
        let job = Job {
            request: post("/book", "{}"),
            idempotent,
            deadline: Instant::now() + Duration::from_secs(10),
            prefix: None,
            replicas: BTreeMap::from([(id("u1"), "r1".parse().expect("an id"))]),
        };
        self.dispatcher.dispatch(&self.instances, &job).await
    }

    fn sent(&self) -> Vec<(Instance, UpstreamRequest, Plan)> {
        self.transport.sent.lock().expect("no panic").clone()
    }

    fn in_flight(&self) -> u32 {
        ["u1", "u2", "u3"]
            .map(|name| self.balancer.in_flight(&id(name)))
            .iter()
            .sum()
    }
}

fn id(name: &str) -> UpstreamId {
    name.parse().expect("an id")
}

async fn drain(dispatched: Dispatched) -> Result<usize, Refusal> {
    let mut body = dispatched.response.body;
    let mut count = 0;
    while let Some(chunk) = body.next().await {
        count += chunk?.len();
    }
    Ok(count)
}

#[tokio::test]
async fn a_request_that_must_not_repeat_is_sent_once() {
    for plan in [
        LOST,
        DECLINED,
        Plan::Respond(503, 0, false),
        Plan::Respond(200, 0, true),
    ] {
        let setup = Setup::open(InstanceKind::Service, &[plan]);
        let result = setup.dispatch(false).await;
        assert_eq!(setup.sent().len(), 1, "{plan:?}");
        assert!(setup.sent()[0].1.new_connection);
        match plan {
            LOST => assert_eq!(result.expect_err("lost").ran, Ran::Unknown),
            DECLINED => assert_eq!(result.expect_err("declined").ran, Ran::No),
            _ => drop(result.expect("a response")),
        }
    }
}

#[tokio::test]
async fn an_unsent_request_goes_elsewhere() {
    let setup = Setup::open(InstanceKind::Service, &[UNSENT]);
    let dispatched = setup
        .dispatch(false)
        .await
        .expect("a response from the second");
    let sent = setup.sent();
    assert_eq!(sent.len(), 2);
    assert_ne!(sent[0].0.vm, sent[1].0.vm);
    assert_eq!(drain(dispatched).await, Ok(1));
}

#[tokio::test]
async fn an_idempotent_request_is_tried_elsewhere_until_its_tries_end() {
    let setup = Setup::open(
        InstanceKind::Service,
        &[LOST, DECLINED, Plan::Respond(200, 0, true)],
    );
    let refusal = setup
        .dispatch(true)
        .await
        .expect_err("three failed attempts");
    assert_eq!(
        (refusal.reason, refusal.ran),
        (Reason::UpstreamFailed, Ran::Unknown)
    );
    let mut names: Vec<_> = setup.sent().iter().map(|sent| sent.0.vm.clone()).collect();
    names.sort();
    names.dedup();
    assert_eq!(names.len(), 3);
}

#[tokio::test]
async fn the_same_upstream_is_tried_again_where_it_is_the_only_one() {
    let mut setup = Setup::open(InstanceKind::Service, &[LOST]);
    setup.instances.truncate(1);
    drop(
        setup
            .dispatch(true)
            .await
            .expect("a response to the second attempt"),
    );
    assert_eq!(setup.sent().len(), 2);
}

#[tokio::test]
async fn what_fails_after_its_first_byte_is_not_tried_again() {
    let setup = Setup::open(InstanceKind::Engine, &[Plan::Respond(200, 2, true)]);
    let dispatched = setup.dispatch(true).await.expect("a first chunk");
    let end = drain(dispatched).await;
    assert_eq!(end, Err(Refusal::unknown(Reason::UpstreamFailed)));
    assert_eq!(setup.sent().len(), 1);
}

#[tokio::test]
async fn a_failure_answered_last_is_handed_on() {
    let plans = [Plan::Respond(503, 0, false); 3];
    let setup = Setup::open(InstanceKind::Service, &plans);
    let dispatched = setup.dispatch(true).await.expect("the last response");
    assert_eq!(dispatched.response.status, 503);
    assert_eq!(setup.sent().len(), 3);
    let error = [Plan::Respond(500, 0, false)];
    let setup = Setup::open(InstanceKind::Service, &error);
    assert_eq!(
        setup
            .dispatch(true)
            .await
            .expect("a response")
            .response
            .status,
        500
    );
    assert_eq!(setup.sent().len(), 1);
}

#[tokio::test]
async fn retries_stop_when_the_budget_is_used_up() {
    // This failure does not count against an upstream, so no circuit breaker opens.
    let internal = Plan::Fail(SendError::NotSent(Reason::Internal));
    let setup = Setup::open(InstanceKind::Service, &[internal; 200]);
    for _ in 0..50 {
        setup.dispatch(true).await.expect_err("all fail");
    }
    assert_eq!(setup.sent().len(), 50 + 10);
}

#[tokio::test]
async fn each_request_ends_once() {
    let mut setup = Setup::open(InstanceKind::Service, &[]);
    setup.instances.truncate(1);
    let first = setup.dispatch(true).await.expect("a response");
    let second = setup.dispatch(true).await.expect("a response");
    assert_eq!(setup.in_flight(), 2);
    assert_eq!(drain(second).await, Ok(1));
    assert_eq!(setup.in_flight(), 1);
    drop(first);
    assert_eq!(setup.in_flight(), 0);
}

#[tokio::test]
async fn an_engine_that_goes_on_declining_is_left_alone() {
    let mut setup = Setup::open(InstanceKind::Engine, &[DECLINED; 50]);
    setup.instances.truncate(1);
    for _ in 0..50 {
        let refusal = setup
            .dispatch(true)
            .await
            .expect_err("the only one declines");
        assert_eq!(refusal.ran, Ran::No);
        assert!(refusal.retry.is_some());
    }
    assert!(setup.sent().len() <= 10, "{}", setup.sent().len());
}

#[tokio::test]
async fn an_engine_that_declined_once_gets_the_next() {
    let mut setup = Setup::open(InstanceKind::Engine, &[DECLINED]);
    setup.instances.truncate(1);
    let first = setup.dispatch(false).await.expect_err("declined");
    assert_eq!(first.ran, Ran::No);
    setup.dispatch(true).await.expect("a response");
}

#[tokio::test]
async fn each_engine_hears_the_name_of_its_own_replica() {
    let setup = Setup::open(InstanceKind::Engine, &[LOST, LOST]);
    drop(setup.dispatch(true).await);
    for (to, request, _) in setup.sent() {
        let replica = request.headers.get("x-replica").map(HeaderValue::as_bytes);
        let expected = (to.vm.as_str() == "u1").then_some(&b"r1"[..]);
        assert_eq!(replica, expected);
        assert!(request.new_connection);
    }
}

#[tokio::test]
async fn a_passed_deadline_ends_the_tries() {
    let setup = Setup::open(InstanceKind::Service, &[LOST; 3]);
    let job = Job {
        request: post("/x", "{}"),
        idempotent: true,
        deadline: Instant::now(),
        prefix: None,
        replicas: BTreeMap::new(),
    };
    let result = setup.dispatcher.dispatch(&setup.instances, &job).await;
    result.expect_err("too late");
    assert_eq!(setup.sent().len(), 1);
}

/// A chooser that records for each dispatch whether a response time was reported.
#[derive(Debug, Default)]
struct RecordingChooser(Mutex<Vec<bool>>);

impl Chooser for RecordingChooser {
    fn choose(
        &self,
        instances: &[Instance],
        _context: &ChoiceContext,
        _now: Instant,
    ) -> Option<UpstreamId> {
        instances.first().and_then(upstream_id)
    }

    fn record_outcome(
        &self,
        _: &UpstreamId,
        _: DispatchOutcome,
        response_time: Option<Duration>,
        _now: Instant,
    ) {
        self.0
            .lock()
            .expect("no panic")
            .push(response_time.is_some());
    }

    fn on_leaving(&self, _upstream: &UpstreamId, _generation: Generation) {}

    fn try_retry(&self, _now: Instant) -> bool {
        false
    }
}

#[tokio::test]
async fn only_good_whole_answers_count_as_fast() {
    for (plan, expected) in [
        (Plan::Respond(200, 1, false), true),
        (Plan::Respond(200, 1, true), false),
        (Plan::Respond(404, 1, false), false),
        (Plan::Respond(500, 1, false), false),
        (LOST, false),
    ] {
        let mut setup = Setup::open(InstanceKind::Service, &[plan]);
        let recorder = Arc::new(RecordingChooser::default());
        let transport = Arc::clone(&setup.transport);
        let chooser = Arc::clone(&recorder);
        setup.dispatcher = Dispatcher::open(chooser, transport, SystemClock::open(), 1);
        let end = match setup.dispatch(false).await {
            Ok(dispatched) => drain(dispatched).await,
            Err(refusal) => Err(refusal),
        };
        drop(end);
        assert_eq!(
            *recorder.0.lock().expect("no panic"),
            [expected],
            "{plan:?}"
        );
    }
}

fn plan() -> impl Strategy<Value = Plan> {
    prop_oneof![
        Just(UNSENT),
        Just(LOST),
        Just(DECLINED),
        (
            prop::sample::select(vec![200_u16, 500, 502, 503]),
            0..3_usize,
            any::<bool>()
        )
            .prop_map(|(status, chunks, truncated)| Plan::Respond(status, chunks, truncated)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn what_a_caller_is_told_is_true(
        plans in proptest::collection::vec(plan(), 0..5),
        idempotent in any::<bool>(),
        read in any::<bool>(),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("a runtime");
        let setup = Setup::open(InstanceKind::Service, &plans);
        let result = runtime.block_on(setup.dispatch(idempotent));
        let sent = setup.sent();
        let may_have_run = sent.iter().filter(|sent| sent.2.may_run()).count();
        prop_assert!(sent.len() <= 3);
        if !idempotent {
            let written = sent.iter().filter(|sent| sent.2 != UNSENT).count();
            prop_assert!(written <= 1, "written to {written} connections");
        }
        match result {
            Err(refusal) if refusal.ran == Ran::No => prop_assert_eq!(may_have_run, 0),
            Err(refusal) => prop_assert_eq!(refusal.ran, Ran::Unknown),
            Ok(dispatched) => {
                let Some(&(_, _, Plan::Respond(_, chunks, truncated))) = sent.last() else {
                    return Err(TestCaseError::fail("a response that was not sent"));
                };
                if read {
                    let end = runtime.block_on(drain(dispatched));
                    prop_assert_eq!(end.ok(), (!truncated).then_some(chunks));
                } else {
                    drop(dispatched);
                }
            }
        }
        prop_assert_eq!(setup.in_flight(), 0);
    }
}
