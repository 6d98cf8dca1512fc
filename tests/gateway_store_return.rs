//! The store comes back from an older copy: leases, fencing numbers and upstreams in use.

use std::collections::BTreeSet;
use std::time::Instant;

use basilgw::clock::BootTime;
use basilgw::gateway::fleet::Fleet;
use basilgw::gateway::lease::{Lease, LeaseAction, LeaseRecord};
use basilgw::ids::{Epoch, StoreGeneration, Version};
use basilgw::store::generation::GenerationTracker;
use proptest::prelude::*;

mod gateway_support;
use gateway_support::{id, ms, registration};

const LEASE_MS: u64 = 3000;

fn boot(millis: u64) -> BootTime {
    BootTime::new(ms(millis))
}

fn version(generation: u64, revision: u64) -> Version {
    Version::compose(StoreGeneration(generation), revision).expect("in range")
}

fn record(holder: &str, renewal: u64, generation: u64) -> LeaseRecord {
    LeaseRecord {
        holder: id(holder),
        renewal,
        generation: StoreGeneration(generation),
    }
}

fn lease(name: &str) -> Lease {
    Lease::new(id(name), ms(LEASE_MS), boot(0), false)
}

/// A VM that took the lease in generation 1 at `at`.
fn holder(name: &str, at: u64) -> Lease {
    let mut lease = Lease::new(id(name), ms(LEASE_MS), boot(0), true);
    lease.on_generation(StoreGeneration(1), boot(at));
    lease.on_read(None, boot(at));
    lease.on_written(version(1, 10), boot(at), boot(at));
    lease
}

// Versions.

#[test]
fn a_version_of_a_later_generation_is_greater_whatever_its_revision() {
    assert!(version(2, 1) > version(1, 1_000_000));
    assert_eq!(version(3, 7).generation(), StoreGeneration(3));
    assert_eq!(version(3, 7).revision(), 7);
    assert_eq!(version(0, 7), Version(7));
    let out_of_range = [(1, 1 << 40), (1 << 24, 1)];
    for (generation, revision) in out_of_range {
        let composed = Version::compose(StoreGeneration(generation), revision);
        assert_eq!(composed.ok(), None);
    }
}

#[test]
fn a_response_of_an_earlier_generation_is_told_apart() {
    let tracker = GenerationTracker::default();
    assert!(tracker.observe(StoreGeneration(4)));
    assert!(tracker.observe(StoreGeneration(5)));
    assert!(!tracker.observe(StoreGeneration(4)));
    assert_eq!(tracker.current(), StoreGeneration(5));
}

// The lease.

#[test]
fn a_holder_renews_in_the_new_generation_and_keeps_its_epoch() {
    let mut own = holder("v1", 0);
    let epoch = own.epoch(boot(100)).expect("held");
    assert!(own.on_generation(StoreGeneration(2), boot(500)));
    assert_eq!(own.next_action(false, boot(500)), LeaseAction::Read);
    own.on_read(None, boot(501));
    let renewal = LeaseAction::Write(Version(0), record("v1", 2, 2));
    assert_eq!(own.next_action(false, boot(501)), renewal);
    own.on_written(version(2, 4), boot(501), boot(502));
    assert_eq!(own.epoch(boot(503)), Some(epoch));
}

#[test]
fn a_lease_of_an_older_copy_names_a_former_holder_who_waits() {
    let mut former = lease("v0");
    former.on_read(Some((version(1, 90), record("v1", 9, 1))), boot(0));
    former.on_generation(StoreGeneration(2), boot(5000));
    let copied = Some((version(2, 3), record("v0", 4, 1)));
    former.on_read(copied, boot(5001));
    assert_eq!(former.next_action(false, boot(5001)), LeaseAction::Wait);
    assert_eq!(former.next_action(false, boot(8200)), LeaseAction::Wait);
    let write = LeaseAction::Write(version(2, 3), record("v0", 10, 2));
    assert_eq!(former.next_action(false, boot(8400)), write);
}

#[test]
fn a_missing_lease_is_not_taken_before_a_lost_one_has_expired() {
    let mut next = lease("v2");
    next.on_read(Some((version(1, 90), record("v1", 9, 1))), boot(0));
    next.on_generation(StoreGeneration(2), boot(1000));
    next.on_read(None, boot(1001));
    assert_eq!(next.next_action(false, boot(4200)), LeaseAction::Wait);
    let write = LeaseAction::Write(Version(0), record("v2", 10, 2));
    assert_eq!(next.next_action(false, boot(4400)), write);
}

#[test]
fn a_vm_that_starts_just_after_a_return_waits_as_well() {
    let mut fresh = lease("v2");
    fresh.on_generation(StoreGeneration(2), boot(1000));
    fresh.on_read(Some((version(2, 3), record("v2", 4, 1))), boot(1001));
    assert_eq!(fresh.next_action(false, boot(4200)), LeaseAction::Wait);
}

