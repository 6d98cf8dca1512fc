//! Whom broadcasts are sent to among many VMs of several data centres, and reports that arrive twice.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use basilgw::clock::BootTime;
use basilgw::gateway::broadcast::{Destination, Recipients, recipients};
use basilgw::gateway::mesh::backlog::Backlog;
use basilgw::gateway::peers::Peers;
use basilgw::ids::{ClientAccount, DataCentre, Generation, VmId};
use basilgw::schema::mesh::Usage;
use basilgw::units::Tokens;

struct Vms(Vec<(VmId, SocketAddr, DataCentre)>);

impl Vms {
    /// `per_centre` VMs in each of four data centres; the sender is one of the first.
    fn open(per_centre: u16) -> Self {
        let vms = (0..4 * per_centre).map(|n| {
            let name = format!("vm-{n}").parse().expect("a name");
            let centre = format!("dc-{}", n % 4).parse().expect("a data centre");
            (name, SocketAddr::from(([127, 0, 0, 1], n + 1)), centre)
        });
        Self(vms.collect())
    }

    fn send<F>(&self, copies: usize, draw: u64, reachable: F) -> Recipients
    where
        F: Fn(usize) -> bool,
    {
        let others = self.0.iter().enumerate().skip(1);
        let others = others.map(|(n, (vm, address, centre))| Destination {
            vm,
            address: *address,
            centre: Some(centre),
            reachable: reachable(n),
        });
        recipients(others, &self.0[0].2, copies, draw)
    }
}

#[test]
fn few_vms_get_a_copy_each() {
    let sent = Vms::open(3).send(1, 7, |_| true);
    assert_eq!((sent.direct.len(), sent.forwarders.len()), (11, 0));
}

#[test]
fn many_vms_send_one_copy_to_each_other_data_centre() {
    for per_centre in [15, 21, 90] {
        let vms = Vms::open(per_centre);
        let sent = vms.send(1, 7, |_| true);
        let local = usize::from(per_centre) - 1;
        assert_eq!((sent.direct.len(), sent.forwarders.len()), (local, 3));
        let centres: BTreeSet<_> = sent.forwarders.iter().map(|a| (a.port() - 1) % 4).collect();
        assert_eq!(centres, BTreeSet::from([1, 2, 3]));
    }
}

#[test]
fn forwarding_spreads_over_all_vms_of_a_data_centre() {
    let vms = Vms::open(20);
    let mut work: BTreeMap<_, u32> = BTreeMap::new();
    for draw in 0..4000 {
        for address in vms.send(1, draw, |_| true).forwarders {
            *work.entry(address).or_default() += 1;
        }
    }
    assert_eq!(work.len(), 60);
    assert!(work.values().all(|n| (100..400).contains(n)), "{work:?}");
}

#[test]
fn a_data_centre_that_is_nearly_lost_gets_a_copy_for_each_vm() {
    let sent = Vms::open(20).send(2, 7, |n| n % 4 != 1 || n < 12);
    assert_eq!((sent.direct.len(), sent.forwarders.len()), (19 + 20, 4));
}

#[test]
fn lost_vms_forward_nothing() {
    let vms = Vms::open(20);
    let lost = |address: &SocketAddr| address.port() > 40;
    for draw in 0..200 {
        let sent = vms.send(2, draw, |n| n < 40);
        assert!(!sent.forwarders.iter().any(lost), "{sent:?}");
    }
}

fn report(age_ms: u64, admitted: u64) -> Usage {
    let account: ClientAccount = "a".parse().expect("a name");
    Usage {
        vm: "vm-1".parse().expect("a name"),
        generation: Generation(1),
        age_ms: Some(age_ms),
        lease: None,
        accounts: BTreeMap::from([(account, Tokens(admitted))]),
        upstreams: BTreeMap::new(),
        leaving: Vec::new(),
        quarantine: None,
        limits: Vec::new(),
        site: None,
        slow: BTreeMap::new(),
        over: Vec::new(),
    }
}

#[test]
fn a_report_that_forwarders_deliver_late_or_twice_counts_once() {
    let now = Instant::now() + Duration::from_hours(1);
    let from = SocketAddr::from(([127, 0, 0, 1], 1));
    let mut peers = Peers::open(now);
    let mut counted = 0;
    for (age_ms, admitted) in [(100, 5), (300, 20), (300, 20), (200, 9), (400, 21)] {
        let change =
            peers.apply_usage(report(age_ms, admitted), from, now + Duration::from_secs(1));
        counted += change.admitted.iter().map(|(_, n)| *n).sum::<i64>();
    }
    assert_eq!(counted, 21);
}

/// A forwarder that stood still passes on what it had received before.
#[test]
fn a_report_of_the_process_before_counts_no_more() {
    let now = Instant::now() + Duration::from_hours(1);
    let from = SocketAddr::from(([127, 0, 0, 1], 1));
    let mut peers = Peers::open(now);
    let mut counted = 0;
    for (generation, age_ms, admitted) in [(1, 100, 5), (2, 100, 7), (1, 200, 9), (2, 300, 8)] {
        let usage = Usage {
            generation: Generation(generation),
            ..report(age_ms, admitted)
        };
        let change = peers.apply_usage(usage, from, now + Duration::from_secs(1));
        counted += change.admitted.iter().map(|(_, n)| *n).sum::<i64>();
    }
    assert_eq!(counted, 5 + 8);
}

#[test]
fn what_waited_while_a_vm_stood_still_may_be_old() {
    let start = BootTime::default();
    let at = |millis| start.plus(Duration::from_millis(millis));
    let mut backlog = Backlog::default();
    for millis in [0, 50, 120, 300] {
        backlog.on_read(at(millis));
        assert!(!backlog.may_be_old(at(millis)));
    }
    backlog.on_read(at(2300));
    assert!(backlog.may_be_old(at(2300)));
    backlog.on_read(at(2310));
    assert!(backlog.may_be_old(at(2310)));
    backlog.on_read(at(2600));
    assert!(!backlog.may_be_old(at(2600)));
}
