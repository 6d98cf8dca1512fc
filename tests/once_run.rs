//! Tests for a non-idempotent request from the creation of its record to the recorded response,
//! against a loopback upstream.

mod once_support;
mod route_support;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use basilgw::clock::SystemClock;
use basilgw::ids::Generation;
use basilgw::once::runner::OnceRunner;
use basilgw::once::store_log::{RecordOwner, StoreOnceLog};
use basilgw::once::{OnceKey, RecordedResponse};
use basilgw::outcome::{Ran, Reason, Refusal};
use basilgw::route::balancer::{Balancer, BalancerSettings};
use basilgw::route::dispatch::{Dispatcher, Job};
use basilgw::route::http::HttpTransport;
use basilgw::store::InstanceKind;
use once_support::{Fault, MemoryStore, MissingVms};
use route_support::{Action, ScriptedUpstream, instance, post, settings};

const BOOKED: &str =
    "HTTP/1.1 201 Created\r\nContent-Type: text/plain\r\nContent-Length: 6\r\n\r\nslot 7";

fn runner(store: &Arc<MemoryStore>, vm: &str) -> OnceRunner {
    let clock = SystemClock::open();
    let mut settings = settings();
    settings.silence = 300;
    let transport = HttpTransport::open(Arc::clone(&clock), &settings).expect("builds");
    let choose = BalancerSettings {
        centre: "dc-a".parse().expect("an id"),
        retry_percent: 10,
        seed: 6,
    };
    let balancer = Balancer::open(&choose, clock.now());
    let dispatcher = Dispatcher::open(
        Arc::new(balancer),
        Arc::new(transport),
        Arc::clone(&clock),
        3,
    );
    let owner = RecordOwner {
        vm: vm.parse().expect("an id"),
        generation: Generation(1),
    };
    let log = StoreOnceLog::open(Arc::clone(store) as _, MissingVms::open(), clock, owner);
    OnceRunner::open(log, dispatcher)
}

async fn book(
    runner: &OnceRunner,
    upstream: &ScriptedUpstream,
) -> Result<RecordedResponse, Refusal> {
    let key = OnceKey {
        account: "club".parse().expect("an id"),
        route: "book".parse().expect("an id"),
        key: "k".into(),
        digest: [1; 32],
    };
    let job = Job {
        request: post("/book", "{}"),
        // The runner must ignore this and treat the request as non-idempotent.
        idempotent: true,
        deadline: Instant::now() + Duration::from_secs(10),
        prefix: None,
        replicas: BTreeMap::new(),
    };
    let among = ["s1", "s2"].map(|name| instance(name, upstream.address(), InstanceKind::Service));
    let outcome = runner.run(among.into(), job, key).await;
    outcome.map(|outcome| outcome.response)
}

#[tokio::test]
async fn repeats_at_two_vms_get_the_one_answer() {
    let store = Arc::default();
    let upstream = ScriptedUpstream::bind(vec![Action::Respond(BOOKED); 4]).await;
    let (here, there) = (runner(&store, "vm0"), runner(&store, "vm1"));
    let first = book(&here, &upstream).await.expect("a response");
    assert_eq!((first.status, &first.body[..]), (201, &b"slot 7"[..]));
    for runner in [&here, &there] {
        assert_eq!(book(runner, &upstream).await, Ok(first.clone()));
    }
    assert_eq!(upstream.requests(), 1);
}

#[tokio::test]
async fn a_request_whose_answer_is_lost_is_unknown_and_stays_so() {
    let truncated = "HTTP/1.1 201 Created\r\nContent-Length: 9\r\n\r\nhalf";
    for action in [
        Action::CloseAfterRead,
        Action::RespondThenClose(truncated),
        Action::Stall,
    ] {
        let store = Arc::default();
        let upstream = ScriptedUpstream::bind(vec![action, Action::Respond(BOOKED)]).await;
        let (here, there) = (runner(&store, "vm0"), runner(&store, "vm1"));
        for runner in [&here, &there, &here] {
            let refusal = book(runner, &upstream)
                .await
                .expect_err("an unknown outcome");
            assert_eq!(refusal.ran, Ran::Unknown, "{action:?}");
        }
        assert_eq!(upstream.requests(), 1, "{action:?}");
    }
}

#[tokio::test]
async fn a_declined_request_may_be_sent_again_by_its_caller() {
    let declined = "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    let store = Arc::default();
    let upstream =
        ScriptedUpstream::bind(vec![Action::Respond(declined), Action::Respond(BOOKED)]).await;
    let (here, there) = (runner(&store, "vm0"), runner(&store, "vm1"));
    let refusal = book(&here, &upstream).await.expect_err("declined");
    assert_eq!(refusal.ran, Ran::No);
    assert_eq!(upstream.requests(), 1);
    assert_eq!(
        book(&there, &upstream).await.expect("a response").status,
        201
    );
}

#[tokio::test]
async fn nothing_is_sent_while_the_store_is_down() {
    let store = Arc::<MemoryStore>::default();
    store.inject([Fault::Unavailable]);
    let upstream = ScriptedUpstream::bind(vec![Action::Respond(BOOKED)]).await;
    let refusal = book(&runner(&store, "vm0"), &upstream)
        .await
        .expect_err("down");
    assert_eq!(
        (refusal.reason, refusal.ran),
        (Reason::StoreUnavailable, Ran::No)
    );
    assert_eq!(upstream.connections(), 0);
}

#[tokio::test]
async fn a_caller_that_leaves_does_not_stop_its_request() {
    let store = Arc::default();
    // The upstream holds its response until a second request arrives, which another VM sends below.
    let upstream = ScriptedUpstream::bind(vec![
        Action::RespondAfterTwo(BOOKED),
        Action::RespondAfterTwo(BOOKED),
    ])
    .await;
    let here = runner(&store, "vm0");
    tokio::select! {
        result = book(&here, &upstream) => panic!("held back, but got {result:?}"),
        () = upstream.wait_requests(1) => {}
    }
    let other = Arc::default();
    book(&runner(&other, "vm1"), &upstream)
        .await
        .expect("a response");
    here.wait_drained().await;
    let repeat = book(&here, &upstream).await.expect("the recorded response");
    assert_eq!(repeat.status, 201);
    assert_eq!(upstream.requests(), 2);
}