#[test]
fn a_heartbeat_of_the_generation_before_says_nothing_of_the_new_one() {
    let mut next = lease("v2");
    next.on_read(Some((version(1, 90), record("v1", 9, 1))), boot(0));
    next.on_generation(StoreGeneration(2), boot(1000));
    next.on_read(None, boot(1001));
    next.on_version_seen(version(1, 91), boot(1002));
    let write = LeaseAction::Write(Version(0), record("v2", 10, 2));
    assert_eq!(next.next_action(false, boot(4400)), write);
}

#[test]
fn a_lease_written_since_the_return_is_believed_at_once() {
    let mut restarted = lease("v1");
    restarted.on_generation(StoreGeneration(2), boot(0));
    restarted.on_read(Some((version(2, 40), record("v1", 7, 2))), boot(1));
    let write = LeaseAction::Write(version(2, 40), record("v1", 8, 2));
    assert_eq!(restarted.next_action(false, boot(1)), write);
}

#[test]
fn a_take_over_that_reached_a_later_generation_gives_no_lease() {
    let mut next = lease("v2");
    next.on_read(Some((version(1, 10), record("v1", 1, 1))), boot(0));
    assert!(matches!(
        next.next_action(false, boot(3400)),
        LeaseAction::Write(..)
    ));
    next.on_written(version(2, 11), boot(3400), boot(3410));
    assert_eq!(next.epoch(boot(3411)), None);
    next.on_read(Some((version(2, 11), record("v2", 2, 1))), boot(3412));
    assert_eq!(next.next_action(false, boot(6600)), LeaseAction::Wait);
}

#[test]
fn a_holder_whose_lease_expired_during_the_outage_does_not_go_on() {
    let mut own = holder("v1", 0);
    own.on_generation(StoreGeneration(2), boot(9000));
    own.on_read(Some((version(2, 3), record("v1", 1, 1))), boot(9001));
    assert_eq!(own.next_action(false, boot(9001)), LeaseAction::Wait);
    assert_eq!(own.epoch(boot(9001)), None);
}

// Guards against: two leaders where a VM that missed the return has replaced the object of the next
// holder, since the store gave its revision out twice (ONE).
#[test]
fn a_holder_whose_lease_expired_renews_nothing_of_an_earlier_generation() {
    let mut own = holder("v1", 0);
    own.on_generation(StoreGeneration(2), boot(500));
    assert!(own.epoch(boot(500)).is_some());
    own.on_read(Some((version(2, 2), record("v3", 2, 1))), boot(4000));
    assert_eq!(own.next_action(false, boot(4000)), LeaseAction::Wait);
    own.on_written(version(2, 3), boot(4000), boot(4000));
    assert_eq!(own.epoch(boot(4000)), Some(Epoch(version(2, 3).0)));
}

/// The lease object in a store that can come back from a copy.
#[derive(Clone, Debug, Default)]
struct Copy {
    revision: u64,
    object: Option<(u64, LeaseRecord)>,
}

#[derive(Debug, Default)]
struct Store {
    generation: u64,
    now: Copy,
    copy: Copy,
}

impl Store {
    fn come_back(&mut self) {
        self.generation += 1;
        self.now = self.copy.clone();
    }

    fn read(&self) -> Option<(Version, LeaseRecord)> {
        let (revision, record) = self.now.object.clone()?;
        Some((version(self.generation, revision), record))
    }

    fn write(&mut self, expected: Version, record: LeaseRecord) -> Result<Version, ()> {
        let found = self.now.object.as_ref().map_or(0, |(at, _)| *at);
        // The store compares revisions alone, as it knows nothing of the caller's generation.
        if found != expected.revision() {
            return Err(());
        }
        self.now.revision += 1;
        self.now.object = Some((self.now.revision, record));
        Ok(version(self.generation, self.now.revision))
    }
}

#[derive(Clone, Copy, Debug)]
enum Event {
    /// A VM makes its next call, if it is due; the flag says that the response is lost.
    Call(usize, bool),
    /// A VM restarts with nothing known.
    Restart(usize),
    Pass(u64),
    Copy,
    ComeBack,
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let event = prop_oneof![
        12 => (0..3_usize, prop::bool::weighted(0.1)).prop_map(|(vm, lost)| Event::Call(vm, lost)),
        1 => (0..3_usize).prop_map(Event::Restart),
        8 => (1..1500_u64).prop_map(Event::Pass),
        2 => Just(Event::Copy),
        1 => Just(Event::ComeBack),
    ];
    prop::collection::vec(event, 1..200)
}

