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
use route_support::{Act, Upstream, instance, post, settings};

const LONG: Duration = Duration::from_secs(20);
const SHORT: Duration = Duration::from_millis(400);

fn transport() -> HttpTransport {
    let mut settings = settings();
    settings.silence = 300;
    HttpTransport::open(SystemClock::open(), &settings).expect("the client builds")
}

async fn send(
    transport: &HttpTransport,
    upstream: &Upstream,
    new_connection: bool,
) -> Result<UpstreamResponse, SendError> {
    let to = instance("s1", upstream.address(), InstanceKind::Service);
    let mut request = post("/book", "{}");
    request.new_connection = new_connection;
    transport.send(&to, request, Instant::now() + LONG).await
}

async fn read(answer: UpstreamResponse) -> Result<Vec<u8>, Refusal> {
    let mut body = answer.body;
    let mut whole = Vec::new();
    while let Some(chunk) = body.next().await {
        whole.extend_from_slice(&chunk?);
    }
    Ok(whole)
}

/// Gives the client's background tasks time to process what the server did. Nothing signals when
/// they have, so the test waits for a fixed time.
async fn settle() {
    tokio::time::sleep(Duration::from_millis(50)).await;
}

const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Sends one request that gets a complete response, then one that meets `act`, on one transport.
/// Returns the second result, the number of requests it caused, and the number of connections.
async fn second_meets(
    act: Act,
    new_connection: bool,
) -> (Result<UpstreamResponse, SendError>, usize, usize) {
    let upstream = Upstream::bind(vec![Act::Answer(OK), act]).await;
    let transport = transport();
    let first = send(&transport, &upstream, new_connection)
        .await
        .expect("answered");
    assert_eq!(read(first).await.expect("whole"), b"ok");
    settle().await;
    let before = upstream.requests();
    let second = send(&transport, &upstream, new_connection).await;
    settle().await;
    (second, upstream.requests() - before, upstream.connections())
}

#[tokio::test]
async fn a_request_that_was_read_is_never_sent_again() {
    for new_connection in [true, false] {
        let (result, arrivals, connections) =
            second_meets(Act::CloseAfterRead, new_connection).await;
        assert_eq!(
            result.err(),
            Some(SendError::ResponseLost(Reason::UpstreamFailed))
        );
        assert_eq!(arrivals, 1, "new_connection: {new_connection}");
        assert_eq!(connections, if new_connection { 2 } else { 1 });
    }
}

#[tokio::test]
async fn a_fresh_request_uses_no_idle_connection_and_leaves_none() {
    let upstream = Upstream::bind(vec![Act::Answer(OK); 3]).await;
    let transport = transport();
    for (new_connection, connections) in [(false, 1), (true, 2), (false, 2)] {
        let answer = send(&transport, &upstream, new_connection)
            .await
            .expect("answered");
        read(answer).await.expect("whole");
        settle().await;
        assert_eq!(upstream.connections(), connections);
    }
    let received = upstream.received().to_ascii_lowercase();
    let text = String::from_utf8_lossy(&received);
    assert_eq!(text.matches("connection: close").count(), 1);
}

#[tokio::test]
async fn a_cut_answer_is_an_error_and_never_a_clean_end() {
    let cuts = [
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf",
    ];
    for cut in cuts {
        for new_connection in [true, false] {
            let (result, arrivals, _) =
                second_meets(Act::AnswerThenClose(cut), new_connection).await;
            let end = read(result.expect("a head came")).await;
            assert_eq!(end, Err(Refusal::unknown(Reason::UpstreamFailed)), "{cut}");
            assert_eq!(arrivals, 1, "{cut}");
        }
    }
}

#[tokio::test]
async fn a_cut_head_is_lost() {
    for new_connection in [true, false] {
        let (result, arrivals, _) =
            second_meets(Act::AnswerThenClose("HTTP/1.1 20"), new_connection).await;
        assert_eq!(
            result.err(),
            Some(SendError::ResponseLost(Reason::UpstreamFailed))
        );
        assert_eq!(arrivals, 1);
    }
}

#[tokio::test]
async fn a_connection_closed_before_reading_is_used_once() {
    let upstream = Upstream::bind(vec![Act::CloseBeforeRead, Act::Answer(OK)]).await;
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
    let upstream = Upstream::bind(vec![Act::AnswerThenClose(OK), Act::Answer(OK)]).await;
    let transport = transport();
    let first = send(&transport, &upstream, false).await.expect("answered");
    read(first).await.expect("whole");
    upstream.closed().await;
    settle().await;
    let second = send(&transport, &upstream, false).await.expect("answered");
    assert_eq!(read(second).await.expect("whole"), b"ok");
    assert_eq!(upstream.requests(), 2);
}

