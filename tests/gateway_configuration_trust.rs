//! From when a VM trusts the configuration that it reads, over starts, cuts and returns of the
//! store from an older copy. Guards against a key that was taken away and works again (CONFIG), and
//! against VMs that are not ready for no reason (RECOVER).

use basilgw::clock::BootTime;
use basilgw::gateway::freshness::Freshness;
use basilgw::ids::StoreGeneration;
use basilgw::schema::mesh::ConfigurationReport;

mod gateway_support;
use gateway_support::ms;

const BOUND_MS: u64 = 5000;

fn boot(millis: u64) -> BootTime {
    BootTime::new(ms(millis))
}

fn vm(first_start: bool) -> Freshness {
    Freshness::new(ms(BOUND_MS), first_start)
}

/// Reads `version` in `generation`, and puts it into force if it is the newest.
fn read(vm: &mut Freshness, version: u64, generation: u64, at: u64) {
    vm.on_generation(StoreGeneration(generation), boot(at));
    let newer = vm.in_force_version() < version;
    vm.on_configuration(version, newer, boot(at));
    vm.on_response(boot(at));
}

fn report(version: u64, generation: u64, trusted: Option<u64>) -> ConfigurationReport {
    ConfigurationReport {
        version,
        generation: StoreGeneration(generation),
        trusted: trusted.map(StoreGeneration),
        asked: false,
    }
}

/// A VM that has read `version` in `generation` since the first start.
fn running(version: u64, generation: u64, at: u64) -> Freshness {
    let mut vm = vm(true);
    read(&mut vm, version, generation, at);
    assert!(vm.is_fresh(boot(at)));
    vm
}

#[test]
fn the_first_start_of_the_whole_system_waits_for_nothing() {
    running(3, 1, 0);
}

#[test]
fn a_store_that_counts_no_generations_never_comes_back_older() {
    let mut vm = vm(false);
    read(&mut vm, 3, 0, 0);
    assert!(vm.is_fresh(boot(0)));
}

#[test]
fn all_vms_that_start_in_calm_trust_what_the_record_names() {
    let mut before = vm(false);
    before.on_record(StoreGeneration(4), boot(0));
    read(&mut before, 7, 4, 1);
    assert!(before.ready(boot(1)));
    let mut after = vm(false);
    read(&mut after, 7, 4, 0);
    after.on_record(StoreGeneration(4), boot(2));
    assert!(after.ready(boot(2)));
    assert_eq!(after.age(boot(2)), Some(ms(2)), "counts from the read");
}

#[test]
fn a_vm_that_starts_just_after_a_return_trusts_no_copy() {
    let mut vm = vm(false);
    vm.on_record(StoreGeneration(1), boot(0));
    read(&mut vm, 7, 2, 0);
    read(&mut vm, 7, 2, 4900);
    assert!(!vm.is_fresh(boot(4900)));
}

#[test]
fn without_anyone_who_knows_a_vm_waits_for_the_bound_and_no_longer() {
    let mut vm = vm(false);
    for at in [0, 1400, 2800, 4200, 5600] {
        assert!(!vm.is_fresh(boot(at)));
        read(&mut vm, 7, 2, at);
    }
    assert!(vm.ready(boot(5600)));
}

#[test]
fn a_vm_that_starts_trusts_what_another_one_trusts() {
    let mut vm = vm(false);
    read(&mut vm, 7, 2, 0);
    vm.on_report(&report(7, 1, Some(2)), boot(10));
    assert!(vm.ready(boot(10)));
}

#[test]
fn a_copy_older_than_what_another_vm_has_is_not_trusted_also_after_the_bound() {
    let mut vm = vm(false);
    read(&mut vm, 7, 2, 0);
    vm.on_report(&report(9, 1, Some(2)), boot(10));
    for at in [1400, 2800, 4200, 5600, 9000] {
        read(&mut vm, 7, 2, at);
        assert!(!vm.is_fresh(boot(at)));
    }
    read(&mut vm, 9, 2, 9100);
    assert!(vm.ready(boot(9100)), "written again");
}

