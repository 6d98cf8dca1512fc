//! The lease of the leader: taken, kept, given up and taken over, without a network.

use basilgw::clock::BootTime;
use basilgw::gateway::lease::{Lease, LeaseAction, LeaseRecord};
use basilgw::ids::{StoreGeneration, Version, VmId};

mod gateway_support;
use gateway_support::{id, ms};

fn boot(millis: u64) -> BootTime {
    BootTime::new(ms(millis))
}

fn lease(name: &str) -> Lease {
    Lease::new(id(name), ms(3000), boot(0), true)
}

fn record(holder: &str, renewal: u64) -> LeaseRecord {
    let holder: VmId = id(holder);
    LeaseRecord {
        holder,
        renewal,
        generation: StoreGeneration::default(),
    }
}

#[test]
fn the_first_vm_takes_the_lease_and_keeps_its_epoch_over_renewals() {
    let mut own = lease("v1");
    assert_eq!(own.next_action(false, boot(0)), LeaseAction::Read);
    own.on_read(None, boot(1));
    assert_eq!(
        own.next_action(false, boot(1)),
        LeaseAction::Write(Version(0), record("v1", 1))
    );
    own.on_written(Version(11), boot(1), boot(1));
    let epoch = own.epoch(boot(2)).expect("held");
    assert_eq!(own.next_action(false, boot(500)), LeaseAction::Wait);
    assert_eq!(
        own.next_action(false, boot(1100)),
        LeaseAction::Write(Version(11), record("v1", 2))
    );
    own.on_written(Version(15), boot(1100), boot(1100));
    assert_eq!(own.epoch(boot(1200)), Some(epoch));
}

#[test]
fn a_holder_stops_before_its_lease_is_over_also_when_suspended() {
    let mut own = lease("v1");
    own.on_read(None, boot(0));
    own.on_written(Version(1), boot(0), boot(0));
    assert!(own.epoch(boot(2300)).is_some());
    assert!(own.epoch(boot(2500)).is_none());
    assert!(own.epoch(boot(90_000)).is_none());
}

#[test]
fn a_lease_that_cannot_be_decoded_is_taken_over_once_it_has_expired() {
    let mut next = lease("v2");
    next.on_unreadable(Version(7), boot(0));
    assert_eq!(next.next_action(false, boot(2900)), LeaseAction::Wait);
    assert_eq!(next.next_action(true, boot(3400)), LeaseAction::Wait);
    assert_eq!(
        next.next_action(false, boot(3400)),
        LeaseAction::Write(Version(7), record("v2", 1))
    );
}

#[test]
fn a_holder_whose_object_cannot_be_decoded_gives_the_lease_up() {
    let mut own = lease("v1");
    own.on_read(None, boot(0));
    own.on_written(Version(1), boot(0), boot(0));
    own.on_unreadable(Version(2), boot(100));
    assert_eq!(own.epoch(boot(100)), None);
    assert_eq!(own.next_action(false, boot(200)), LeaseAction::Wait);
}

#[test]
fn a_successor_waits_longer_than_the_lease_since_the_last_change() {
    let mut next = lease("v2");
    next.on_read(Some((Version(1), record("v1", 1))), boot(0));
    assert_eq!(next.next_action(false, boot(2900)), LeaseAction::Wait);
    next.on_version_seen(Version(2), boot(2900));
    assert_eq!(
        next.next_action(false, boot(3500)),
        LeaseAction::Wait,
        "the lease was renewed at 2900 ms"
    );
    assert_eq!(
        next.next_action(true, boot(6300)),
        LeaseAction::Wait,
        "the leader still sends heartbeats"
    );
    assert_eq!(
        next.next_action(false, boot(6300)),
        LeaseAction::Write(Version(2), record("v2", 2))
    );
}

#[test]
fn the_loser_of_a_take_over_reads_and_waits_anew() {
    let mut next = lease("v2");
    next.on_read(Some((Version(1), record("v1", 1))), boot(0));
    next.on_conflict(boot(3400));
    assert_eq!(next.next_action(false, boot(3400)), LeaseAction::Read);
    next.on_read(Some((Version(9), record("v3", 2))), boot(3401));
    assert_eq!(next.next_action(false, boot(6000)), LeaseAction::Wait);
    assert!(next.epoch(boot(3402)).is_none());
}

#[test]
fn a_renewal_whose_answer_was_lost_is_settled_by_reading() {
    let mut own = lease("v1");
    own.on_read(None, boot(0));
    own.on_written(Version(1), boot(0), boot(0));
    let epoch = own.epoch(boot(1)).expect("held");
    own.on_failure(boot(1100));
    assert_eq!(own.next_action(false, boot(1400)), LeaseAction::Read);
    own.on_read(Some((Version(4), record("v1", 2))), boot(1401));
    assert_eq!(
        own.next_action(false, boot(1401)),
        LeaseAction::Write(Version(4), record("v1", 3))
    );
    own.on_written(Version(6), boot(1401), boot(1401));
    assert_eq!(own.epoch(boot(1402)), Some(epoch));
}

#[test]
fn vms_that_wait_for_the_store_ask_ever_more_rarely_but_the_holder_does_not() {
    let mut waiting = lease("v2");
    let mut calls = 0;
    for millis in 0..10_000 {
        if waiting.next_action(false, boot(millis)) == LeaseAction::Read {
            calls += 1;
            waiting.on_failure(boot(millis));
        }
    }
    assert!(calls <= 9, "{calls} calls in ten seconds of outage");
    let mut own = lease("v1");
    own.on_read(None, boot(0));
    own.on_written(Version(1), boot(0), boot(0));
    for millis in [1000, 1200, 1400, 1600] {
        assert_ne!(own.next_action(false, boot(millis)), LeaseAction::Wait);
        own.on_failure(boot(millis));
    }
}

#[test]
fn a_vm_that_restarts_under_its_name_gets_a_higher_epoch() {
    let mut own = lease("v1");
    own.on_read(Some((Version(40), record("v1", 7))), boot(0));
    assert_eq!(
        own.next_action(false, boot(0)),
        LeaseAction::Write(Version(40), record("v1", 8))
    );
    own.on_written(Version(41), boot(0), boot(0));
    assert_eq!(own.epoch(boot(1)).map(|epoch| epoch.0), Some(41));
}

#[test]
fn a_word_of_the_lease_between_read_and_write_is_no_leave_to_take_it() {
    let mut next = lease("v2");
    next.on_read(None, boot(0));
    next.on_version_seen(Version(8), boot(50));
    assert_eq!(next.next_action(false, boot(100)), LeaseAction::Wait);

    let mut before = lease("v1");
    before.on_read(Some((Version(3), record("v1", 1))), boot(0));
    before.on_version_seen(Version(9), boot(50));
    assert_eq!(before.next_action(false, boot(100)), LeaseAction::Wait);
    let lapsed = LeaseAction::Write(Version(9), record("v1", 2));
    assert_eq!(before.next_action(false, boot(3400)), lapsed);
}