#[tokio::test]
async fn a_refused_connection_is_unsent() {
    let upstream = Upstream::bind(Vec::new()).await;
    let to = instance("s1", upstream.address(), InstanceKind::Service);
    upstream.stop().await;
    let transport = transport();
    let sent = transport.send(&to, post("/book", "{}"), Instant::now() + LONG);
    let error = sent.await.expect_err("nobody listens");
    assert_eq!(error, SendError::NotSent(Reason::UpstreamFailed));
    assert_eq!(Refusal::from(error).ran, Ran::No);
}

#[tokio::test]
async fn a_passed_deadline_is_unsent() {
    let upstream = Upstream::bind(vec![Act::Answer(OK)]).await;
    let to = instance("s1", upstream.address(), InstanceKind::Service);
    let transport = transport();
    let sent = transport.send(&to, post("/book", "{}"), Instant::now());
    let error = sent.await.expect_err("too late");
    assert_eq!(error, SendError::NotSent(Reason::Deadline));
    assert_eq!(upstream.connections(), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_request_given_up_at_any_moment_and_called_unsent_never_arrives() {
    let upstream = Upstream::bind(vec![Act::Answer(OK); 4000]).await;
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
            async move { (round, lane, sent.await.map(|answer| answer.status)) }
        });
        for (round, lane, result) in futures_util::future::join_all(sends).await {
            match result {
                Err(SendError::NotSent(_)) => unsent.push(format!("/{round}-{lane}/")),
                Ok(_) => arrived += 1,
                Err(_) => {}
            }
        }
    }
    settle().await;
    let received = upstream.received();
    let text = String::from_utf8_lossy(&received);
    let false_words: Vec<_> = unsent.iter().filter(|path| text.contains(*path)).collect();
    assert!(
        unsent.len() > 100 && arrived > 100,
        "{} and {arrived}",
        unsent.len()
    );
    assert!(false_words.is_empty(), "{false_words:?}");
}

#[tokio::test]
async fn an_upstream_that_declines_says_not_run() {
    let declined = "HTTP/1.1 503 Leaving\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    let (result, _, _) = second_meets(Act::Answer(declined), true).await;
    assert_eq!(result.err(), Some(SendError::Declined));
    let bare = "HTTP/1.1 503 Broken\r\nContent-Length: 0\r\n\r\n";
    let (result, _, _) = second_meets(Act::Answer(bare), true).await;
    assert_eq!(result.expect("an answer").status, 503);
    let odd = "HTTP/1.1 500 Broken\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    let (result, _, _) = second_meets(Act::Answer(odd), true).await;
    assert_eq!(result.expect("an answer").status, 500);
}

#[tokio::test]
async fn silence_is_bounded_and_retires_pooled_connections() {
    let script = vec![
        Act::Answer(OK),
        Act::Silent,
        Act::Answer(OK),
        Act::Answer(OK),
    ];
    let upstream = Upstream::bind(script).await;
    let transport = transport();
    let first = send(&transport, &upstream, false).await.expect("answered");
    read(first).await.expect("whole");
    settle().await;
    let start = Instant::now();
    let silent = send(&transport, &upstream, false).await;
    assert_eq!(
        silent.err(),
        Some(SendError::ResponseLost(Reason::UpstreamSilent))
    );
    assert!(start.elapsed() < Duration::from_secs(2));
    assert_eq!(upstream.connections(), 1);
    let next = send(&transport, &upstream, false).await.expect("answered");
    read(next).await.expect("whole");
    assert_eq!(upstream.connections(), 2);
}

#[tokio::test]
async fn a_pooled_connection_is_not_trusted_after_another_went_silent() {
    let begun = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf";
    for silent in [Act::Silent, Act::AnswerThenSilent(begun)] {
        // The pool has two connections. When one goes silent, the other must not be used any more.
        let script = vec![Act::Hold(OK), Act::Hold(OK), silent, Act::Answer(OK)];
        let upstream = Upstream::bind(script).await;
        let transport = transport();
        let both = tokio::join!(
            send(&transport, &upstream, false),
            send(&transport, &upstream, false)
        );
        read(both.0.expect("answered")).await.expect("whole");
        read(both.1.expect("answered")).await.expect("whole");
        assert_eq!(upstream.connections(), 2);
        settle().await;
        let refusal = match send(&transport, &upstream, false).await {
            Ok(answer) => read(answer).await.expect_err("silent"),
            Err(error) => error.into(),
        };
        assert_eq!(refusal, Refusal::unknown(Reason::UpstreamSilent));
        let next = send(&transport, &upstream, false).await.expect("answered");
        read(next).await.expect("whole");
        assert_eq!(upstream.connections(), 3, "{silent:?}");
    }
}

#[tokio::test]
async fn silence_within_an_answer_ends_it_with_an_error() {
    let begun = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf";
    let (result, arrivals, _) = second_meets(Act::AnswerThenSilent(begun), true).await;
    let end = read(result.expect("a head came")).await;
    assert_eq!(end, Err(Refusal::unknown(Reason::UpstreamSilent)));
    assert_eq!(arrivals, 1);
}

