//! Callers against real VM processes: bad input, keys, withdrawal over running streams.

mod testenv;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use basilgw::edge::CallerListener;
use basilgw::schema::settings::CallerSettings;
use standin::env::Environment;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use volo::net::incoming::Incoming;

const ANSWER_BOUND: Duration = Duration::from_secs(15);
const WITHDRAWAL_BOUND: Duration = Duration::from_secs(2);

/// Sends bytes and reads until the peer closes.
async fn exchange(at: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(at).await.unwrap();
    // The peer may answer and close before it has read everything.
    let written = stream.write_all(bytes).await;
    drop(written);
    let mut answer = Vec::new();
    let reading = stream.read_to_end(&mut answer);
    let read = tokio::time::timeout(ANSWER_BOUND, reading)
        .await
        .expect("an answer in time");
    drop(read);
    String::from_utf8_lossy(&answer).into_owned()
}

fn request(path: &str, headers: &str, body: &str) -> Vec<u8> {
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {}\r\n{headers}\r\n",
        body.len()
    );
    (head + body).into_bytes()
}

async fn open(vms: usize) -> Arc<Environment> {
    Environment::open(testenv::program(), vms).await.unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn each_bad_input_gets_its_named_error_and_costs_the_others_nothing() {
    let env = open(1).await;
    let at = env.target(0).address;
    let key = format!("authorization: Bearer {}\r\n", env.site.club.secret);
    let chat = "/v1/completions";
    let good = r#"{"model":"draft","max_tokens":2,"prompt":"x"}"#;
    let long = "a".repeat(2 << 20);
    let wide = format!("{key}x-padding: {}\r\n", "p".repeat(20_000));
    let many = "x-h: 1\r\n".repeat(120);
    let other = env.site.club.secret.replace("bk_", "bk_0");
    let cases = [
        (request(chat, &key, "{\"model\":"), "malformed", 400),
        (
            request(chat, &key, r#"{"model":7,"prompt":"x"}"#),
            "malformed",
            400,
        ),
        (
            request(chat, &key, r#"{"model":"draft","prompt":["x"]}"#),
            "malformed",
            400,
        ),
        (
            request(chat, &key, r#"{"model":"draft"}"#),
            "malformed",
            400,
        ),
        (
            request(
                chat,
                &key,
                r#"{"model":"draft","prompt":"x","max_tokens":-1}"#,
            ),
            "malformed",
            400,
        ),
        (request(chat, &key, &long), "too_large", 413),
        (request(chat, &wide, good), "header_too_large", 431),
        (
            request(chat, &key, r#"{"model":"absent","prompt":"x"}"#),
            "unknown_model",
            404,
        ),
        (
            request(chat, &key, r#"{"model":"private","prompt":"x"}"#),
            "unknown_model",
            404,
        ),
        (
            request(chat, &key, r#"{"model":"draft/none","prompt":"x"}"#),
            "unknown_model",
            404,
        ),
        (request("/nowhere", &key, "{}"), "unknown_route", 404),
        (request("/v1/embeddings", &key, "{}"), "unknown_route", 404),
        (request(chat, "", good), "unauthorized", 401),
        (
            request(chat, &format!("authorization: Bearer {other}\r\n"), good),
            "unauthorized",
            401,
        ),
        (
            request(chat, &format!("{key}x-deadline-ms: soon\r\n"), good),
            "malformed",
            400,
        ),
        (
            request(chat, &format!("{key}x-request-id: a b\r\n"), good),
            "malformed",
            400,
        ),
    ];
    for (bytes, code, status) in cases {
        let answer = exchange(at, &bytes).await;
        assert!(
            answer.contains(&format!("\"code\":\"{code}\"")),
            "{code}: {answer}"
        );
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status}")),
            "{status}: {answer}"
        );
        assert!(answer.contains("\"ran\":\"no\""), "{code}: {answer}");
    }
    let answer = exchange(at, &request(chat, &(key.clone() + &many), good)).await;
    assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
    let deadline = "x-deadline-ms: 10000\r\n";
    let begun = Instant::now();
    let answer = exchange(at, &request(chat, &(key + deadline), good)).await;
    let lines = env.vms[0].log().join("\n");
    assert!(
        answer.starts_with("HTTP/1.1 200"),
        "{:?} {answer} {lines}",
        begun.elapsed()
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_or_silent_connection_is_answered_and_passes_nobody_by() {
    let bounds = CallerSettings {
        slow: 200,
        headers: 1000,
        ..CallerSettings::default()
    };
    let mut listener = CallerListener::bind("127.0.0.1:0".parse().unwrap(), &bounds).unwrap();
    let at = listener.address();
    let silent = TcpStream::connect(at).await.unwrap();
    let slow = tokio::spawn(async move { exchange(at, b"POST / HTTP/1.1\r\nhost:").await });
    let wide = [b"GET / HTTP/1.1\r\nx: ".to_vec(), vec![b'a'; 4000]].concat();
    let wide = tokio::spawn(async move { exchange(at, &wide).await });
    let mut whole = TcpStream::connect(at).await.unwrap();
    whole
        .write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
        .await
        .unwrap();
    let passed = tokio::time::timeout(ANSWER_BOUND, listener.accept())
        .await
        .unwrap()
        .unwrap();
    let from = passed.unwrap().info.peer_addr.unwrap();
    assert_eq!(from.to_string(), whole.local_addr().unwrap().to_string());
    assert!(slow.await.unwrap().contains("\"code\":\"timeout\""));
    assert!(
        wide.await
            .unwrap()
            .contains("\"code\":\"header_too_large\"")
    );
    drop(silent);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_answers_of_the_gate_are_as_long_as_they_say() {
    let bounds = CallerSettings {
        slow: 50,
        headers: 1000,
        ..CallerSettings::default()
    };
    let listener = CallerListener::bind("127.0.0.1:0".parse().unwrap(), &bounds).unwrap();
    let wide = [b"GET / HTTP/1.1\r\nx: ".to_vec(), vec![b'a'; 4000]].concat();
    for bytes in [b"GET".to_vec(), wide] {
        let answer = exchange(listener.address(), &bytes).await;
        let (head, body) = answer.split_once("\r\n\r\n").unwrap();
        assert!(
            head.contains(&format!("content-length: {}", body.len())),
            "{head} {}",
            body.len()
        );
        let parsed: serde_json::Value = serde_json::from_str(body).unwrap();
        assert_eq!(parsed["error"]["ran"], "no");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn no_key_and_no_callers_text_is_logged() {
    let env = open(1).await;
    let at = env.target(0).address;
    let secret = env.site.club.secret.clone();
    let key = format!("authorization: Bearer {secret}\r\n");
    let text = "a-text-of-the-callers-own";
    let good = format!(r#"{{"model":"draft","max_tokens":2,"prompt":"{text}"}}"#);
    let hidden = format!(r#"{{"model":"draft","prompt":"{secret}"}}"#);
    let chat = "/v1/completions";
    exchange(at, &request(chat, &key, &good)).await;
    exchange(at, &request(chat, &key, &hidden)).await;
    exchange(
        at,
        &request(chat, &format!("{key}x-request-id: {secret}\r\n"), &good),
    )
    .await;
    exchange(at, &request(&format!("/slots/{secret}"), &key, "{}")).await;
    exchange(at, &request(&format!("/nowhere/{text}"), &key, text)).await;
    exchange(
        at,
        &request(chat, &format!("authorization: Basic {secret}\r\n"), &good),
    )
    .await;
    let log = env.vms[0].log().join("\n");
    assert!(
        log.contains("request_refused") && log.contains("request_dispatched"),
        "{log}"
    );
    assert!(!log.contains(secret.as_str()), "a key is in the log");
    assert!(!log.contains(text), "a caller's text is in the log");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawal_ends_a_running_stream_at_another_vm_with_the_store_gone() {
    let env = open(3).await;
    let at = env.target(2).address;
    let body = r#"{"model":"draft","stream":true,"max_tokens":4000,"prompt":"x"}"#;
    let headers = format!(
        "authorization: Bearer {}\r\nx-deadline-ms: 60000\r\n",
        env.site.spare.secret
    );
    let mut stream = TcpStream::connect(at).await.unwrap();
    stream
        .write_all(&request("/v1/completions", &headers, body))
        .await
        .unwrap();
    let mut seen = Vec::new();
    while !String::from_utf8_lossy(&seen).contains("data: ") {
        let mut part = [0; 4096];
        let size = tokio::time::timeout(ANSWER_BOUND, stream.read(&mut part)).await;
        let size = size.expect("a first chunk in time").unwrap();
        assert_ne!(size, 0, "{}", String::from_utf8_lossy(&seen));
        seen.extend_from_slice(&part[..size]);
    }
    let key = env.site.spare.key.clone();
    env.withdraw(0, &key).await.unwrap();
    let accepted = Instant::now();
    env.platform.set_gate(standin::gate::Mode::Down);
    let rest = stream.read_to_end(&mut seen);
    let ended = tokio::time::timeout(ANSWER_BOUND, rest).await;
    ended.expect("an end in time").unwrap();
    let spent = accepted.elapsed();
    let whole = String::from_utf8_lossy(&seen);
    assert!(whole.contains("\"code\":\"withdrawn\""), "ended otherwise");
    assert!(!whole.contains("[DONE]"));
    assert!(spent < WITHDRAWAL_BOUND, "took {spent:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_trickles_in_is_given_up_at_its_bound() {
    let env = open(1).await;
    let key = format!("authorization: Bearer {}\r\n", env.site.club.secret);
    let whole = request("/v1/completions", &key, r#"{"model":"draft","prompt":"x"}"#);
    // The last bytes never come; callers.slow is 10 s here.
    let answer = exchange(env.target(0).address, &whole[..whole.len() - 4]).await;
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(
        answer.contains("\"code\":\"timeout\"") && answer.contains("\"ran\":\"no\""),
        "{answer}"
    );
}

#[tokio::test]
async fn a_burst_of_connections_waits_without_being_dropped() {
    const BURST: usize = 400;
    const AT_ONCE: Duration = Duration::from_millis(900);
    let listener = basilgw::listen::bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let at = listener.local_addr().unwrap();
    let mut held = Vec::new();
    for number in 0..BURST {
        // A dropped first packet is sent again after a second.
        let connecting = tokio::time::timeout(AT_ONCE, TcpStream::connect(at));
        held.push(
            connecting
                .await
                .unwrap_or_else(|_| panic!("connection {number}"))
                .unwrap(),
        );
    }
}
