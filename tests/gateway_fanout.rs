//! A few VMs of each data centre read the store for the others: roles, changes, and proof that a
//! follower never takes what it was told for fresher than it is.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use basilgw::clock::BootTime;
use basilgw::gateway::fanout::change_log::ChangeLog;
use basilgw::gateway::fanout::coverage::Coverage;
use basilgw::gateway::fanout::follower::{FollowId, Follower};
use basilgw::gateway::fanout::roles::{Capacity, Role, assign};
use basilgw::gateway::freshness::Freshness;
use basilgw::ids::{StoreGeneration, Version, VmId};
use basilgw::schema::mesh::RegistrationChange;
use proptest::prelude::*;

mod gateway_support;
use gateway_support::{id, ms, registration};

const KEYS_BOUND: Duration = Duration::from_secs(5);
const LEAVING_BOUND: Duration = Duration::from_secs(3);

fn boot(millis: u64) -> BootTime {
    BootTime::new(ms(millis))
}

fn version(generation: u64, revision: u64) -> Version {
    Version::compose(StoreGeneration(generation), revision).expect("in range")
}

/// VMs of which each tenth is a large one.
fn centre(count: u32) -> BTreeMap<VmId, Capacity> {
    let capacity = |n| Capacity(if n % 10 == 0 { 500 } else { 120 });
    (0..count)
        .map(|n| (id(&format!("vm-{n}")), capacity(n)))
        .collect()
}

fn roles(vms: &BTreeMap<VmId, Capacity>) -> BTreeMap<VmId, Role> {
    vms.keys().map(|vm| (vm.clone(), assign(vm, vms))).collect()
}

fn readers(roles: &BTreeMap<VmId, Role>) -> BTreeSet<VmId> {
    let readers = roles.iter().filter(|(_, role)| **role == Role::Reader);
    readers.map(|(vm, _)| vm.clone()).collect()
}

#[test]
fn few_large_vms_read_for_many_and_share_the_followers() {
    let vms = centre(59);
    let roles = roles(&vms);
    let readers = readers(&roles);
    assert_eq!(readers.len(), 4);
    assert!(
        readers.iter().all(|vm| vms[vm] == Capacity(500)),
        "{readers:?}"
    );
    let mut followers: BTreeMap<&VmId, u32> = BTreeMap::new();
    for role in roles.values() {
        if let Role::Follower(order) = role {
            assert_eq!(order.iter().cloned().collect::<BTreeSet<_>>(), readers);
            *followers.entry(&order[0]).or_default() += 1;
        }
    }
    assert!(
        followers.values().all(|count| (5..=25).contains(count)),
        "{followers:?}"
    );
}

#[test]
fn followers_of_a_lost_reader_spread_over_the_others() {
    let mut vms = centre(59);
    let before = roles(&vms);
    let lost = readers(&before).first().cloned().expect("a reader");
    let orphans = before.values().filter_map(|role| match role {
        Role::Follower(order) if order[0] == lost => Some(order[1].clone()),
        _ => None,
    });
    assert!(
        orphans.collect::<BTreeSet<_>>().len() >= 2,
        "all turn to one reader"
    );
    vms.remove(&lost);
    assert_eq!(readers(&roles(&vms)).len(), 4, "another VM takes its place");
}

#[test]
fn without_large_vms_small_ones_read() {
    let small: BTreeMap<_, _> = centre(20)
        .into_iter()
        .filter(|(_, c)| *c < Capacity(500))
        .collect();
    assert_eq!(readers(&roles(&small)).len(), 2);
}

#[test]
fn in_a_small_data_centre_every_vm_reads() {
    for role in roles(&centre(5)).into_values() {
        assert_eq!(role, Role::Alone);
    }
}

#[test]
fn a_silent_reader_is_passed_over_and_an_old_answer_says_nothing() {
    let readers = [id("a"), id("b")];
    let mut follower = Follower::default();
    let (first, question) = follower.next_request(&readers, boot(0)).expect("a reader");
    assert_eq!(first, &readers[0]);
    let (second, newer) = follower
        .next_request(&readers, boot(500))
        .expect("a reader");
    assert_eq!(second, &readers[1]);
    assert_eq!(follower.on_response(question), None, "answered too late");
    assert_eq!(follower.on_response(newer), Some(boot(500)));
    assert_eq!(follower.on_response(newer), None, "a second copy");
    assert_eq!(follower.on_response(FollowId(99)), None);
    let (third, _) = follower
        .next_request(&readers, boot(1000))
        .expect("a reader");
    assert_eq!(third, &readers[1], "the reader that answers is kept");
    assert_eq!(follower.next_request(&[], boot(1500)), None);
}

fn change(name: &str, leaving: bool) -> RegistrationChange {
    let mut written = registration(name, 1);
    written.leaving = leaving;
    RegistrationChange {
        name: name.into(),
        registration: Some(written),
    }
}

