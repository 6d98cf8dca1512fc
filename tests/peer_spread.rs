//! A new configuration reaches all VMs, in parts, and never replaces a newer one.

mod peer_common;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use basilgw::declare::config_sync::{
    Action, Bundle, Event, FETCH_TIMEOUT, OfferError, PART_BYTES, SyncState, chunk_key,
};
use basilgw::ids::{Revision, UpstreamId};
use basilgw::peer::{Blob, ConfigPart, Frame, MemberState};
use basilgw::schema::declaration::{ChunkRef, Head};
use basilgw::units;
use bytes::Bytes;
use peer_common::{Peer, RARE_ROUND, first_round, fleet, open, rare_rounds, settings, vm, wait};

fn all_hold(peers: &[Peer], revision: u64) -> bool {
    let holds = |p: &Peer| basilgw::peer::LocalState::revision(&*p.config) == Revision(revision);
    peers.iter().all(holds)
}

fn accept(peer: &Peer, revision: u64) {
    peer.config.set_revision(revision);
    peer.config_sync.announce(Revision(revision));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_revision_reaches_nine_vms_in_many_parts() {
    let peers = fleet(9, rare_rounds(), 5 * PART_BYTES + 17).await;
    first_round(&peers).await;
    for revision in 1..=5 {
        accept(&peers[revision as usize], revision);
        let took = wait("the spread", || all_hold(&peers, revision)).await;
        assert!(took < RARE_ROUND / 3, "{took:?}");
    }
    for peer in &peers {
        let offers = peer.config.offers.lock().unwrap();
        let accepted: Vec<_> = offers.iter().flatten().collect();
        assert!(accepted.is_sorted(), "{accepted:?}");
        assert_eq!(peer.config.rereads.load(Ordering::SeqCst), 0);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_vm_that_starts_late_catches_up_without_the_store() {
    let mut peers = fleet(3, settings(), 100).await;
    accept(&peers[0], 4);
    wait("the spread", || all_hold(&peers, 4)).await;
    peers.push(open(3, settings(), 100).await);
    let addresses = peers.iter().map(|p| (p.vm.clone(), p.node.local_addr()));
    let list = peer_common::list(&addresses.collect());
    for peer in &peers {
        peer.node.apply_list(&list);
    }
    wait("the catch-up", || all_hold(&peers, 4)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stale_revision_is_refused() {
    let peers = fleet(2, settings(), 100).await;
    accept(&peers[0], 9);
    wait("the spread", || all_hold(&peers, 9)).await;
    let stale = Frame::Config(ConfigPart {
        revision: Revision(3),
        part: 0,
        parts: 1,
        bytes: Blob(vec![0; 108].into()),
    });
    peers[0].node.send(&vm(1), &stale).unwrap();
    wait("the refusal", || peers[1].config_sync.stale_parts() == 1).await;
    assert_eq!(peers[1].config.offers.lock().unwrap().len(), 1);
    assert!(all_hold(&peers, 9));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_words_reach_all() {
    let peers = fleet(9, rare_rounds(), 0).await;
    first_round(&peers).await;
    let engine: UpstreamId = "engine-1".parse().unwrap();
    let generation = basilgw::ids::Generation(2);
    peers[0].node.mark_upstream_leaving(&engine, generation);
    peers[0].node.announce_leaving();
    let knows = |p: &Peer| {
        let members = p.node.members();
        members.is_leaving(&engine, generation) && members.vms[&vm(0)].state == MemberState::Leaving
    };
    let took = wait("the leaving state", || peers[1..].iter().all(knows)).await;
    assert!(took < RARE_ROUND / 3, "{took:?}");
}

#[test]
fn a_source_that_stalls_or_lies_is_replaced_and_the_store_asked() {
    let now = Instant::now();
    let received = |index, revision| Event::RevisionReceived {
        from: vm(index),
        revision: Revision(revision),
    };
    let fetch = |index: usize| Action::Fetch {
        from: vm(index),
        revision: Revision(6),
    };
    let mut sync = SyncState::open(Revision(5));
    assert_eq!(sync.step(received(1, 7), now), [fetch(1)]);
    assert_eq!(sync.step(received(2, 6), now), []);
    assert_eq!(
        sync.step(received(3, 4), now),
        [Action::SendRevision { to: vm(3) }]
    );
    let late = now + FETCH_TIMEOUT;
    assert_eq!(
        sync.step(Event::Tick, late),
        [Action::RereadStore, fetch(2)]
    );
    let invalid = Event::OfferCompleted {
        from: vm(2),
        result: Err(OfferError::Invalid),
    };
    assert_eq!(sync.step(invalid, late), [fetch(1)]);
    assert_eq!(sync.step(Event::Tick, late), []);
    let later = late + FETCH_TIMEOUT;
    assert_eq!(
        sync.step(Event::Tick, later),
        [Action::RereadStore, fetch(1)]
    );
    let last = later + FETCH_TIMEOUT;
    assert_eq!(sync.step(Event::Tick, last), [Action::RereadStore]);
    assert_eq!(sync.step(Event::Activated(Revision(5)), late), []);
    assert_eq!(sync.revision(), Revision(5));
    let announce = Action::Announce { except: None };
    assert_eq!(sync.step(Event::Activated(Revision(8)), late), [announce]);
}

#[test]
fn parts_join_in_any_order_and_once() {
    let now = Instant::now() + Duration::from_secs(1);
    let part = |part, byte| Event::PartReceived {
        from: vm(1),
        part: ConfigPart {
            revision: Revision(2),
            part,
            parts: 2,
            bytes: Blob(vec![byte].into()),
        },
    };
    let mut sync = SyncState::open(Revision(1));
    sync.step(
        Event::RevisionReceived {
            from: vm(1),
            revision: Revision(2),
        },
        now,
    );
    assert_eq!(sync.step(part(1, b'b'), now), []);
    assert_eq!(sync.step(part(1, b'b'), now), []);
    let complete = Action::Offer {
        from: vm(1),
        bytes: Bytes::from_static(b"ab"),
    };
    assert_eq!(sync.step(part(0, b'a'), now), [complete]);
}

#[test]
fn a_bundle_is_checked_against_its_head() {
    let (one, two) = (Bytes::from_static(b"one"), Bytes::from_static(b"two"));
    let chunk = |content: &Bytes| ChunkRef {
        key: chunk_key(content).unwrap(),
        size: units::Bytes(content.len() as u64),
    };
    let head = Head {
        revision: Revision(2),
        parent: Revision(1),
        change: "change-2".parse().unwrap(),
        actor: "operator".into(),
        wall: 0,
        chunks: vec![chunk(&one), chunk(&two)],
        audit: Vec::new(),
        page: 0,
    };
    let key = |content: &Bytes| chunk_key(content).unwrap();
    let pack = |content: &Bytes| Bundle::pack(head.clone(), [(key(&two), content.clone())]);
    let kept = |wanted: &basilgw::ids::ObjectKey| (*wanted == key(&one)).then(|| one.clone());

    let bundle = Bundle::decode(&pack(&two).encode().unwrap()).unwrap();
    assert_eq!(bundle.verify(kept).unwrap(), [one.clone(), two.clone()]);
    assert_eq!(bundle.verify(|_| None), Err(OfferError::Missing(key(&one))));
    let forged = pack(&Bytes::from_static(b"TWO"));
    assert_eq!(
        forged.verify(kept),
        Err(OfferError::HashMismatch(key(&two)))
    );
    let stray = Bundle::pack(head.clone(), [(key(&Bytes::new()), Bytes::new())]);
    assert_eq!(stray.verify(kept), Err(OfferError::Malformed));
}

#[test]
fn a_node_and_its_spreader_do_not_keep_each_other() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let node = runtime.block_on(async {
        let peer = open(0, settings(), 0).await;
        let node = Arc::downgrade(&peer.node);
        assert_eq!(node.strong_count(), 1);
        drop(peer);
        node
    });
    assert_eq!(node.strong_count(), 0);
}
