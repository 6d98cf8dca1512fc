use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use http_body::Body as _;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::time::timeout;
use volo::net::Address;
use volo_http::body::Body;
use volo_http::client::ClientBuilder;

use super::marked::{MarkedBody, SendMark};

const RACES: usize = 50_000;
const TIMEOUT: Duration = Duration::from_secs(5);

#[test]
fn a_request_is_withdrawn_or_leaves_and_never_both() {
    let marks: Vec<_> = (0..RACES).map(|_| SendMark::default()).collect();
    let rounds = [AtomicUsize::new(0), AtomicUsize::new(0)];
    // Each thread spins until the other reaches the same round, so that both act at the same time.
    let race = |own: usize, act: &dyn Fn(&SendMark) -> bool| -> Vec<bool> {
        let run = |(round, mark)| {
            rounds[own].store(round, Ordering::Release);
            while rounds[1 - own].load(Ordering::Acquire) < round {
                std::hint::spin_loop();
            }
            act(mark)
        };
        marks.iter().enumerate().map(run).collect()
    };
    let start = |mark: &SendMark| {
        let body = MarkedBody::new(Bytes::new(), mark.clone());
        body.is_end_stream()
    };
    let (cancelled, started) = thread::scope(|scope| {
        let cancelling = scope.spawn(|| race(0, &SendMark::cancel));
        let starting = scope.spawn(|| race(1, &start));
        (cancelling.join(), starting.join())
    });
    let (cancelled, started) = (cancelled.expect("no panic"), started.expect("no panic"));
    let both = cancelled
        .iter()
        .zip(&started)
        .filter(|(a, b)| a == b)
        .count();
    assert_eq!(both, 0);
    let count = started.iter().filter(|&&started| started).count();
    assert!(count > 0 && count < RACES, "{count} of {RACES} started");
}

#[tokio::test]
async fn a_withdrawn_request_puts_no_byte_on_the_wire() {
    for body in ["", "{}"] {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
        let address = listener.local_addr().expect("has an address");
        let client: volo_http::client::Client = ClientBuilder::new().build().expect("builds");
        let mark = SendMark::default();
        assert!(mark.cancel());
        let body = MarkedBody::new(Bytes::from_static(body.as_bytes()), mark);
        let request = client
            .post("/book")
            .address(Address::from(address))
            .body(Body::from_body(body));
        let (sent, accepted) = tokio::join!(timeout(TIMEOUT, request.send()), listener.accept());
        let sent = sent.expect("not sent and waited for");
        sent.expect_err("cancelled");
        let (mut stream, _) = accepted.expect("a connection");
        let mut received = Vec::new();
        drop(client);
        stream.read_to_end(&mut received).await.expect("ends");
        assert_eq!(received, b"");
    }
}
