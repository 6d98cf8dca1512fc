//! Plans of models and adapters. Each test guards against one bad plan, such as a model with high
//! demand that is unloaded for a rare one, or one waiting request that clears several engines.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use basilgw::gateway::adapter_placement::{AdapterAction, LoadingAdapters, plan_adapters};
use basilgw::gateway::configuration::{EngineSpec, Model};
use basilgw::gateway::demand::Demand;
use basilgw::gateway::placement::{
    EngineView, ModelAction, ModelDemand, StorageTier, plan_models, remaining_time,
};
use basilgw::gateway::request::Target;
use basilgw::ids::{ModelId, UpstreamId};
use proptest::prelude::*;

mod gateway_support;
use gateway_support::{id, inventory, target};

/// Size of every model, in megabytes; two of them fit into an engine.
const SIZE_MB: f64 = 60.0;

fn spec(models: usize) -> EngineSpec {
    let model = Model {
        size_mb: SIZE_MB,
        adapters: 20,
        adapter_mb: 0.1,
        remote_time: Duration::from_secs(6),
        disk_time: Duration::from_millis(1200),
        memory_time: Duration::from_millis(600),
    };
    EngineSpec {
        models: (0..models)
            .map(|n| (id(&format!("m{n}")), model.clone()))
            .collect(),
        capacity_mb: 130.0,
        adapter_slots: 2,
        remote_rate: 2.0,
    }
}

fn view(models: &[&str]) -> EngineView {
    EngineView {
        slots: 32,
        inventory: inventory(models),
        ..EngineView::default()
    }
}

fn views(all: &[(&str, EngineView)]) -> BTreeMap<UpstreamId, EngineView> {
    all.iter()
        .map(|(name, view)| (id(name), view.clone()))
        .collect()
}

fn demands(all: &[(&str, f64, u32)]) -> BTreeMap<ModelId, ModelDemand> {
    let demand = all.iter().map(|(model, rate, waiting)| {
        let total = Demand {
            rate: *rate,
            waiting: *waiting,
            ..Demand::default()
        };
        let entry = ModelDemand {
            total,
            ..ModelDemand::default()
        };
        (id(model), entry)
    });
    demand.collect()
}

fn load(model: &str, tier: StorageTier) -> ModelAction {
    ModelAction::Load(id(model), tier)
}

#[test]
fn a_cold_model_goes_to_the_engine_that_has_its_weights() {
    let mut warm = view(&["m1"]);
    warm.inventory.on_disk.insert(id("m0"));
    let all = views(&[("e1", view(&["m2"])), ("e2", warm)]);
    let actions = plan_models(
        &all,
        &spec(3),
        &demands(&[("m0", 0.2, 1)]),
        4,
        Instant::now(),
    );
    assert_eq!(actions.get(&id("e2")), Some(&load("m0", StorageTier::Disk)));
}

#[test]
fn nothing_is_dropped_while_nobody_asks() {
    let all = views(&[("e1", view(&["m1", "m2"])), ("e2", view(&["m1", "m2"]))]);
    let actions = plan_models(&all, &spec(4), &BTreeMap::new(), 4, Instant::now());
    assert!(actions.is_empty(), "{actions:?}");
}

#[test]
fn one_waiting_request_clears_one_engine_only() {
    let all = views(&[("e1", view(&["m1", "m2"])), ("e2", view(&["m3", "m4"]))]);
    let demand = demands(&[("m0", 0.3, 1), ("m3", 0.6, 0), ("m4", 0.6, 0)]);
    let now = Instant::now();
    let first = plan_models(&all, &spec(5), &demand, 4, now);
    assert_eq!(first.len(), 1);
    let (engine, action) = first.iter().next().expect("one move");
    assert!(
        matches!(action, ModelAction::Unload { incoming, .. } if *incoming == id("m0")),
        "{action:?}"
    );

    // While the engine unloads a model, it counts as a replica of the incoming one.
    let mut clearing = all.clone();
    let view = clearing.get_mut(engine).expect("the engine");
    view.busy = true;
    view.incoming_model = Some(id("m0"));
    let second = plan_models(&clearing, &spec(5), &demand, 4, now);
    assert!(second.is_empty(), "{second:?}");

    // Once the engine has space, it loads the incoming model and no other.
    let view = clearing.get_mut(engine).expect("the engine");
    view.busy = false;
    view.inventory.loaded.pop_first();
    let third = plan_models(&clearing, &spec(5), &demand, 4, now);
    let action = third.get(engine);
    assert!(
        matches!(action, Some(ModelAction::Load(model, _)) if *model == id("m0")),
        "{action:?}"
    );
}

