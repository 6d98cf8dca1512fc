//! Links over real sockets: silent and lost connections, orderly closes, refused frames.

mod peer_common;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use basilgw::ids::{Generation, Revision};
use basilgw::peer::{
    Blob, ConfigPart, Connectivity, Frame, Hello, MemberState, PROTOCOL, PeerNode, SendError, frame,
};
use basilgw::units::Bytes;
use futures_util::{SinkExt, StreamExt};
use peer_common::{DEADLINE, Peer, list, open, rare_rounds, settings, vm, wait};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;

/// Forwards TCP connections. Connections that are open when `mute` is called stay open, but no more
/// bytes are forwarded on them.
struct Proxy {
    address: SocketAddr,
    /// Flag of new connections; `mute` sets it and replaces it by a new one.
    muted: Arc<std::sync::Mutex<Arc<AtomicBool>>>,
}

impl Proxy {
    async fn bind(to: SocketAddr) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let muted = Arc::new(std::sync::Mutex::new(Arc::new(AtomicBool::new(false))));
        let current = Arc::clone(&muted);
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let far = TcpStream::connect(to).await.unwrap();
                let muted = Arc::clone(&current.lock().unwrap());
                let ((a, b), (c, d)) = (near.into_split(), far.into_split());
                tokio::spawn(copy(a, d, Arc::clone(&muted)));
                tokio::spawn(copy(c, b, muted));
            }
        });
        Self { address, muted }
    }

    fn mute(&self) {
        let new = Arc::new(AtomicBool::new(false));
        let old = std::mem::replace(&mut *self.muted.lock().unwrap(), new);
        old.store(true, Ordering::SeqCst);
    }
}

async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, muted: Arc<AtomicBool>) {
    let mut buffer = [0; 4096];
    while let Ok(size @ 1..) = from.read(&mut buffer).await {
        if !muted.load(Ordering::SeqCst) && to.write_all(&buffer[..size]).await.is_err() {
            return;
        }
    }
}

/// Connects to a node and sends `Hello` of the given protocol version, as `vm(99)`.
async fn connect_raw(node: &PeerNode, protocol: u32) -> WebSocketStream<TcpStream> {
    let stream = TcpStream::connect(node.local_addr()).await.unwrap();
    let url = format!("ws://{}/", node.local_addr());
    let (mut socket, _) = tokio_tungstenite::client_async(url, stream).await.unwrap();
    let hello = Frame::Hello(Hello {
        protocol,
        vm: vm(99),
        generation: Generation(1),
        centre: "dc-1".parse().unwrap(),
        revision: Revision(0),
    });
    let bytes = frame::encode(&hello, Bytes(1000)).unwrap();
    socket.send(Message::Binary(bytes)).await.unwrap();
    socket
}

fn binary(frame: &Frame) -> Message {
    Message::Binary(frame::encode(frame, Bytes(10_000_000)).unwrap())
}

#[tokio::test]
async fn a_silent_link_is_replaced_within_the_bound() {
    let a = open(0, settings(), 0).await;
    let b = open(1, settings(), 0).await;
    let proxy = Proxy::bind(b.node.local_addr()).await;
    // Only `a` knows the address of `b`, which is that of the proxy, so that all frames go through
    // the proxy.
    a.node.apply_list(&list(&[(vm(1), proxy.address)].into()));
    wait("a link", || b.node.open_links() == 1).await;
    let before = b.node.metrics().frames_in.get();
    wait("traffic", || b.node.metrics().frames_in.get() > before).await;

    proxy.mute();
    let start = Instant::now();
    wait("a new link", || a.node.metrics().replaced.get() == 1).await;
    let before = b.node.metrics().frames_in.get();
    wait("new traffic", || b.node.metrics().frames_in.get() > before).await;
    let silence = Duration::from_millis(settings().silence);
    // The last byte may have been received a little before the proxy was muted.
    assert!(start.elapsed() > silence / 2, "{:?}", start.elapsed());
    assert!(start.elapsed() < silence * 3, "{:?}", start.elapsed());
    assert_eq!(a.node.members().vms[&vm(1)].state, MemberState::Live);
}

#[tokio::test]
async fn an_unused_link_is_closed_and_that_is_no_break() {
    let a = open(0, rare_rounds(), 0).await;
    let b = open(1, rare_rounds(), 0).await;
    let both = list(&[&a, &b].map(|p| (p.vm.clone(), p.node.local_addr())).into());
    a.node.apply_list(&both);
    b.node.apply_list(&both);
    a.node.send_state(&vm(1));
    let linked = |p: &Peer| p.node.open_links() == 1;
    wait("a link", || linked(&a) && linked(&b)).await;
    wait("its end", || !linked(&a) && !linked(&b)).await;
    for (peer, other) in [(&a, vm(1)), (&b, vm(0))] {
        assert_eq!(peer.node.members().vms[&other].state, MemberState::Live);
        assert_eq!(peer.node.metrics().replaced.get(), 0);
    }
}

