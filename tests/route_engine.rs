//! Tests for orders to engines and for their reports over HTTP.

mod route_support;

use std::sync::Arc;
use std::time::Duration;

use basilgw::clock::SystemClock;
use basilgw::engine::http::HttpEngineControl;
use basilgw::engine::{EngineControl, EngineError, Order, OrderKind, OrderStatus};
use basilgw::ids::Epoch;
use basilgw::route::http::HttpTransport;
use basilgw::store::InstanceKind;
use basilgw::units::Bytes;
use route_support::{Action, ScriptedUpstream, instance, settings};

const TIMEOUT: Duration = Duration::from_millis(500);

/// Joins a response head and a chunked body.
macro_rules! json_response {
    ($body:literal) => {
        concat!(
            "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n",
            $body
        )
    };
}

fn control() -> HttpEngineControl {
    let clock = SystemClock::open();
    let transport = HttpTransport::open(Arc::clone(&clock), &settings()).expect("builds");
    HttpEngineControl::open(Arc::new(transport), clock, TIMEOUT)
}

fn order() -> Order {
    Order {
        adapter: None,
        bytes: Bytes(5),
        fence: Epoch(3),
        kind: OrderKind::Load,
        model: "m".parse().expect("an id"),
        replica: "r".parse().expect("an id"),
        version: "v".parse().expect("an id"),
    }
}

#[tokio::test]
async fn an_order_travels_whole_and_its_answer_returns() {
    let accepted = json_response!("15\r\n{\"status\":\"accepted\"}\r\n0\r\n\r\n");
    let upstream = ScriptedUpstream::bind(vec![Action::Respond(accepted)]).await;
    let engine = instance("e1", upstream.address(), InstanceKind::Engine);
    let response = control()
        .order(&engine, &order())
        .await
        .expect("a response");
    assert_eq!(response.status, OrderStatus::Accepted);
    let text = String::from_utf8(upstream.received()).expect("text");
    assert!(text.starts_with("POST /orders HTTP/1.1\r\n"), "{text}");
    let (_, body) = text.split_once("\r\n\r\n").expect("a body");
    assert_eq!(
        serde_json::from_str::<Order>(body).expect("an order"),
        order()
    );
}

#[tokio::test]
async fn reports_and_events_are_read() {
    let report =
        json_response!("2c\r\n{\"age\":7,\"memory\":9,\"used\":1,\"generation\":2}\r\n0\r\n\r\n");
    let events = json_response!("b\r\n{\"next\":12}\r\n0\r\n\r\n");
    let upstream =
        ScriptedUpstream::bind(vec![Action::Respond(report), Action::Respond(events)]).await;
    let engine = instance("e1", upstream.address(), InstanceKind::Engine);
    let control = control();
    assert_eq!(control.report(&engine).await.expect("a report").age, 7);
    assert_eq!(control.events(&engine, 4).await.expect("events").next, 12);
    let text = String::from_utf8(upstream.received()).expect("text");
    assert!(text.contains("GET /load HTTP/1.1\r\n"), "{text}");
    assert!(
        text.contains("GET /cache-events?from=4 HTTP/1.1\r\n"),
        "{text}"
    );
}

#[tokio::test]
async fn a_lost_order_is_unknown_and_an_unsent_one_unreachable() {
    let truncated = json_response!("15\r\n{\"status\"");
    let declined = "HTTP/1.1 503 Leaving\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    for (action, expected) in [
        (Action::CloseAfterRead, EngineError::Unknown),
        (Action::Stall, EngineError::Unknown),
        (Action::RespondThenClose(truncated), EngineError::Unknown),
        (Action::Respond(declined), EngineError::Unreachable),
        (
            Action::Respond(json_response!("2\r\n{}\r\n0\r\n\r\n")),
            EngineError::Malformed,
        ),
    ] {
        let upstream = ScriptedUpstream::bind(vec![action]).await;
        let engine = instance("e1", upstream.address(), InstanceKind::Engine);
        let error = control().order(&engine, &order()).await.expect_err("fails");
        assert_eq!(error, expected, "{action:?}");
        assert_eq!(upstream.requests(), 1);
    }
    let upstream = ScriptedUpstream::bind(Vec::new()).await;
    let engine = instance("e1", upstream.address(), InstanceKind::Engine);
    upstream.stop().await;
    let error = control().order(&engine, &order()).await.expect_err("fails");
    assert_eq!(error, EngineError::Unreachable);
}