#[test]
fn a_vm_that_runs_over_a_return_stays_ready() {
    let mut vm = running(9, 1, 0);
    read(&mut vm, 7, 2, 1000);
    read(&mut vm, 7, 2, 4000);
    assert!(vm.ready(boot(6000)));
}

#[test]
fn a_vm_that_missed_the_last_version_before_a_return_drops_its_trust() {
    let mut vm = running(8, 1, 0);
    read(&mut vm, 8, 2, 1000);
    vm.on_report(&report(9, 1, Some(2)), boot(1100));
    assert!(!vm.is_fresh(boot(1100)));
    read(&mut vm, 8, 2, 2000);
    assert!(!vm.is_fresh(boot(2000)));
}

#[test]
fn a_version_that_another_vm_has_read_first_costs_no_readiness() {
    let mut vm = running(8, 1, 0);
    vm.on_report(&report(9, 1, Some(1)), boot(100));
    assert!(vm.ready(boot(1400)));
    vm.on_response(boot(1400));
    assert!(!vm.is_fresh(boot(4700)), "a read without it renews nothing");
}

#[test]
fn a_vm_cut_off_over_a_return_waits_like_one_that_starts() {
    let mut vm = running(8, 1, 0);
    read(&mut vm, 8, 2, 5000);
    assert!(!vm.is_fresh(boot(5000)));
    vm.on_report(&report(8, 1, Some(2)), boot(5100));
    assert!(vm.is_fresh(boot(5100)));
}

#[test]
fn a_vm_cut_off_without_a_return_goes_on_at_once() {
    let mut vm = running(8, 1, 0);
    read(&mut vm, 9, 1, 60_000);
    assert!(vm.ready(boot(60_000)));
}

#[test]
fn a_second_return_begins_the_wait_anew() {
    let mut vm = vm(false);
    read(&mut vm, 7, 2, 0);
    read(&mut vm, 7, 3, 4000);
    read(&mut vm, 7, 3, 8900);
    assert!(!vm.is_fresh(boot(8900)));
    read(&mut vm, 7, 3, 9000);
    assert!(vm.is_fresh(boot(9000)));
}

#[test]
fn only_a_store_that_has_caught_up_is_recorded() {
    let mut vm = running(9, 1, 0);
    assert_eq!(vm.caught_up(boot(100)), None, "others may know more");
    read(&mut vm, 9, 1, 2000);
    assert_eq!(vm.caught_up(boot(2000)), Some(StoreGeneration(1)));
    read(&mut vm, 7, 2, 3000);
    read(&mut vm, 7, 2, 6000);
    assert_eq!(vm.caught_up(boot(6000)), None, "the copy is older");
    read(&mut vm, 9, 2, 7000);
    assert_eq!(vm.caught_up(boot(7000)), Some(StoreGeneration(2)));
    vm.on_report(&report(10, 1, Some(2)), boot(7100));
    assert_eq!(vm.caught_up(boot(7100)), None);
}

#[test]
fn vms_that_know_answer_the_one_that_asks_and_those_that_do_not_keep_silent() {
    let mut fresh = vm(false);
    read(&mut fresh, 7, 2, 0);
    let asked = fresh.due_report(boot(100)).expect("a question");
    assert!(asked.asked);
    let mut other = vm(false);
    read(&mut other, 7, 2, 0);
    assert_eq!(other.answer(&asked), None, "it knows no more");
    let mut knows = running(9, 1, 0);
    read(&mut knows, 7, 2, 100);
    let answer = knows.answer(&asked).expect("an answer");
    assert_eq!(answer, report(9, 1, Some(2)));
}

#[test]
fn in_calm_nothing_is_reported() {
    let vm = running(9, 1, 0);
    assert!(vm.due_report(boot(3900)).is_some(), "a change is repeated");
    assert_eq!(vm.due_report(boot(4100)), None);
}
