//! What a caller's connection reads before it is closed as idle.

use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, TcpListener, TcpStream};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use basilgw::clock::SystemClock;
use basilgw::gateway::caller_limit::CallerLimits;
use basilgw::gateway::caller_limit::bounds::ProcessLimits;
use basilgw::gateway::caller_limit::metrics::CallerLimitMetrics;
use basilgw::gateway::caller_stream::{CallerStream, SocketOps};
use basilgw::gateway::connection::CallerConnection;
use basilgw::gateway::framing::RawHead;
use basilgw::metrics::Metrics;
use tokio::io::{AsyncRead, ReadBuf};

const LIMITS: ProcessLimits = ProcessLimits {
    memory: 64 << 20,
    descriptors: 400,
};

/// Bytes that one read returns, without a turn of the runtime.
fn read<S>(stream: &mut S) -> Option<usize>
where
    S: AsyncRead + Unpin,
{
    let mut bytes = [0; 64];
    let mut buf = ReadBuf::new(&mut bytes);
    let mut cx = Context::from_waker(std::task::Waker::noop());
    match Pin::new(stream).poll_read(&mut cx, &mut buf) {
        Poll::Ready(read) => read.map(|()| buf.filled().len()).ok(),
        Poll::Pending => None,
    }
}

// Guards against: a request that has arrived is lost in an idle close, as the process had no
// processor and the timer is seen first; and a close that waits for bytes which never come.
#[tokio::test]
async fn what_has_arrived_is_read_before_an_idle_close() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("an address");
    let mut caller = TcpStream::connect(at).expect("a connection");
    let (stream, _) = listener.accept().expect("a caller");
    stream.set_nonblocking(true).expect("an option");
    let stream = tokio::net::TcpStream::from_std(stream).expect("a socket");
    let metrics = CallerLimitMetrics::open(&Metrics::open()).expect("metrics");
    let limits = CallerLimits::open(LIMITS.into(), SystemClock::open(), metrics);
    let slot = limits.connect(IpAddr::V4(Ipv4Addr::LOCALHOST)).await;
    let connection = CallerConnection::open(slot, SystemClock::open(), RawHead::default());
    let mut stream = CallerStream::new(stream, Arc::clone(&connection), SocketOps::TCP);
    assert!(connection.begin_final_read(), "the first look");
    assert_eq!(read(&mut stream), None, "nothing has arrived");
    caller.write_all(b"GET").expect("a write");
    assert!(!connection.begin_final_read(), "the next one closes");
    assert_eq!(read(&mut stream), Some(3));
    connection.begin_request(Some(0), false);
    caller.write_all(b"GET").expect("a write");
    assert_eq!(read(&mut stream), None, "the runtime alone is asked");
    assert!(connection.begin_final_read(), "a first look anew");
}