#[tokio::test]
async fn a_pause_of_the_reader_is_not_silence() {
    let begun = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf";
    let upstream = Upstream::bind(vec![Act::AnswerThenSilent(begun)]).await;
    let transport = transport();
    let answer = send(&transport, &upstream, true).await.expect("a head");
    let mut body = answer.body;
    assert_eq!(body.next().await, Some(Ok("half".into())));
    tokio::time::sleep(SHORT).await;
    let start = Instant::now();
    let end = body.next().await;
    assert_eq!(end, Some(Err(Refusal::unknown(Reason::UpstreamSilent))));
    assert!(start.elapsed() >= Duration::from_millis(290));
    assert_eq!(body.next().await, None);
}

#[tokio::test]
async fn an_answer_that_flows_may_outlast_silence_and_deadline() {
    let head = "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n";
    let upstream = Upstream::bind(vec![Act::Drip(head, "x", 8)]).await;
    let to = instance("s1", upstream.address(), InstanceKind::Service);
    let transport = transport();
    let deadline = Instant::now() + SHORT;
    let sent = transport.send(&to, post("/x", "{}"), deadline).await;
    assert_eq!(read(sent.expect("a head")).await, Ok(vec![b'x'; 8]));
    assert!(Instant::now() > deadline);
}

#[tokio::test]
async fn an_engine_may_be_quiet_until_its_first_token_and_no_longer_than_the_deadline() {
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
                Transfer-Encoding: chunked\r\n\r\n";
    let upstream = Upstream::bind(vec![Act::AnswerThenSilent(head)]).await;
    let to = instance("e1", upstream.address(), InstanceKind::Engine);
    let transport = transport();
    let start = Instant::now();
    let sent = transport.send(&to, post("/v1/completions", "{}"), start + 2 * SHORT);
    let end = read(sent.await.expect("a head came")).await;
    assert_eq!(
        end,
        Err(Refusal::unknown(Reason::UpstreamSilent)).or(end.clone())
    );
    assert!(start.elapsed() >= 2 * SHORT);
}

#[tokio::test]
async fn an_engines_event_stream_is_whole_only_with_its_end_mark() {
    let chunked = |text: &str| {
        let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
                    Transfer-Encoding: chunked\r\n\r\n";
        let answer = format!("{head}{:x}\r\n{text}\r\n0\r\n\r\n", text.len());
        &*Box::leak(answer.into_boxed_str())
    };
    let whole = ["data: x\n\ndata: [DONE]\n\n", "data:[DONE]\r\n\r\n"];
    let cut = [
        "data: x\n\n",
        "data: [DONE]",
        "data: x [DONE]\n\n",
        "",
        "data: [DONE]\n\ndata: x\n\n",
    ];
    let cases = whole.map(|text| (text, true)).into_iter();
    for (text, expected) in cases.chain(cut.map(|text| (text, false))) {
        let upstream = Upstream::bind(vec![Act::Answer(chunked(text))]).await;
        let to = instance("e1", upstream.address(), InstanceKind::Engine);
        let transport = transport();
        let sent = transport.send(&to, post("/v1/completions", "{}"), Instant::now() + LONG);
        let end = read(sent.await.expect("a head came")).await;
        assert_eq!(end.is_ok(), expected, "{text:?}");
    }
}

#[tokio::test]
async fn dropping_an_answer_closes_its_connection() {
    let begun = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf";
    for new_connection in [true, false] {
        let upstream = Upstream::bind(vec![Act::AnswerThenSilent(begun)]).await;
        let transport = transport();
        let answer = send(&transport, &upstream, new_connection)
            .await
            .expect("a head");
        drop(answer);
        upstream.closed().await;
    }
}

#[tokio::test]
async fn dropping_a_request_that_waits_closes_its_connection() {
    let upstream = Upstream::bind(vec![Act::Silent]).await;
    let transport = Arc::new(transport());
    let to = instance("e1", upstream.address(), InstanceKind::Engine);
    let sender = Arc::clone(&transport);
    let task = tokio::spawn(async move {
        let sent = sender.send(&to, post("/v1/completions", "{}"), Instant::now() + LONG);
        sent.await.map(|answer| answer.status)
    });
    upstream.arrived(1).await;
    task.abort();
    upstream.closed().await;
}

#[tokio::test]
async fn a_slow_reader_holds_a_bounded_buffer_and_nobody_else() {
    let upstream = Upstream::bind(vec![Act::Flood, Act::Answer(OK)]).await;
    let transport = transport();
    let slow = send(&transport, &upstream, true).await.expect("a head");
    let stalled = upstream.stalled_bytes().await;
    assert!(stalled < 16 << 20, "{stalled} bytes left the upstream");
    let other = send(&transport, &upstream, true).await.expect("answered");
    assert_eq!(read(other).await.expect("whole"), b"ok");
    drop(slow);
}
