//! Tests for the HTTP transport when an upstream closes the connection, truncates its response,
//! declines the request or goes silent.
//!
//! Each test runs against a loopback TCP server that follows a script and counts requests.

mod route_support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use basilgw::clock::SystemClock;
use basilgw::outcome::{Ran, Reason, Refusal};
use basilgw::route::http::HttpTransport;
use basilgw::route::{SendError, Transport, UpstreamResponse};
use basilgw::store::InstanceKind;
use futures_util::StreamExt;
use route_support::{Action, ScriptedUpstream, instance, post, settings};

const LONG_TIME: Duration = Duration::from_secs(20);
/// Longer than the silence that the transport of these tests allows, which is 300 ms.
const SHORT_TIME: Duration = Duration::from_millis(400);

fn transport() -> HttpTransport {
    transport_with_silence(300)
}

/// A transport that allows a silence of this many milliseconds.
fn transport_with_silence(silence: u64) -> HttpTransport {
    let mut settings = settings();
    settings.silence = silence;
    HttpTransport::open(SystemClock::open(), &settings).expect("the client builds")
}

async fn send(
    transport: &HttpTransport,
    upstream: &ScriptedUpstream,
    new_connection: bool,
) -> Result<UpstreamResponse, SendError> {
    let to = instance("s1", upstream.address(), InstanceKind::Service);
    let mut request = post("/book", "{}");
    request.new_connection = new_connection;
    transport
        .send(&to, request, Instant::now() + LONG_TIME)
        .await
}

async fn read(response: UpstreamResponse) -> Result<Vec<u8>, Refusal> {
    let mut body = response.body;
    let mut received = Vec::new();
    while let Some(chunk) = body.next().await {
        received.extend_from_slice(&chunk?);
    }
    Ok(received)
}

/// Gives the client's background tasks time to process what the server did. Nothing signals when
/// they have, so the test waits for a fixed time.
async fn wait_for_client() {
    tokio::time::sleep(Duration::from_millis(50)).await;
}

const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Sends two requests on one transport: the first gets a complete response, the second meets
/// `action`. Returns the second result, the number of requests it caused, and the number of
/// connections.
async fn send_twice(
    action: Action,
    new_connection: bool,
) -> (Result<UpstreamResponse, SendError>, usize, usize) {
    let upstream = ScriptedUpstream::bind(vec![Action::Respond(OK), action]).await;
    let transport = transport();
    let first = send(&transport, &upstream, new_connection)
        .await
        .expect("a response");
    assert_eq!(read(first).await.expect("a complete body"), b"ok");
    wait_for_client().await;
    let before = upstream.requests();
    let second = send(&transport, &upstream, new_connection).await;
    wait_for_client().await;
    (second, upstream.requests() - before, upstream.connections())
}

#[tokio::test]
async fn a_request_that_was_read_is_never_sent_again() {
    for new_connection in [true, false] {
        let (result, requests, connections) =
            send_twice(Action::CloseAfterRead, new_connection).await;
        assert_eq!(
            result.err(),
            Some(SendError::ResponseLost(Reason::UpstreamFailed))
        );
        assert_eq!(requests, 1, "new_connection: {new_connection}");
        assert_eq!(connections, if new_connection { 2 } else { 1 });
    }
}

#[tokio::test]
async fn a_fresh_request_uses_no_idle_connection_and_leaves_none() {
    let upstream = ScriptedUpstream::bind(vec![Action::Respond(OK); 3]).await;
    let transport = transport();
    for (new_connection, connections) in [(false, 1), (true, 2), (false, 2)] {
        let response = send(&transport, &upstream, new_connection)
            .await
            .expect("a response");
        read(response).await.expect("a complete body");
        wait_for_client().await;
        assert_eq!(upstream.connections(), connections);
    }
    let received = upstream.received().to_ascii_lowercase();
    let text = String::from_utf8_lossy(&received);
    assert_eq!(text.matches("connection: close").count(), 1);
}

#[tokio::test]
async fn a_cut_answer_is_an_error_and_never_a_clean_end() {
    let truncations = [
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhal",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\nX-More: a",
        "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
    ];
    for truncated in truncations {
        for new_connection in [true, false] {
            let (result, requests, _) =
                send_twice(Action::RespondThenClose(truncated), new_connection).await;
            let end = read(result.expect("a response head")).await;
            assert_eq!(
                end,
                Err(Refusal::unknown(Reason::UpstreamFailed)),
                "{truncated}"
            );
            assert_eq!(requests, 1, "{truncated}");
        }
    }
}

