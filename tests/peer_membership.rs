//! Merging of the platform's list and of digests, in any order.

use std::time::{Duration, Instant};

use basilgw::ids::{Generation, Revision, UpstreamId, VmId};
use basilgw::peer::membership::Membership;
use basilgw::peer::{Digest, MemberDigest, MemberState, UpstreamDigest};
use basilgw::store::{Instance, InstanceKind, InstanceList, InstanceState};
use proptest::prelude::*;

const SILENCE: Duration = Duration::from_secs(4);

fn vm(index: u8) -> VmId {
    format!("vm-{index}").parse().unwrap()
}

fn digest(from: u8, generation: u64, members: Vec<MemberDigest>) -> Digest {
    Digest {
        vm: vm(from),
        generation: Generation(generation),
        revision: Revision(1),
        heard: 0,
        leaving: false,
        upstreams: Vec::new(),
        members,
    }
}

fn member(index: u8, generation: u64, leaving: bool, age: u64) -> MemberDigest {
    MemberDigest {
        vm: vm(index),
        generation: Generation(generation),
        age,
        leaving,
    }
}

fn listed(vms: &[(u8, u64)], age: u64) -> InstanceList {
    let instances = vms.iter().map(|&(index, generation)| Instance {
        vm: vm(index),
        kind: InstanceKind::Gateway,
        state: InstanceState::Live,
        generation: Generation(generation),
        centre: "dc-1".parse().unwrap(),
        address: "127.0.0.1:1".into(),
        fenced: false,
        memory: None,
        service: None,
    });
    InstanceList {
        age,
        instances: instances.collect(),
    }
}

fn state(m: &Membership, index: u8, now: Instant) -> Option<MemberState> {
    m.members(now).vms.get(&vm(index)).map(|m| m.state)
}

#[test]
fn a_leaving_word_is_undone_by_a_newer_generation_alone() {
    let now = Instant::now();
    let mut m = Membership::open(vm(0), SILENCE);
    m.apply_list(&listed(&[(1, 5), (2, 1)], 0), now);
    assert!(m.apply_digest(&digest(2, 1, vec![member(1, 5, true, 0)]), now));
    assert!(!m.apply_digest(&digest(2, 1, vec![member(1, 5, true, 0)]), now));
    m.apply_list(&listed(&[(1, 5)], 0), now);
    m.apply_digest(&digest(1, 5, Vec::new()), now);
    m.record_received(&vm(1), Generation(5), now);
    assert_eq!(state(&m, 1, now), Some(MemberState::Leaving));
    m.apply_list(&listed(&[(1, 6)], 0), now);
    assert_eq!(state(&m, 1, now), Some(MemberState::Live));
}

#[test]
fn an_upstreams_leaving_word_spreads_and_sticks() {
    let now = Instant::now();
    let upstream: UpstreamId = "engine-1".parse().unwrap();
    let entry = |generation, leaving| UpstreamDigest {
        upstream: upstream.clone(),
        generation: Generation(generation),
        leaving,
        inflight: 0,
    };
    let digest_with = |entry| Digest {
        upstreams: vec![entry],
        ..digest(1, 1, Vec::new())
    };
    let mut m = Membership::open(vm(0), SILENCE);
    assert!(m.apply_digest(&digest_with(entry(3, true)), now));
    assert_eq!(m.newly_leaving_upstreams().count(), 1);
    m.apply_digest(&digest_with(entry(3, false)), now);
    assert!(m.members(now).is_leaving(&upstream, Generation(3)));
    assert!(!m.members(now).is_leaving(&upstream, Generation(4)));
    m.apply_digest(&digest_with(entry(4, false)), now);
    assert!(!m.members(now).is_leaving(&upstream, Generation(4)));
}

#[test]
fn two_peers_make_a_vm_silent_and_a_later_word_revives_it() {
    let now = Instant::now();
    let mut m = Membership::open(vm(0), SILENCE);
    m.apply_list(&listed(&[(1, 1), (2, 1), (3, 1)], 0), now);
    m.apply_digest(&digest(2, 1, vec![member(1, 1, false, 9000)]), now);
    assert_eq!(state(&m, 1, now), Some(MemberState::Live));
    m.apply_digest(&digest(3, 1, vec![member(1, 1, false, 9000)]), now);
    assert_eq!(state(&m, 1, now), Some(MemberState::Silent));
    m.apply_digest(&digest(4, 1, vec![member(1, 1, false, 10)]), now);
    assert_eq!(state(&m, 1, now), Some(MemberState::Live));
}

