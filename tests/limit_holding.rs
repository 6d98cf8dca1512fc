//! Rules by which a part of a quota gets a new holder, and how a part's bucket handles
//! retransmitted and late lease requests.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use basilgw::ids::{ClientAccount, Epoch, Generation, VmId};
use basilgw::limit::assignment::{Assignment, LocalVm, PartHolder, part_count};
use basilgw::limit::part_bucket::PartBucket;
use basilgw::limit::{Absence, Quota, VmInfo, VmSnapshot};
use basilgw::schema::peer::LeaseRequest;
use basilgw::units::{TokenRate, Tokens};

const LAG: Duration = Duration::from_secs(5);

fn local(vm: &str, generation: u64) -> LocalVm {
    LocalVm {
        vm: vm.parse().unwrap(),
        generation: Generation(generation),
    }
}

fn account() -> ClientAccount {
    "club".parse().unwrap()
}

fn snapshot(listed_vms: &[&str], listed: Instant) -> VmSnapshot {
    let info = || VmInfo {
        centre: "a".parse().unwrap(),
        generation: Generation(1),
        leaving: false,
        listed: true,
    };
    let vms = listed_vms.iter().map(|vm| (vm.parse().unwrap(), info()));
    VmSnapshot {
        vms: vms.collect(),
        list_read: Some(listed),
    }
}

fn held_by(vm: &str, generation: u64, epoch: u64) -> Assignment {
    let part = PartHolder {
        vm: vm.parse().unwrap(),
        generation: Generation(generation),
        epoch: Epoch(epoch),
    };
    Assignment { parts: vec![part] }
}