// Guards against: a response whose status is none that ends one, and that is taken for the upstream's own
// or for a refusal (MIXED).
#[tokio::test]
async fn a_response_without_a_final_status_is_lost() {
    for text in [
        "HTTP/1.1 000 Odd\r\nContent-Length: 4\r\n\r\nhalf",
        "HTTP/1.1 101 Switching Protocols\r\nContent-Length: 4\r\n\r\nhalf",
        "HTTP/1.1 600 Odd\r\nContent-Length: 4\r\n\r\nhalf",
        "HTTP/1.1 999 Odd\r\nContent-Length: 4\r\n\r\nhalf",
    ] {
        for new_connection in [true, false] {
            let (result, requests, _) = send_twice(Action::Respond(text), new_connection).await;
            let lost = Some(SendError::ResponseLost(Reason::UpstreamFailed));
            assert_eq!(result.err(), lost, "{text}");
            assert_eq!(requests, 1, "{text}");
        }
    }
}

/// Heads that stop: in the status line, a name, a value, before the empty line, after an interim one.
const CUT_HEADS: [&str; 9] = [
    "HTTP/1.1 20",
    "HTTP/1.1 200 OK\r\n",
    "HTTP/1.1 200 OK\r\nContent-Le",
    "HTTP/1.1 200 OK\r\nContent-Length: 2",
    "HTTP/1.1 200 OK\r\nContent-Length: 28\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 28\r\n\r",
    "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nCont",
    "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2",
];

// Guards against: a head that stops midway and is taken for a response, or whose request is sent
// again, also over a connection that has served before (MIXED, TWICE).
#[tokio::test]
async fn a_cut_head_is_lost() {
    for head in CUT_HEADS {
        let ends = [
            (Action::RespondThenClose(head), Reason::UpstreamFailed),
            (Action::RespondThenStall(head), Reason::UpstreamSilent),
        ];
        for ((action, reason), new_connection) in
            ends.into_iter().flat_map(|end| [(end, true), (end, false)])
        {
            let (result, requests, _) = send_twice(action, new_connection).await;
            let lost = Some(SendError::ResponseLost(reason));
            assert_eq!(result.err(), lost, "{action:?}, {new_connection}");
            assert_eq!(requests, 1, "{action:?}, {new_connection}");
        }
    }
}

#[tokio::test]
async fn a_connection_closed_before_reading_is_used_once() {
    let upstream = ScriptedUpstream::bind(vec![Action::CloseBeforeRead, Action::Respond(OK)]).await;
    let result = send(&transport(), &upstream, true).await;
    assert!(matches!(
        result,
        Err(SendError::ResponseLost(_) | SendError::NotSent(_))
    ));
    assert_eq!(upstream.connections(), 1);
    assert_eq!(upstream.requests(), 0);
}

#[tokio::test]
async fn an_idle_connection_that_closed_is_replaced_without_loss() {
    let upstream =
        ScriptedUpstream::bind(vec![Action::RespondThenClose(OK), Action::Respond(OK)]).await;
    let transport = transport();
    let first = send(&transport, &upstream, false)
        .await
        .expect("a response");
    read(first).await.expect("a complete body");
    upstream.wait_closed().await;
    wait_for_client().await;
    let second = send(&transport, &upstream, false)
        .await
        .expect("a response");
    assert_eq!(read(second).await.expect("a complete body"), b"ok");
    assert_eq!(upstream.requests(), 2);
}

#[tokio::test]
async fn a_refused_connection_is_unsent() {
    let upstream = ScriptedUpstream::bind(Vec::new()).await;
    let to = instance("s1", upstream.address(), InstanceKind::Service);
    upstream.stop().await;
    let transport = transport();
    let sent = transport.send(&to, post("/book", "{}"), Instant::now() + LONG_TIME);
    let error = sent.await.expect_err("nobody listens");
    assert_eq!(error, SendError::NotSent(Reason::UpstreamFailed));
    assert_eq!(Refusal::from(error).ran, Ran::No);
}