#[test]
fn a_model_with_runs_is_dropped_after_an_idle_one() {
    let mut busy = view(&["m1", "m2"]);
    busy.running_requests.insert(id("m1"), 3);
    let all = views(&[("e1", busy)]);
    let demand = demands(&[("m0", 0.4, 2), ("m1", 0.2, 0), ("m2", 0.2, 0)]);
    let actions = plan_models(&all, &spec(3), &demand, 4, Instant::now());
    let dropped = ModelAction::Unload {
        model: id("m2"),
        incoming: id("m0"),
    };
    assert_eq!(actions.get(&id("e1")), Some(&dropped));
}

#[test]
fn an_engine_busy_for_a_moment_is_waited_for_rather_than_the_weight_store() {
    let mut almost_free = view(&["m1"]);
    almost_free.inventory.in_memory.insert(id("m0"));
    almost_free.busy = true;
    almost_free.busy_time = Duration::from_millis(300);
    let all = views(&[("e1", almost_free), ("e2", view(&["m2"]))]);
    let actions = plan_models(
        &all,
        &spec(3),
        &demands(&[("m0", 1.0, 1)]),
        4,
        Instant::now(),
    );
    assert!(actions.is_empty(), "{actions:?}");
}

#[test]
fn an_engine_whose_order_is_overdue_is_not_waited_for() {
    let due = Instant::now();
    let now = due + Duration::from_secs(3);
    let mut stuck = view(&[]);
    stuck.busy = true;
    stuck.busy_time = remaining_time(due, now);
    let all = views(&[("e1", stuck), ("e2", view(&["m1", "m2"]))]);
    let demand = demands(&[("m0", 4.0, 16), ("m1", 0.3, 0), ("m2", 0.3, 0)]);
    let actions = plan_models(&all, &spec(3), &demand, 4, now);
    assert!(actions.contains_key(&id("e2")), "{actions:?}");
}

#[test]
fn an_order_is_expected_to_end_in_time_and_then_to_last_as_long_again() {
    let ordered = Instant::now();
    let second = Duration::from_secs(1);
    let until = ordered + second;
    assert_eq!(remaining_time(until, ordered), second);
    assert_eq!(remaining_time(until, until + 3 * second), 3 * second);
}

#[test]
fn a_busy_model_is_not_dropped_for_a_rare_one() {
    let all = views(&[("e1", view(&["m1", "m2"]))]);
    let demand = demands(&[("m0", 0.1, 1), ("m1", 20.0, 0), ("m2", 20.0, 0)]);
    let actions = plan_models(&all, &spec(3), &demand, 4, Instant::now());
    assert!(actions.is_empty(), "{actions:?}");
}

#[test]
fn what_was_just_loaded_stays() {
    let now = Instant::now();
    let mut fresh = view(&["m1", "m2"]);
    fresh.held_since = BTreeMap::from([(id("m1"), now), (id("m2"), now)]);
    let all = views(&[("e1", fresh)]);
    let demand = demands(&[("m0", 3.0, 5)]);
    assert!(plan_models(&all, &spec(3), &demand, 4, now).is_empty());
    let later = now + Duration::from_secs(4);
    assert_eq!(plan_models(&all, &spec(3), &demand, 4, later).len(), 1);
}

/// Long prompts keep an engine busy though few of its slots are taken: streams come late.
#[test]
fn a_model_whose_streams_come_late_gets_a_second_replica_and_keeps_it() {
    let one = views(&[("e1", view(&["m0", "m1"])), ("e2", view(&["m1"]))]);
    let mut demand = demands(&[("m0", 2.0, 0), ("m1", 0.5, 0)]);
    let plan = |all: &_, demand: &_| plan_models(all, &spec(3), demand, 4, Instant::now());
    assert_eq!(
        plan(&one, &demand).get(&id("e2")),
        Some(&load("m2", StorageTier::Remote))
    );
    demand.get_mut(&id("m0")).expect("an entry").total.late = 1.0;
    assert_eq!(
        plan(&one, &demand).get(&id("e2")),
        Some(&load("m0", StorageTier::Remote))
    );
    let full = views(&[("e1", view(&["m0", "m1"])), ("e2", view(&["m0", "m1"]))]);
    demand.insert(id("m2"), demands(&[("m2", 1.0, 0)])[&id("m2")]);
    for action in plan(&full, &demand).values() {
        let unloads_m0 = matches!(action, ModelAction::Unload { model, .. } if *model == id("m0"));
        assert!(!unloads_m0, "{action:?}");
    }
}

