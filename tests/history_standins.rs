//! The stand-ins do what they say, as a caller and the history checker see them.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use basilgw::ids::{Epoch, ReplicaId};
use basilgw::schema::engine::{Order, OrderKind, OrderStatus};
use basilgw::units::Bytes;
use http::Method;
use standin::caller::{Ask, Caller, Credential, Target};
use standin::engine::{Engine, EngineSettings};
use standin::fault::{Fault, Planned};
use standin::gate::Mode;
use standin::history::{Bounds, Event, Findings, Outcome, Point, check};
use standin::service::PlainService;

const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Most requests sent while a condition is waited for.
const MOST_TRIES: u32 = 100_000;

fn credential() -> Credential {
    Credential {
        key: "key-1".parse().unwrap(),
        account: "club".parse().unwrap(),
        secret: "bk_secret".into(),
    }
}

fn target(address: SocketAddr) -> Target {
    Target {
        vm: "vm-1".parse().unwrap(),
        address,
    }
}

fn load(replica: &str, fence: u64, bytes: u64) -> Order {
    Order {
        kind: OrderKind::Load,
        replica: replica.parse().unwrap(),
        model: "m".parse().unwrap(),
        version: "1".parse().unwrap(),
        adapter: None,
        fence: Epoch(fence),
        bytes: Bytes(bytes),
    }
}

async fn engine(fenced: bool) -> Engine {
    let settings = EngineSettings {
        memory: Bytes(100),
        fenced,
        pace: Duration::from_millis(1),
        ..EngineSettings::new("engine-1".parse().unwrap())
    };
    Engine::bind(ANY, settings).await.unwrap()
}

fn chat(name: &str, stream: bool) -> Ask {
    let model = "m".parse().unwrap();
    let mut ask = Ask::chat(
        name.parse().unwrap(),
        &credential(),
        &model,
        None,
        8,
        stream,
    );
    ask.deadline = Duration::from_secs(5);
    ask
}

fn booking(name: &str) -> Ask {
    let credential = credential();
    Ask::call(
        name.parse().unwrap(),
        Some(&credential),
        Method::POST,
        "/bookings",
        "{}".into(),
    )
}

/// An engine with its model ready, and a caller that talks to it directly.
async fn ready() -> (Engine, Caller, Target) {
    let engine = engine(true).await;
    assert_eq!(engine.order(&load("r1", 1, 60)), OrderStatus::Accepted);
    let caller = Caller::open("caller").unwrap();
    let target = target(engine.addresses().listening);
    let mut probe = 0;
    loop {
        probe += 1;
        assert!(probe < MOST_TRIES);
        let got = caller
            .send(&target, &chat(&format!("probe-{probe}"), false))
            .await;
        if matches!(got.outcome, Outcome::Whole { status: 200, .. }) {
            return (engine, caller, target);
        }
        tokio::task::yield_now().await;
    }
}

fn joined(caller: &Caller, engine: &Engine) -> Findings {
    let entries = [caller.recorder().entries(), engine.recorder().entries()].concat();
    check(entries, &Bounds::default()).unwrap()
}

#[tokio::test]
async fn answers_are_whole_and_the_requests_own() {
    let (engine, caller, target) = ready().await;
    for stream in [false, true] {
        let got = caller
            .send(&target, &chat(&format!("q-{stream}"), stream))
            .await;
        assert!(matches!(got.outcome, Outcome::Whole { .. }), "{got:?}");
    }
    let found = joined(&caller, &engine);
    assert!(found.shows(Point::WholeAnswer), "{}", found.summary());
}

#[tokio::test]
async fn faults_show_as_what_they_are() {
    let (engine, caller, target) = ready().await;
    let cut = Outcome::Cut {
        code: None,
        ran: None,
    };
    let cases = [
        (Fault::CutAnswer, false, cut.clone()),
        (Fault::CutAnswer, true, cut),
        (Fault::CloseBeforeRun, true, Outcome::Broken),
        (Fault::CloseAfterRun, false, Outcome::Broken),
    ];
    for (index, (fault, stream, expected)) in cases.into_iter().enumerate() {
        engine.set_faults(vec![Planned { fault, times: 1 }]);
        let got = caller
            .send(&target, &chat(&format!("q-{index}"), stream))
            .await;
        assert_eq!(got.outcome, expected, "{fault:?}");
    }
}

#[tokio::test]
async fn a_key_sent_on_is_caught() {
    let (engine, caller, _target) = ready().await;
    // The caller's own recorder grants the key; the engine saw it, as no gateway stood between.
    caller.recorder().record(Event::Granted {
        key: "key-1".parse().unwrap(),
        account: "club".parse().unwrap(),
        caller: "coach".parse().unwrap(),
        secret: "bk_secret".into(),
    });
    assert!(joined(&caller, &engine).violates(Point::HiddenKey));
}

#[tokio::test]
async fn memory_is_never_exceeded_and_each_attempt_counts() {
    let (engine, caller, _target) = ready().await;
    assert_eq!(engine.order(&load("r2", 2, 60)), OrderStatus::Full);
    assert_eq!(engine.refused(), 1);
    assert!(joined(&caller, &engine).violates(Point::Memory));
}

#[tokio::test]
async fn only_fenced_engines_refuse_old_orders() {
    for (fenced, expected) in [(true, OrderStatus::Stale), (false, OrderStatus::Accepted)] {
        let engine = engine(fenced).await;
        engine.order(&load("r1", 5, 10));
        assert_eq!(engine.order(&load("r2", 4, 10)), expected);
        let again: ReplicaId = "r1".parse().unwrap();
        assert_eq!(
            engine.order(&load(again.as_str(), 5, 10)),
            OrderStatus::Accepted
        );
    }
}

#[tokio::test]
async fn a_lost_answer_took_effect() {
    let service = PlainService::bind(ANY, "service-1".parse().unwrap())
        .await
        .unwrap();
    let caller = Caller::open("caller").unwrap();
    let target = target(service.addresses().listening);
    service.set_gate(Mode::LoseAnswers);
    let mut ask = booking("b1");
    ask.deadline = Duration::ZERO;
    assert_eq!(caller.send(&target, &ask).await.outcome, Outcome::Silent);
    assert_eq!(service.runs().requests.values().sum::<u32>(), 1);
}

#[tokio::test]
async fn gates_refuse_close_and_come_back() {
    let service = PlainService::bind(ANY, "service-1".parse().unwrap())
        .await
        .unwrap();
    let caller = Caller::open("caller").unwrap();
    let target = target(service.addresses().listening);
    service.set_gate(Mode::Close);
    assert_eq!(
        caller.send(&target, &booking("b1")).await.outcome,
        Outcome::Broken
    );
    service.set_gate(Mode::Down);
    let mut count = 0;
    let mut until = async |wanted: fn(&Outcome) -> bool| loop {
        count += 1;
        assert!(count < MOST_TRIES);
        let got = caller.send(&target, &booking(&format!("b-{count}"))).await;
        if wanted(&got.outcome) {
            return;
        }
    };
    until(|outcome| *outcome == Outcome::Unreachable).await;
    service.set_gate(Mode::Pass);
    until(|outcome| matches!(outcome, Outcome::Whole { .. })).await;
}
