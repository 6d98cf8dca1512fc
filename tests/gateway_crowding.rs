//! Demand that moves to other models at once: their engines fill up before the rates show it.

mod gateway_support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use basilgw::gateway::configuration::{EngineSpec, Model};
use basilgw::gateway::crowding;
use basilgw::gateway::demand::Demand;
use basilgw::gateway::placement::{EngineView, ModelAction, ModelDemand, StorageTier, plan_models};
use basilgw::gateway::upstream::ModelInventory;
use basilgw::ids::{ModelId, UpstreamId};
use gateway_support::id;

type Engines = BTreeMap<UpstreamId, EngineView>;

fn spec() -> EngineSpec {
    let model = Model {
        size_mb: 60.0,
        adapters: 0,
        adapter_mb: 0.0,
        remote_time: Duration::from_secs(10),
        disk_time: Duration::from_millis(800),
        memory_time: Duration::from_millis(600),
    };
    EngineSpec {
        models: (0..9)
            .map(|n| (id(&format!("m{n}")), model.clone()))
            .collect(),
        capacity_mb: 130.0,
        adapter_slots: 2,
        remote_rate: 2.0,
    }
}

/// An engine of 16 slots with these models, each with the number of its requests there. It keeps a
/// copy of m0.
fn engine(models: &[(&str, u32)]) -> EngineView {
    let loaded = models
        .iter()
        .map(|(name, _)| (id(name), BTreeSet::default()));
    let running = models.iter().filter(|(_, requests)| *requests > 0);
    EngineView {
        slots: 16,
        inventory: ModelInventory {
            loaded: loaded.collect(),
            in_memory: [id("m0")].into(),
            ..ModelInventory::default()
        },
        running_requests: running.map(|(name, n)| (id(name), *n)).collect(),
        ..EngineView::default()
    }
}

fn engines(all: &[(&str, EngineView)]) -> Engines {
    all.iter()
        .map(|(name, view)| (id(name), view.clone()))
        .collect()
}

/// Plans with the rates of before the shift: m0 had few requests.
fn plan(engines: &Engines, now: Instant) -> BTreeMap<UpstreamId, ModelAction> {
    let rates = [("m0", 1.0), ("m1", 1.0), ("m2", 0.3), ("m3", 0.3)];
    let demand = rates.map(|(model, rate)| {
        let total = Demand {
            rate,
            ..Demand::default()
        };
        let demand = ModelDemand {
            total,
            ..ModelDemand::default()
        };
        (id(model), demand)
    });
    plan_models(engines, &spec(), &demand.into(), 4, now)
}

fn loads_m0(actions: &BTreeMap<UpstreamId, ModelAction>, engine: &str) -> bool {
    let load = ModelAction::Load(id("m0"), StorageTier::Memory);
    actions.get(&id(engine)) == Some(&load)
}

#[test]
fn a_model_at_a_full_engine_gets_a_replica_before_its_rate_rises() {
    let full = engines(&[
        ("e1", engine(&[("m0", 14), ("m1", 9)])),
        ("e2", engine(&[("m2", 1)])),
    ]);
    assert!(loads_m0(&plan(&full, Instant::now()), "e2"));
}

#[test]
fn a_model_at_an_engine_with_free_slots_gets_none() {
    let free = engines(&[
        ("e1", engine(&[("m0", 10), ("m1", 5)])),
        ("e2", engine(&[("m2", 1)])),
    ]);
    assert!(!loads_m0(&plan(&free, Instant::now()), "e2"));
}

#[test]
fn requests_spread_before_another_replica_is_loaded() {
    let now = Instant::now() + Duration::from_hours(1);
    let mut second = engine(&[("m0", 2), ("m2", 1)]);
    second.held_since.insert(id("m0"), now);
    let all = [
        ("e1", engine(&[("m0", 20), ("m1", 9)])),
        ("e2", second),
        ("e3", engine(&[("m3", 1)])),
    ];
    assert!(!loads_m0(&plan(&engines(&all), now), "e3"));
    let later = now + Duration::from_secs(4);
    assert!(loads_m0(&plan(&engines(&all), later), "e3"));
}

#[test]
fn a_replica_is_kept_while_fewer_would_be_nearly_full() {
    let now = Instant::now();
    for (requests, kept) in [(10, true), (3, false)] {
        let all = engines(&[
            ("e1", engine(&[("m0", requests)])),
            ("e2", engine(&[("m0", requests)])),
        ]);
        let crowding = crowding::by_model(&all, now)[&id::<ModelId>("m0")];
        assert_eq!(crowding.needs(2), kept, "{crowding:?}");
    }
}

#[test]
fn a_new_replica_avoids_an_engine_that_is_full_itself() {
    let all = engines(&[
        ("e1", engine(&[("m0", 30), ("m1", 5)])),
        ("e2", engine(&[("m2", 18)])),
        ("e3", engine(&[("m4", 1)])),
    ]);
    assert!(loads_m0(&plan(&all, Instant::now()), "e3"));
}