#[test]
fn a_model_that_one_engine_cannot_serve_alone_gets_more() {
    let all = views(&[("e1", view(&["m0"])), ("e2", view(&["m1"]))]);
    let actions = plan_models(
        &all,
        &spec(2),
        &demands(&[("m0", 40.0, 0)]),
        4,
        Instant::now(),
    );
    assert_eq!(
        actions.get(&id("e2")),
        Some(&load("m0", StorageTier::Remote))
    );
}

fn rate_only(rate: f64) -> Demand {
    Demand {
        rate,
        ..Demand::default()
    }
}

/// Plans one request that waits for the adapter `name` of model `m0`, beside the other demand.
fn plan_waiting(
    all: &BTreeMap<UpstreamId, EngineView>,
    demand: &BTreeMap<Target, Demand>,
    name: &str,
) -> Option<(UpstreamId, AdapterAction)> {
    let mut demand = demand.clone();
    let entry = Demand {
        rate: 0.0,
        waiting: 1,
        ..Demand::default()
    };
    demand.insert(target("m0", Some(name)), entry);
    let loading: BTreeMap<UpstreamId, LoadingAdapters> = BTreeMap::new();
    plan_adapters(all, &loading, &spec(2), &demand).pop_first()
}

#[test]
fn many_adapters_wanted_at_once_go_to_several_engines_in_one_round() {
    let all = views(&[
        ("e1", view(&["m0"])),
        ("e2", view(&["m0"])),
        ("e3", view(&["m1"])),
    ]);
    let demand = (0..8).map(|n| {
        let entry = Demand {
            rate: 0.1,
            waiting: u32::from(n < 5),
            ..Demand::default()
        };
        (target("m0", Some(&format!("a{n}"))), entry)
    });
    let demand: BTreeMap<_, _> = demand.collect();
    let actions = plan_adapters(&all, &BTreeMap::new(), &spec(2), &demand);
    let orders: Vec<_> = actions.iter().collect();
    // Each engine gets one order, for different adapters; one without the model gets none.
    assert_eq!(
        orders,
        [
            (&id("e1"), &AdapterAction::Load(id("m0"), id("a0"))),
            (&id("e2"), &AdapterAction::Load(id("m0"), id("a1"))),
        ]
    );
}

#[test]
fn an_adapter_that_nobody_waits_for_drives_nothing_out_and_comes_alone() {
    let mut full = view(&["m0"]);
    let held = full.inventory.loaded.get_mut(&id("m0")).expect("held");
    held.extend([id("a1"), id("a2")]);
    let demand = ["a3", "a4"].map(|a| (target("m0", Some(a)), rate_only(1.0)));
    let demand = BTreeMap::from(demand);
    let one = views(&[("e1", full)]);
    let plan = |all| plan_adapters(all, &BTreeMap::new(), &spec(2), &demand);
    assert_eq!(plan(&one), BTreeMap::new());
    let free = views(&[("e1", view(&["m0"])), ("e2", view(&["m0"]))]);
    assert_eq!(plan(&free).len(), 1);
}

#[test]
fn an_adapter_on_its_way_is_not_ordered_again() {
    let all = views(&[("e1", view(&["m0"])), ("e2", view(&["m0"]))]);
    let entry = Demand {
        rate: 1.0,
        waiting: 1,
        ..Demand::default()
    };
    let demand = BTreeMap::from([(target("m0", Some("a1")), entry)]);
    let pair = (id("m0"), id("a1"));
    let loading = BTreeMap::from([(id("e1"), LoadingAdapters([pair].into()))]);
    assert_eq!(
        plan_adapters(&all, &loading, &spec(2), &demand),
        BTreeMap::new()
    );
}