#[tokio::test]
async fn a_link_closed_in_order_is_no_break() {
    let a = open(0, rare_rounds(), 0).await;
    let mut socket = connect_raw(&a.node, PROTOCOL).await;
    wait("a link", || a.node.open_links() == 1).await;
    a.node
        .apply_list(&list(&[(vm(99), a.node.local_addr())].into()));
    socket.send(Message::Close(None)).await.unwrap();
    wait("its end", || a.node.open_links() == 0).await;
    assert_eq!(a.node.members().vms[&vm(99)].state, MemberState::Live);
    assert_eq!(a.node.metrics().unreachable.get(), 0);
}

#[tokio::test]
async fn a_link_that_is_closed_takes_what_is_on_its_way() {
    let a = open(0, rare_rounds(), 0).await;
    let mut socket = connect_raw(&a.node, PROTOCOL).await;
    wait("a link", || a.node.open_links() == 1).await;
    let closed = async {
        while let Some(message) = socket.next().await {
            if matches!(message, Ok(Message::Close(_))) {
                return true;
            }
        }
        false
    };
    assert_eq!(timeout(DEADLINE, closed).await, Ok(true));
    // A ping that the other side sends before it processes the close frame. Were the connection
    // reset, the other side would see a lost connection instead of the close frame.
    let ping = [0x89, 0x80, 0, 0, 0, 0];
    let stream = socket.get_mut();
    for _ in 0..4 {
        tokio::time::sleep(Duration::from_millis(20)).await;
        stream.write_all(&ping).await.unwrap();
    }
}

#[tokio::test]
async fn a_vm_that_dies_turns_silent_and_then_this_one_is_alone() {
    let a = open(0, settings(), 0).await;
    let b = open(1, settings(), 0).await;
    a.node
        .apply_list(&list(&[(vm(1), b.node.local_addr())].into()));
    wait("a link", || a.node.open_links() == 1).await;
    wait("an outage", || {
        a.node.connectivity() == Connectivity::Outage
    })
    .await;
    drop(b);
    let silent = || a.node.members().vms[&vm(1)].state == MemberState::Silent;
    wait("silence", silent).await;
    wait("isolation", || {
        a.node.connectivity() == Connectivity::Isolated
    })
    .await;
}

#[tokio::test]
async fn a_greeting_that_never_comes_is_given_up() {
    let a = open(0, settings(), 0).await;
    let mut half_open = TcpStream::connect(a.node.local_addr()).await.unwrap();
    let start = Instant::now();
    let mut buffer = [0; 1];
    let read = timeout(DEADLINE, half_open.read(&mut buffer)).await;
    assert_eq!(read.unwrap().unwrap(), 0);
    assert!(start.elapsed() < Duration::from_millis(settings().silence) * 3);
    assert_eq!(a.node.metrics().opened.get(), 0);
}

#[tokio::test]
async fn another_protocol_version_opens_no_link() {
    let a = open(0, settings(), 0).await;
    let _socket = connect_raw(&a.node, PROTOCOL + 1).await;
    wait("a refusal", || a.node.metrics().rejected.get() == 1).await;
    assert_eq!(a.node.metrics().opened.get(), 0);
}

#[tokio::test]
async fn a_frame_that_must_not_be_ends_the_link() {
    let small = basilgw::schema::settings::PeerSettings {
        frame: 2000,
        ..settings()
    };
    let oversized = binary(&Frame::Config(ConfigPart {
        revision: Revision(1),
        part: 0,
        parts: 1,
        bytes: Blob(vec![200; 2_000_000].into()),
    }));
    let mut unknown = Vec::new();
    ciborium::into_writer(&serde_json::json!({"novel": 1}), &mut unknown).unwrap();
    let unknown = Message::Binary(unknown.into());
    let text = Message::Text("hello".into());
    for (count, message) in (1..).zip([oversized, unknown, text]) {
        let a = open(0, small.clone(), 0).await;
        let mut socket = connect_raw(&a.node, PROTOCOL).await;
        wait("a link", || a.node.open_links() == 1).await;
        // The node may close the connection before the oversized message is completely sent.
        let sent = socket.send(message).await;
        assert!(sent.is_ok() || count == 1);
        wait("a refusal", || a.node.metrics().rejected.get() == 1).await;
        wait("the end", || a.node.open_links() == 0).await;
        assert_eq!(a.node.metrics().frames_in.get(), 0, "message {count}");
        assert!(a.node.metrics().bytes_in.get() < 100_000, "message {count}");
    }
}

#[tokio::test]
async fn a_full_queue_drops_and_never_blocks() {
    let a = open(0, settings(), 0).await;
    // Accepts connections and reads nothing, as a paused VM would.
    let paused = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = paused.local_addr().unwrap();
    a.node.apply_list(&list(&[(vm(1), address)].into()));
    let frame = Frame::Config(ConfigPart {
        revision: Revision(1),
        part: 0,
        parts: 1,
        bytes: Blob(vec![200; 1000].into()),
    });
    let start = Instant::now();
    let results: Vec<_> = (0..200).map(|_| a.node.send(&vm(1), &frame)).collect();
    assert!(start.elapsed() < Duration::from_millis(settings().silence));
    assert_eq!(results.first(), Some(&Ok(())));
    assert_eq!(results.last(), Some(&Err(SendError::Full)));
    wait("the drop", || a.node.metrics().dropped.get() >= 200).await;
    assert_eq!(a.node.send(&vm(7), &frame), Err(SendError::NoAddress));
}
