//! Closed data centres: which are known, and which upstreams are in use.

use std::collections::BTreeSet;
use std::time::Instant;

mod gateway_support;
use basilgw::gateway::centre_closure::ClosedCentres;
use basilgw::gateway::fleet::Fleet;
use basilgw::ids::{DataCentre, StoreGeneration, Version};
use gateway_support::{id, ms, registration};

fn centres(names: &[&str]) -> BTreeSet<DataCentre> {
    names.iter().map(|name| id(name)).collect()
}

fn version(generation: u64, revision: u64) -> Version {
    Version::compose(StoreGeneration(generation), revision).expect("a version")
}

// Guards against: what a reader knew before reopens a data centre.
#[test]
fn an_older_list_changes_nothing() {
    let (mut known, now) = (ClosedCentres::default(), Instant::now());
    known.on_list(centres(&["a", "b"]), version(1, 9), now);
    known.on_list(centres(&[]), version(1, 8), now);
    known.on_change(id("a"), false, version(1, 7));
    assert_eq!(known.current(now), centres(&["a", "b"]));
    known.on_change(id("a"), false, version(1, 10));
    assert_eq!(known.current(now), centres(&["b"]));
}

// Guards against: a store that comes back from an older copy opens a data centre (EVAC).
#[test]
fn a_closure_that_a_copy_of_the_store_lacks_holds_until_it_is_written_again() {
    let (mut known, now) = (ClosedCentres::default(), Instant::now());
    known.on_list(centres(&["a", "b"]), version(1, 9), now);
    known.on_store_return(now);
    known.on_list(centres(&[]), version(2, 5), now);
    known.on_change(id("a"), true, version(2, 6));
    assert_eq!(known.current(now + ms(1900)), centres(&["a", "b"]));
    assert_eq!(known.current(now + ms(2000)), centres(&["a"]));
}

// Guards against: upstreams of a closed data centre are used, or ordered to load.
#[test]
fn upstreams_of_a_closed_data_centre_are_out_of_use() {
    let (mut fleet, now) = (Fleet::default(), Instant::now());
    let mut other = registration("e2", 1);
    other.centre = id("dc2");
    fleet.on_list(vec![registration("e1", 1), other], now);
    fleet.set_closed(centres(&["dc2"]));
    let used: Vec<_> = fleet.snapshot(now).into_keys().collect();
    assert_eq!(used, [id("e1")]);
    assert_eq!(fleet.registered().len(), 1);
    assert!(!fleet.is_closed(&id("svc")));
    fleet.set_closed(centres(&["dc1", "dc2"]));
    assert!(fleet.snapshot(now).is_empty());
    assert!(fleet.is_closed(&id("svc")));
    assert!(!fleet.is_closed(&id("other")), "it has none at all");
    fleet.set_closed(centres(&[]));
    assert_eq!(fleet.snapshot(now).len(), 2);
}