#[test]
fn an_adapter_goes_where_its_model_is_and_places_are_free() {
    let mut full = view(&["m0"]);
    let held = full.inventory.loaded.get_mut(&id("m0")).expect("held");
    held.extend([id("a1"), id("a2")]);
    let all = views(&[("e1", full), ("e2", view(&["m0"])), ("e3", view(&["m1"]))]);
    let planned = plan_waiting(&all, &BTreeMap::new(), "a3");
    assert_eq!(
        planned,
        Some((id("e2"), AdapterAction::Load(id("m0"), id("a3"))))
    );
}

#[test]
fn the_adapter_asked_for_least_makes_way() {
    let mut full = view(&["m0"]);
    let held = full.inventory.loaded.get_mut(&id("m0")).expect("held");
    held.extend([id("a1"), id("a2")]);
    let all = views(&[("e1", full)]);
    let demand = BTreeMap::from([
        (target("m0", Some("a1")), rate_only(2.0)),
        (target("m0", Some("a2")), rate_only(0.1)),
    ]);
    let planned = plan_waiting(&all, &demand, "a3");
    assert_eq!(
        planned,
        Some((id("e1"), AdapterAction::Unload(id("m0"), id("a2"))))
    );
}

#[test]
fn an_engine_with_a_model_of_unknown_size_gets_no_adapter() {
    let all = views(&[("e1", view(&["m0", "unreadable"]))]);
    assert_eq!(plan_waiting(&all, &BTreeMap::new(), "a1"), None);
}

#[test]
fn an_engine_under_order_gets_no_adapter() {
    let mut busy = view(&["m0"]);
    busy.busy = true;
    assert_eq!(
        plan_waiting(&views(&[("e1", busy)]), &BTreeMap::new(), "a1"),
        None
    );
}

proptest! {
    /// For any models held, any demand and any loads in progress: a load fits into the engine that
    /// gets the order, no busy engine gets an order, and no more loads from the weight store are
    /// planned than allowed.
    #[test]
    fn no_move_overcommits_an_engine(
        held in prop::collection::vec(prop::collection::btree_set(0_usize..8, 0..=2), 1..6),
        on_disk in prop::collection::vec(prop::collection::btree_set(0_usize..8, 0..=6), 6),
        busy in prop::collection::vec(any::<bool>(), 6),
        loading in prop::collection::vec(prop::option::of(0_usize..8), 6),
        rates in prop::collection::vec((0.0_f64..40.0, 0_u32..4), 8),
        remote_loads in 0_usize..4,
    ) {
        let mut all = BTreeMap::new();
        for (n, models) in held.iter().enumerate() {
            let names: Vec<_> = models.iter().map(|m| format!("m{m}")).collect();
            let mut view = view(&names.iter().map(String::as_str).collect::<Vec<_>>());
            view.inventory.on_disk = on_disk[n].iter().map(|m| id(&format!("m{m}"))).collect();
            view.busy = busy[n];
            let incoming = loading[n].filter(|m| !models.contains(m));
            view.incoming_model = incoming.map(|m| id(&format!("m{m}")));
            all.insert(id::<UpstreamId>(&format!("e{n}")), view);
        }
        let names: Vec<_> = (0..8).map(|m| format!("m{m}")).collect();
        let demand: Vec<_> = rates
            .iter()
            .enumerate()
            .map(|(m, (rate, waiting))| (names[m].as_str(), *rate, *waiting))
            .collect();
        let spec = spec(8);
        let actions = plan_models(&all, &spec, &demands(&demand), remote_loads, Instant::now());
        let mut from_remote = 0;
        for (engine, action) in &actions {
            let view = &all[engine];
            prop_assert!(!view.busy);
            match action {
                ModelAction::Load(model, tier) => {
                    prop_assert!(!view.inventory.loaded.contains_key(model));
                    let count = view.inventory.loaded.len() as f64 + 1.0;
                    prop_assert!(count * SIZE_MB <= spec.capacity_mb);
                    from_remote += usize::from(*tier == StorageTier::Remote);
                }
                ModelAction::Unload { model, incoming } => {
                    prop_assert!(view.inventory.loaded.contains_key(model));
                    prop_assert!(!view.inventory.loaded.contains_key(incoming));
                }
            }
        }
        prop_assert!(from_remote <= remote_loads);
    }
}