#[test]
fn a_follower_gets_what_changed_since_its_version_and_only_the_last_of_each() {
    let mut log = ChangeLog::default();
    assert_eq!(log.since(version(1, 1)), None, "nothing is known yet");
    log.on_list(version(1, 10));
    log.on_changes(
        vec![change("e1", false), change("e2", false)],
        version(1, 12),
    );
    log.on_changes(vec![change("e1", true)], version(1, 15));
    let all = (
        vec![change("e2", false), change("e1", true)],
        version(1, 15),
    );
    assert_eq!(log.since(version(1, 10)), Some(all));
    let last = (vec![change("e1", true)], version(1, 15));
    assert_eq!(log.since(version(1, 12)), Some(last));
    assert_eq!(
        log.since(version(1, 15)),
        Some((Vec::new(), version(1, 15)))
    );
    assert_eq!(log.since(version(1, 9)), None, "before the list");
    let behind = log.since(version(1, 16)).map(|(_, after)| after);
    assert_eq!(
        behind,
        Some(version(1, 15)),
        "the reader is behind its follower"
    );
}

#[test]
fn versions_of_another_generation_of_the_store_are_never_joined() {
    let mut log = ChangeLog::default();
    log.on_list(version(2, 10));
    log.on_changes(vec![change("e1", true)], version(2, 11));
    assert_eq!(log.since(version(1, 10)), None, "the follower lists anew");
    let ahead = log
        .since(version(3, 1))
        .map(|(changes, after)| (changes.len(), after));
    assert_eq!(
        ahead,
        Some((0, version(2, 11))),
        "the reader is of an older copy"
    );
    log.on_changes(vec![change("e9", false)], version(1, 99));
    assert_eq!(
        log.version(),
        Some(version(2, 11)),
        "an older batch is dropped"
    );
}

#[test]
fn many_changes_come_in_parts_and_old_ones_are_forgotten() {
    let mut log = ChangeLog::default();
    log.on_list(version(1, 0));
    for batch in 1..=100 {
        let names = (0..30).map(|n| change(&format!("e{batch}-{n}"), false));
        log.on_changes(names.collect(), version(1, batch));
    }
    assert_eq!(log.since(version(1, 1)), None);
    let (changes, after) = log.since(version(1, 90)).expect("known");
    assert_eq!((changes.len(), after), (60, version(1, 92)));
}

fn follower_coverage() -> Coverage {
    let mut coverage = Coverage::default();
    coverage.role = Role::Follower(vec![id("r1")]);
    coverage
}

#[test]
fn a_follower_that_is_told_nothing_reads_in_time_for_each_bound() {
    let mut coverage = follower_coverage();
    coverage.on_registrations_listed(version(1, 1));
    coverage.on_registrations_read(boot(0));
    assert!(coverage.covers_registrations(boot(1500), LEAVING_BOUND));
    assert!(!coverage.covers_registrations(boot(2000), LEAVING_BOUND));
    assert!(coverage.covers_configuration(Some(ms(2000)), KEYS_BOUND));
    assert!(!coverage.covers_configuration(Some(ms(2500)), KEYS_BOUND));
    assert!(!coverage.covers_configuration(None, KEYS_BOUND));
}

#[test]
fn news_of_a_configuration_or_a_gap_in_the_changes_make_a_follower_read() {
    let mut coverage = follower_coverage();
    coverage.on_registrations_listed(version(1, 1));
    coverage.on_registrations_read(boot(0));
    coverage.require_configuration();
    assert!(!coverage.covers_configuration(Some(ms(10)), KEYS_BOUND));
    coverage.on_configuration_listed();
    assert!(coverage.covers_configuration(Some(ms(10)), KEYS_BOUND));
    coverage.require_registrations();
    assert!(!coverage.covers_registrations(boot(1), LEAVING_BOUND));
    assert_eq!(coverage.registrations_position(), None, "lists");
    coverage.on_registrations_listed(version(1, 9));
    assert_eq!(coverage.registrations_position(), Some(version(1, 9)));
}

/// What may happen between a reader's read and the use of its answer at a follower, in
/// milliseconds: every wait may be a network's delay or a suspension.
#[derive(Clone, Copy, Debug)]
struct Delays {
    read: u64,
    ask_sent: u64,
    ask_received: u64,
    answer_sent: u64,
}

fn delays() -> impl Strategy<Value = Delays> {
    let span = || 0..4000_u64;
    (span(), span(), span(), span()).prop_map(|(read, ask_sent, ask_received, answer_sent)| {
        Delays {
            read,
            ask_sent,
            ask_received,
            answer_sent,
        }
    })
}

proptest! {
    /// The store's answer to a reader is true of some moment after the reader sent its read. A
    /// follower must never count its knowledge from later than that, on clocks that share nothing.
    #[test]
    fn a_follower_never_counts_from_later_than_its_readers_read(
        delays in delays(),
        reader_offset in 0..1_000_000_u64,
        follower_offset in 0..1_000_000_u64,
        later in 0..8000_u64,
    ) {
        let read = 10_000;
        let answered = read + delays.read;
        let asked = answered.saturating_sub(1000) + delays.ask_sent;
        let stated_at = asked.max(answered) + delays.ask_received;
        let applied = stated_at + delays.answer_sent;

        let reader = |at| boot(at + reader_offset);
        let mut known = Freshness::new(KEYS_BOUND, true);
        known.on_response(reader(read));
        let age = known.age(reader(stated_at)).expect("read");

        let own = |at| boot(at + follower_offset);
        let mut told = Freshness::new(KEYS_BOUND, true);
        told.on_response(own(asked).minus(age));
        let used = applied + later;
        prop_assert!(told.age(own(used)) >= Some(ms(used - read)));
        if told.is_fresh(own(used)) {
            prop_assert!(used - read < KEYS_BOUND.as_millis() as u64);
        }
    }
}