#[test]
fn a_lost_link_outlasts_hearsay_and_an_older_list_is_refused() {
    let start = Instant::now();
    let now = start + Duration::from_mins(1);
    let mut m = Membership::open(vm(0), SILENCE);
    m.apply_list(&listed(&[(1, 1)], 0), now);
    m.mark_lost(&vm(1), now);
    m.apply_digest(&digest(2, 1, vec![member(1, 1, false, 0)]), now);
    assert_eq!(state(&m, 1, now), Some(MemberState::Silent));
    m.record_received(&vm(1), Generation(1), now + Duration::from_secs(1));
    assert_eq!(
        state(&m, 1, now + Duration::from_secs(1)),
        Some(MemberState::Live)
    );
    m.apply_list(&listed(&[], 0), now + Duration::from_secs(2));
    m.apply_list(&listed(&[(1, 1)], 5000), now + Duration::from_secs(3));
    assert_eq!(state(&m, 1, now + Duration::from_secs(30)), None);
}

fn any_digest() -> impl Strategy<Value = Digest> {
    let member = (1..6u8, 1..4u64, any::<bool>(), 0..9000u64)
        .prop_map(|(index, generation, leaving, age)| member(index, generation, leaving, age));
    let members = prop::collection::vec(member, 0..4);
    (1..6u8, 1..4u64, any::<bool>(), members).prop_map(|(from, generation, leaving, members)| {
        Digest {
            leaving,
            ..digest(from, generation, members)
        }
    })
}

/// The greatest generation and leaving flag that `digests` hold on one VM.
fn expected(digests: &[Digest], index: u8) -> Option<(u64, bool)> {
    let statuses = digests.iter().flat_map(|d| {
        // A member entry on the sender itself is ignored.
        let others = d.members.iter().filter(|m| m.vm != d.vm);
        let others = others.map(|m| (&m.vm, m.generation.0, m.leaving));
        others.chain([(&d.vm, d.generation.0, d.leaving)])
    });
    let of_vm = statuses.filter(|(id, ..)| **id == vm(index));
    of_vm
        .map(|(_, generation, leaving)| (generation, leaving))
        .max()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn words_join_alike_in_every_order(
        (digests, shuffled) in prop::collection::vec(any_digest(), 1..12)
            .prop_flat_map(|d| (Just(d.clone()), Just([d.clone(), d].concat()).prop_shuffle())),
        gaps in prop::collection::vec(0..6000u64, 24),
    ) {
        let mut now = Instant::now();
        let mut m = Membership::open(vm(0), SILENCE);
        m.apply_list(&listed(&[(1, 1), (2, 1), (3, 1)], 0), now);
        for (late, gap) in shuffled.iter().zip(gaps) {
            let before = m.members(now);
            now += Duration::from_millis(gap);
            m.apply_digest(late, now);
            for (id, member) in &before.vms {
                prop_assert!(m.generation(id) >= Some(member.generation));
            }
            // VMs that are not listed are live only within the silence timeout after a digest of
            // their own.
            for index in 4..6 {
                let received =
                    late.vm == vm(index) && m.generation(&vm(index)) == Some(late.generation);
                let idle = gap > 4000 && !received;
                prop_assert!(!idle || state(&m, index, now).is_none());
            }
        }
        for index in 1..6 {
            let status = expected(&digests, index);
            let generation = m.generation(&vm(index)).map(|g| g.0);
            let floor = (index < 4).then_some(1);
            prop_assert_eq!(generation, status.map(|(g, _)| g).max(floor));
            let leaving = state(&m, index, now) == Some(MemberState::Leaving);
            if index < 4 {
                prop_assert_eq!(leaving, status.is_some_and(|(_, l)| l));
            }
        }
    }

    #[test]
    fn hearsay_alone_keeps_nobody(digests in prop::collection::vec(any_digest(), 1..12)) {
        let now = Instant::now();
        let mut m = Membership::open(vm(0), SILENCE);
        for digest in &digests {
            m.apply_digest(digest, now);
        }
        for index in 1..6 {
            let sent = digests.iter().any(|d| d.vm == vm(index));
            prop_assert!(sent || state(&m, index, now).is_none());
        }
    }
}