fn call(lease: &mut Lease, store: &mut Store, lost: bool, now: BootTime) {
    let generation = StoreGeneration(store.generation);
    match lease.next_action(false, now) {
        LeaseAction::Wait => {}
        LeaseAction::Read if lost => lease.on_failure(now),
        LeaseAction::Read => {
            if !lease.on_generation(generation, now) {
                lease.on_read(store.read(), now);
            }
        }
        LeaseAction::Write(expected, record) => {
            let written = store.write(expected, record);
            if lost {
                lease.on_failure(now);
            } else if !lease.on_generation(generation, now) {
                match written {
                    Ok(version) => lease.on_written(version, now, now),
                    Err(()) => lease.on_conflict(now),
                }
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]

    #[test]
    fn at_most_one_vm_leads_and_epochs_only_rise(events in events()) {
        let mut store = Store::default();
        let mut leases: Vec<_> = ["v0", "v1", "v2"].iter().map(|name| lease(name)).collect();
        let mut millis = 0;
        let mut highest = Epoch::default();
        let mut owners = BTreeSet::new();
        for event in events {
            let now = boot(millis);
            match event {
                Event::Call(vm, lost) => call(&mut leases[vm], &mut store, lost, now),
                Event::Restart(vm) => {
                    leases[vm] = Lease::new(id(&format!("v{vm}")), ms(LEASE_MS), now, false);
                }
                Event::Pass(span) => millis += span,
                Event::Copy => store.copy = store.now.clone(),
                Event::ComeBack => store.come_back(),
            }
            let now = boot(millis);
            let leaders: Vec<_> = leases.iter().enumerate()
                .filter_map(|(vm, lease)| Some((vm, lease.epoch(now)?)))
                .collect();
            prop_assert!(leaders.len() <= 1, "{leaders:?} at {millis} ms");
            if let Some((vm, epoch)) = leaders.first() {
                prop_assert!(*epoch >= highest, "{epoch} after {highest}");
                highest = *epoch;
                owners.insert((*epoch, *vm));
            }
        }
        let epochs: BTreeSet<_> = owners.iter().map(|(epoch, _)| *epoch).collect();
        prop_assert_eq!(epochs.len(), owners.len(), "one VM an epoch");
    }
}

// Upstreams in use.

#[test]
fn a_copy_does_not_take_back_that_an_engine_leaves() {
    let start = Instant::now();
    let mut fleet = Fleet::default();
    let mut leaving = registration("e1", 1);
    leaving.leaving = true;
    fleet.on_registration(leaving);
    fleet.on_store_return(start);
    fleet.on_list(vec![registration("e1", 1)], start);
    assert!(fleet.snapshot(start).is_empty());
    assert!(fleet.snapshot(start + ms(5000)).is_empty());
}

#[test]
fn an_engine_that_left_is_not_back_with_a_copy() {
    let start = Instant::now();
    let mut fleet = Fleet::default();
    let mut leaving = registration("e1", 1);
    leaving.leaving = true;
    fleet.on_registration(leaving);
    fleet.on_removed(&id("e1"), start);
    assert!(fleet.snapshot(start).is_empty());
    fleet.on_store_return(start + ms(1000));
    fleet.on_list(vec![registration("e1", 1)], start + ms(1000));
    assert!(fleet.snapshot(start + ms(5000)).is_empty());
}

#[test]
fn an_engine_removed_before_is_used_once_it_has_registered_again() {
    let start = Instant::now();
    let mut fleet = Fleet::default();
    fleet.on_list(vec![registration("e1", 1), registration("e2", 1)], start);
    fleet.on_removed(&id("e1"), start);
    fleet.on_removed(&id("e2"), start);
    fleet.on_store_return(start + ms(1000));
    let copied = vec![registration("e1", 1), registration("e2", 1)];
    fleet.on_list(copied, start + ms(1000));
    assert!(fleet.snapshot(start + ms(1001)).is_empty());
    fleet.on_registration(registration("e1", 1));
    assert_eq!(fleet.snapshot(start + ms(1002)).len(), 1);
    assert_eq!(
        fleet.snapshot(start + ms(3100)).len(),
        2,
        "listed after all could register again"
    );
}

#[test]
fn a_copy_does_not_bring_an_earlier_run_of_an_engine_back() {
    let start = Instant::now();
    let mut fleet = Fleet::default();
    fleet.on_list(vec![registration("e1", 2)], start);
    fleet.on_store_return(start);
    fleet.on_list(vec![registration("e1", 1)], start);
    let snapshot = fleet.snapshot(start);
    assert_eq!(snapshot[&id("e1")].registration.started_ms, 2);
}

#[test]
fn engines_that_the_copy_lacks_are_waited_for() {
    let start = Instant::now();
    let mut fleet = Fleet::default();
    fleet.on_list(vec![registration("e1", 1), registration("e2", 1)], start);
    fleet.on_store_return(start);
    fleet.on_list(vec![registration("e1", 1)], start);
    assert_eq!(fleet.snapshot(start + ms(1900)).len(), 2);
    assert_eq!(fleet.snapshot(start + ms(2100)).len(), 1);
}