#[tokio::test]
async fn a_passed_deadline_is_unsent() {
    let upstream = ScriptedUpstream::bind(vec![Action::Respond(OK)]).await;
    let to = instance("s1", upstream.address(), InstanceKind::Service);
    let transport = transport();
    let sent = transport.send(&to, post("/book", "{}"), Instant::now());
    let error = sent.await.expect_err("too late");
    assert_eq!(error, SendError::NotSent(Reason::Deadline));
    assert_eq!(upstream.connections(), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_request_given_up_at_any_moment_and_called_unsent_never_arrives() {
    let upstream = ScriptedUpstream::bind(vec![Action::Respond(OK); 4000]).await;
    let to = instance("s1", upstream.address(), InstanceKind::Service);
    let transport = transport();
    let mut unsent = Vec::new();
    let mut arrived = 0;
    for round in 0..400_u64 {
        let sends = (0..8_u64).map(|lane| {
            let mut request = post(&format!("/{round}-{lane}/"), "{}");
            request.new_connection = lane % 2 == 0;
            let bound = Duration::from_micros((round * 37 + lane * 211) % 1500);
            let sent = transport.send(&to, request, Instant::now() + bound);
            async move { (round, lane, sent.await.map(|response| response.status)) }
        });
        for (round, lane, result) in futures_util::future::join_all(sends).await {
            match result {
                Err(SendError::NotSent(_)) => unsent.push(format!("/{round}-{lane}/")),
                Ok(_) => arrived += 1,
                Err(_) => {}
            }
        }
    }
    wait_for_client().await;
    let received = upstream.received();
    let text = String::from_utf8_lossy(&received);
    let delivered: Vec<_> = unsent.iter().filter(|path| text.contains(*path)).collect();
    assert!(
        unsent.len() > 100 && arrived > 100,
        "{} and {arrived}",
        unsent.len()
    );
    assert!(delivered.is_empty(), "{delivered:?}");
}

#[tokio::test]
async fn an_upstream_that_declines_says_not_run() {
    let declined = "HTTP/1.1 503 Leaving\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    let (result, _, _) = send_twice(Action::Respond(declined), true).await;
    assert_eq!(result.err(), Some(SendError::Declined));
    let unmarked = "HTTP/1.1 503 Broken\r\nContent-Length: 0\r\n\r\n";
    let (result, _, _) = send_twice(Action::Respond(unmarked), true).await;
    assert_eq!(result.expect("a response").status, 503);
    let wrong_status = "HTTP/1.1 500 Broken\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    let (result, _, _) = send_twice(Action::Respond(wrong_status), true).await;
    assert_eq!(result.expect("a response").status, 500);
}

#[tokio::test]
async fn silence_is_bounded_and_retires_pooled_connections() {
    let script = vec![
        Action::Respond(OK),
        Action::Stall,
        Action::Respond(OK),
        Action::Respond(OK),
    ];
    let upstream = ScriptedUpstream::bind(script).await;
    let transport = transport();
    let first = send(&transport, &upstream, false)
        .await
        .expect("a response");
    read(first).await.expect("a complete body");
    wait_for_client().await;
    let start = Instant::now();
    let silent = send(&transport, &upstream, false).await;
    assert_eq!(
        silent.err(),
        Some(SendError::ResponseLost(Reason::UpstreamSilent))
    );
    assert!(start.elapsed() < Duration::from_secs(2));
    assert_eq!(upstream.connections(), 1);
    let next = send(&transport, &upstream, false)
        .await
        .expect("a response");
    read(next).await.expect("a complete body");
    assert_eq!(upstream.connections(), 2);
}

#[tokio::test]
async fn a_pooled_connection_is_not_trusted_after_another_went_silent() {
    let partial = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf";
    for silent in [Action::Stall, Action::RespondThenStall(partial)] {
        // The pool has two connections. When one goes silent, the other must not be used any more.
        let script = vec![
            Action::RespondAfterTwo(OK),
            Action::RespondAfterTwo(OK),
            silent,
            Action::Respond(OK),
        ];
        let upstream = ScriptedUpstream::bind(script).await;
        let transport = transport();
        let both = tokio::join!(
            send(&transport, &upstream, false),
            send(&transport, &upstream, false)
        );
        read(both.0.expect("a response"))
            .await
            .expect("a complete body");
        read(both.1.expect("a response"))
            .await
            .expect("a complete body");
        assert_eq!(upstream.connections(), 2);
        wait_for_client().await;
        let refusal = match send(&transport, &upstream, false).await {
            Ok(response) => read(response).await.expect_err("silent"),
            Err(error) => error.into(),
        };
        assert_eq!(refusal, Refusal::unknown(Reason::UpstreamSilent));
        let next = send(&transport, &upstream, false)
            .await
            .expect("a response");
        read(next).await.expect("a complete body");
        assert_eq!(upstream.connections(), 3, "{silent:?}");
    }
}

#[tokio::test]
async fn silence_within_an_answer_ends_it_with_an_error() {
    let partial = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf";
    let (result, requests, _) = send_twice(Action::RespondThenStall(partial), true).await;
    let end = read(result.expect("a response head")).await;
    assert_eq!(end, Err(Refusal::unknown(Reason::UpstreamSilent)));
    assert_eq!(requests, 1);
}

#[tokio::test]
async fn a_pause_of_the_reader_is_not_silence() {
    let partial = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf";
    let upstream = ScriptedUpstream::bind(vec![Action::RespondThenStall(partial)]).await;
    let transport = transport();
    let response = send(&transport, &upstream, true)
        .await
        .expect("a response head");
    let mut body = response.body;
    assert_eq!(body.next().await, Some(Ok("half".into())));
    tokio::time::sleep(SHORT_TIME).await;
    let start = Instant::now();
    let end = body.next().await;
    assert_eq!(end, Some(Err(Refusal::unknown(Reason::UpstreamSilent))));
    assert!(start.elapsed() >= Duration::from_millis(290));
    assert_eq!(body.next().await, None);
}

#[tokio::test]
async fn an_answer_that_flows_may_outlast_silence_and_deadline() {
    let head = "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n";
    let upstream = ScriptedUpstream::bind(vec![Action::RespondSlowly(head, "x", 8)]).await;
    let to = instance("s1", upstream.address(), InstanceKind::Service);
    // Shorter than the answer, and long enough for an upstream that has no processor for a while.
    let transport = transport_with_silence(1500);
    let deadline = Instant::now() + SHORT_TIME;
    let sent = transport.send(&to, post("/x", "{}"), deadline).await;
    assert_eq!(
        read(sent.expect("a response head")).await,
        Ok(vec![b'x'; 8])
    );
    assert!(Instant::now() > deadline);
}

#[tokio::test]
async fn an_engine_may_be_quiet_until_its_first_token_and_no_longer_than_the_deadline() {
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
                Transfer-Encoding: chunked\r\n\r\n";
    let upstream = ScriptedUpstream::bind(vec![Action::RespondThenStall(head)]).await;
    let to = instance("e1", upstream.address(), InstanceKind::Engine);
    let transport = transport();
    let start = Instant::now();
    let sent = transport.send(&to, post("/v1/completions", "{}"), start + 2 * SHORT_TIME);
    let end = read(sent.await.expect("a response head")).await;
    assert_eq!(end, Err(Refusal::unknown(Reason::Deadline)));
    assert!(start.elapsed() >= 2 * SHORT_TIME);
}

#[tokio::test]
async fn an_engines_event_stream_is_whole_only_with_its_end_mark() {
    let chunked = |text: &str| {
        let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
                    Transfer-Encoding: chunked\r\n\r\n";
        let response = format!("{head}{:x}\r\n{text}\r\n0\r\n\r\n", text.len());
        &*Box::leak(response.into_boxed_str())
    };
    let complete = ["data: x\n\ndata: [DONE]\n\n", "data:[DONE]\r\n\r\n"];
    let truncated = [
        "data: x\n\n",
        "data: [DONE]",
        "data: x [DONE]\n\n",
        "",
        "data: [DONE]\n\ndata: x\n\n",
    ];
    let cases = complete.map(|text| (text, true)).into_iter();
    for (text, expected) in cases.chain(truncated.map(|text| (text, false))) {
        let upstream = ScriptedUpstream::bind(vec![Action::Respond(chunked(text))]).await;
        let to = instance("e1", upstream.address(), InstanceKind::Engine);
        let transport = transport();
        let sent = transport.send(
            &to,
            post("/v1/completions", "{}"),
            Instant::now() + LONG_TIME,
        );
        let end = read(sent.await.expect("a response head")).await;
        assert_eq!(end.is_ok(), expected, "{text:?}");
    }
}

#[tokio::test]
async fn dropping_an_answer_closes_its_connection() {
    let partial = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf";
    for new_connection in [true, false] {
        let upstream = ScriptedUpstream::bind(vec![Action::RespondThenStall(partial)]).await;
        let transport = transport();
        let response = send(&transport, &upstream, new_connection)
            .await
            .expect("a response head");
        drop(response);
        upstream.wait_closed().await;
    }
}

#[tokio::test]
async fn dropping_a_request_that_waits_closes_its_connection() {
    let upstream = ScriptedUpstream::bind(vec![Action::Stall]).await;
    let transport = Arc::new(transport());
    let to = instance("e1", upstream.address(), InstanceKind::Engine);
    let sender = Arc::clone(&transport);
    let task = tokio::spawn(async move {
        let sent = sender.send(
            &to,
            post("/v1/completions", "{}"),
            Instant::now() + LONG_TIME,
        );
        sent.await.map(|response| response.status)
    });
    upstream.wait_requests(1).await;
    task.abort();
    upstream.wait_closed().await;
}

#[tokio::test]
async fn a_slow_reader_holds_a_bounded_buffer_and_nobody_else() {
    let upstream = ScriptedUpstream::bind(vec![Action::RespondLarge, Action::Respond(OK)]).await;
    let transport = transport();
    let slow = send(&transport, &upstream, true)
        .await
        .expect("a response head");
    let stalled = upstream.stalled_bytes().await;
    assert!(stalled < 16 << 20, "{stalled} bytes left the upstream");
    let other = send(&transport, &upstream, true).await.expect("a response");
    assert_eq!(read(other).await.expect("a complete body"), b"ok");
    drop(slow);
}
