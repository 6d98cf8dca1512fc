//! Who may take a part over, and what a holder does with repeats.

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

fn view(shown: &[&str], listed: Instant) -> VmSnapshot {
    let live = || VmInfo {
        centre: "a".parse().unwrap(),
        generation: Generation(1),
        leaving: false,
        listed: true,
    };
    let vms = shown.iter().map(|vm| (vm.parse().unwrap(), live()));
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
    let view = view(&["a", "b", "c", "d"], now);
    let holding = Assignment::create(&account(), 3, &local("a", 1), &view);
    let holders: BTreeMap<&VmId, usize> = holding.parts.iter().map(|part| (&part.vm, 0)).collect();
    assert_eq!(holders.len(), 3, "{holding:?}");
    assert_eq!(part_count(Tokens(100_000), 3), 3);
    assert_eq!(part_count(Tokens(2_500), 3), 2);
    assert_eq!(part_count(Tokens(10), 3), 1);
}

#[test]
fn a_vm_that_was_alone_spreads_its_parts_as_others_come() {
    let now = Instant::now();
    let local = local("a", 1);
    let mut holding = Assignment::create(&account(), 3, &local, &view(&["a"], now));
    assert_eq!(holding.held_by(&local).len(), 3, "alone");
    let grown = view(&["a", "b", "c", "d"], now);
    while let Some(next) = holding.rebalance(&account(), &local, &grown) {
        assert_ne!(next, holding);
        holding = next;
    }
    let holders: BTreeMap<&VmId, usize> = holding.parts.iter().map(|part| (&part.vm, 0)).collect();
    assert_eq!(holders.len(), 3, "{holding:?}");
}

#[test]
fn a_part_moves_only_after_the_lists_lag() {
    let start = Instant::now();
    let (holding, local) = (held_by("b", 1, 1), local("a", 1));
    let mut absence = Absence::default();
    let mut repair = |ms: u64| {
        let view = view(&["a"], after(start, ms));
        absence.observe(&holding, &view, after(start, ms));
        holding.reassign_lost(&account(), &local, &view, &absence, LAG)
    };
    assert_eq!(repair(0), None);
    assert_eq!(repair(4_900), None);
    let moved = repair(5_100).expect("gone for longer than the lag");
    assert_eq!(moved, held_by("a", 1, 2));
}

#[test]
fn a_list_that_is_not_read_again_moves_nothing() {
    let start = Instant::now();
    let (holding, local) = (held_by("b", 1, 1), local("a", 1));
    let mut absence = Absence::default();
    let view = view(&["a"], start);
    for ms in [0, 10_000, 600_000] {
        absence.observe(&holding, &view, after(start, ms));
        let moved = holding.reassign_lost(&account(), &local, &view, &absence, LAG);
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
            &view(&["a"], after(start, ms)),
            after(start, ms),
        );
    }
    let (taken_up, late) = (held_by("b", 2, 2), view(&["a"], after(start, 6_000)));
    absence.observe(&taken_up, &late, after(start, 6_000));
    let moved = taken_up.reassign_lost(&account(), &local, &late, &absence, LAG);
    assert_eq!(moved, None, "the list may lag behind the restart");
}

#[test]
fn a_restarted_vm_takes_its_part_up_under_a_new_epoch() {
    let now = Instant::now();
    let absence = Absence::default();
    let view = view(&["a", "b"], now);
    let moved = held_by("b", 1, 4).reassign_lost(&account(), &local("b", 2), &view, &absence, LAG);
    let part = &moved.expect("its incarnation changed").parts[0];
    assert_eq!(part.epoch, Epoch(5));
}

#[test]
fn a_release_needs_another_vm() {
    let now = Instant::now();
    let holding = held_by("a", 1, 1);
    let alone = holding.release(&account(), &local("a", 1), &view(&["a"], now));
    assert_eq!(alone, None);
    let moved = holding.release(&account(), &local("a", 1), &view(&["a", "b"], now));
    assert_eq!(moved, Some(held_by("b", 1, 2)));
}

#[test]
fn repeats_and_late_asks_change_nothing() {
    let start = Instant::now();
    let share = Quota {
        rate: TokenRate::new(1_000.0).unwrap(),
        burst: Tokens(100_000),
    };
    let mut holder = PartBucket::open(share, Duration::from_secs(2), start);
    let ask = |sequence: u64, tokens: u64, returned: Option<u64>| LeaseRequest {
        account: account(),
        epoch: Epoch(1),
        part: 0,
        returned: returned.map(Tokens),
        sequence,
        tokens: Tokens(tokens),
    };
    let (vm, now) = ("b".parse().unwrap(), after(start, 30_000));
    let first = holder
        .grant_lease(&vm, &ask(1, 500, None), now)
        .expect("answered");
    assert_eq!(
        holder.grant_lease(&vm, &ask(1, 500, None), now),
        Some(first),
        "a repeat"
    );
    assert!(
        holder
            .grant_lease(&vm, &ask(2, 0, Some(300)), now)
            .is_some()
    );
    let total = holder.total_tokens(now);
    assert!(holder.grant_lease(&vm, &ask(3, 10, None), now).is_some());
    assert_eq!(
        holder.grant_lease(&vm, &ask(2, 0, Some(300)), now),
        None,
        "late"
    );
    assert_eq!(holder.total_tokens(now), total);
}

#[test]
fn an_ask_that_returns_nothing_keeps_the_last_lease() {
    let start = Instant::now();
    let share = Quota {
        rate: TokenRate::new(1_000.0).unwrap(),
        burst: Tokens(1_000),
    };
    let mut holder = PartBucket::open(share, Duration::from_secs(2), start);
    let (vm, now) = ("b".parse().unwrap(), after(start, 1_000));
    let ask = |sequence: u64, returned: Option<Tokens>| LeaseRequest {
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
            holder
                .grant_lease(&vm, &ask(sequence, returned), now)
                .is_some()
        );
        assert_eq!(
            holder.total_tokens(now),
            Tokens(total),
            "after ask {sequence}"
        );
    }
}