fn after(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

#[test]
fn parts_are_spread_and_never_too_small() {
    let now = Instant::now();
    let snapshot = snapshot(&["a", "b", "c", "d"], now);
    let assignment = Assignment::create(&account(), 3, &local("a", 1), &snapshot);
    let holders: BTreeMap<&VmId, usize> =
        assignment.parts.iter().map(|part| (&part.vm, 0)).collect();
    assert_eq!(holders.len(), 3, "{assignment:?}");
    assert_eq!(part_count(Tokens(100_000), 3), 3);
    assert_eq!(part_count(Tokens(2_500), 3), 2);
    assert_eq!(part_count(Tokens(10), 3), 1);
}

#[test]
fn a_vm_that_was_alone_spreads_its_parts_as_others_come() {
    let now = Instant::now();
    let local = local("a", 1);
    let mut assignment = Assignment::create(&account(), 3, &local, &snapshot(&["a"], now));
    assert_eq!(
        assignment.held_by(&local).len(),
        3,
        "the only VM holds all parts"
    );
    let larger = snapshot(&["a", "b", "c", "d"], now);
    while let Some(next) = assignment.rebalance(&account(), &local, &larger) {
        assert_ne!(next, assignment);
        assignment = next;
    }
    let holders: BTreeMap<&VmId, usize> =
        assignment.parts.iter().map(|part| (&part.vm, 0)).collect();
    assert_eq!(holders.len(), 3, "{assignment:?}");
}

#[test]
fn a_part_moves_only_after_the_lists_lag() {
    let start = Instant::now();
    let (assignment, local) = (held_by("b", 1, 1), local("a", 1));
    let mut absence = Absence::default();
    let mut reassign = |ms: u64| {
        let snapshot = snapshot(&["a"], after(start, ms));
        absence.observe(&assignment, &snapshot, after(start, ms));
        assignment.reassign_lost(&account(), &local, &snapshot, &absence, LAG)
    };
    assert_eq!(reassign(0), None);
    assert_eq!(reassign(4_900), None);
    let moved = reassign(5_100).expect("missing from the list for longer than the lag");
    assert_eq!(moved, held_by("a", 1, 2));
}

#[test]
fn a_list_that_is_not_read_again_moves_nothing() {
    let start = Instant::now();
    let (assignment, local) = (held_by("b", 1, 1), local("a", 1));
    let mut absence = Absence::default();
    let snapshot = snapshot(&["a"], start);
    for ms in [0, 10_000, 600_000] {
        absence.observe(&assignment, &snapshot, after(start, ms));
        let moved = assignment.reassign_lost(&account(), &local, &snapshot, &absence, LAG);
        assert_eq!(moved, None);
    }
}

#[test]
fn a_new_incarnation_that_the_list_does_not_show_yet_keeps_its_part() {
    let start = Instant::now();
    let local = local("a", 1);
    let mut absence = Absence::default();
    for ms in [0, 4_000] {
        absence.observe(
            &held_by("b", 1, 1),
            &snapshot(&["a"], after(start, ms)),
            after(start, ms),
        );
    }
    let (restarted, late_list) = (held_by("b", 2, 2), snapshot(&["a"], after(start, 6_000)));
    absence.observe(&restarted, &late_list, after(start, 6_000));
    let moved = restarted.reassign_lost(&account(), &local, &late_list, &absence, LAG);
    assert_eq!(moved, None, "the list may lag behind the restart");
}

#[test]
fn a_restarted_vm_takes_its_part_up_under_a_new_epoch() {
    let now = Instant::now();
    let absence = Absence::default();
    let snapshot = snapshot(&["a", "b"], now);
    let moved =
        held_by("b", 1, 4).reassign_lost(&account(), &local("b", 2), &snapshot, &absence, LAG);
    let part = &moved.expect("the generation changed").parts[0];
    assert_eq!(part.epoch, Epoch(5));
}

#[test]
fn a_release_needs_another_vm() {
    let now = Instant::now();
    let assignment = held_by("a", 1, 1);
    let alone = assignment.release(&account(), &local("a", 1), &snapshot(&["a"], now));
    assert_eq!(alone, None);
    let moved = assignment.release(&account(), &local("a", 1), &snapshot(&["a", "b"], now));
    assert_eq!(moved, Some(held_by("b", 1, 2)));
}

#[test]
fn repeats_and_late_asks_change_nothing() {
    let start = Instant::now();
    let quota = Quota {
        rate: TokenRate::new(1_000.0).unwrap(),
        burst: Tokens(100_000),
    };
    let mut bucket = PartBucket::open(quota, Duration::from_secs(2), start);
    let request = |sequence: u64, tokens: u64, returned: Option<u64>| LeaseRequest {
        account: account(),
        epoch: Epoch(1),
        part: 0,
        returned: returned.map(Tokens),
        sequence,
        tokens: Tokens(tokens),
    };
    let (vm, now) = ("b".parse().unwrap(), after(start, 30_000));
    let first = bucket
        .grant_lease(&vm, &request(1, 500, None), now)
        .expect("the first request is granted");
    assert_eq!(
        bucket.grant_lease(&vm, &request(1, 500, None), now),
        Some(first),
        "a retransmission gets the same response"
    );
    assert!(
        bucket
            .grant_lease(&vm, &request(2, 0, Some(300)), now)
            .is_some()
    );
    let total = bucket.total_tokens(now);
    assert!(
        bucket
            .grant_lease(&vm, &request(3, 10, None), now)
            .is_some()
    );
    assert_eq!(
        bucket.grant_lease(&vm, &request(2, 0, Some(300)), now),
        None,
        "a late request gets no response"
    );
    assert_eq!(bucket.total_tokens(now), total);
}

#[test]
fn an_ask_that_returns_nothing_keeps_the_last_lease() {
    let start = Instant::now();
    let quota = Quota {
        rate: TokenRate::new(1_000.0).unwrap(),
        burst: Tokens(1_000),
    };
    let mut bucket = PartBucket::open(quota, Duration::from_secs(2), start);
    let (vm, now) = ("b".parse().unwrap(), after(start, 1_000));
    let request = |sequence: u64, returned: Option<Tokens>| LeaseRequest {
        account: account(),
        epoch: Epoch(1),
        part: 0,
        returned,
        sequence,
        tokens: Tokens(300),
    };
    for (sequence, returned, total) in [
        (1, None, 1_000),
        (2, None, 1_000),
        (3, None, 700),
        (4, Some(Tokens(100)), 200),
    ] {
        assert!(
            bucket
                .grant_lease(&vm, &request(sequence, returned), now)
                .is_some()
        );
        assert_eq!(
            bucket.total_tokens(now),
            Tokens(total),
            "after request {sequence}"
        );
    }
}
