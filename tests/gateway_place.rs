//! Which models and adapters are loaded where, under the loads that the planner answers.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use basilgw::gateway::adapter_placement::{AdapterAction, LoadingAdapters, plan_adapters};
use basilgw::gateway::call::Target;
use basilgw::gateway::configuration::{EngineSpec, Model};
use basilgw::gateway::demand::Demand;
use basilgw::gateway::placement::{
    EngineView, ModelAction, ModelDemand, StorageTier, plan_models, remaining_time,
};
use basilgw::ids::{ModelId, UpstreamId};
use proptest::prelude::*;

mod gateway_support;
use gateway_support::{holds, id, target};

const SIZE_MB: f64 = 60.0;

fn engines(models: usize) -> EngineSpec {
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

fn seat(models: &[&str]) -> EngineView {
    EngineView {
        slots: 32,
        holds: holds(models),
        ..EngineView::default()
    }
}

fn seats(all: &[(&str, EngineView)]) -> BTreeMap<UpstreamId, EngineView> {
    all.iter()
        .map(|(name, seat)| (id(name), seat.clone()))
        .collect()
}

fn wants(all: &[(&str, f64, u32)]) -> BTreeMap<ModelId, ModelDemand> {
    let wants = all.iter().map(|(model, rate, waiting)| {
        let total = Demand {
            rate: *rate,
            waiting: *waiting,
        };
        let want = ModelDemand {
            total,
            ..ModelDemand::default()
        };
        (id(model), want)
    });
    wants.collect()
}

fn load(model: &str, tier: StorageTier) -> ModelAction {
    ModelAction::Load(id(model), tier)
}

#[test]
fn a_cold_model_goes_to_the_engine_that_has_its_weights() {
    let mut warm = seat(&["m1"]);
    warm.holds.on_disk.insert(id("m0"));
    let all = seats(&[("e1", seat(&["m2"])), ("e2", warm)]);
    let moves = plan_models(
        &all,
        &engines(3),
        &wants(&[("m0", 0.2, 1)]),
        4,
        Instant::now(),
    );
    assert_eq!(moves.get(&id("e2")), Some(&load("m0", StorageTier::Disk)));
}

#[test]
fn nothing_is_dropped_while_nobody_asks() {
    let all = seats(&[("e1", seat(&["m1", "m2"])), ("e2", seat(&["m1", "m2"]))]);
    let moves = plan_models(&all, &engines(4), &BTreeMap::new(), 4, Instant::now());
    assert!(moves.is_empty(), "{moves:?}");
}

#[test]
fn one_waiting_request_clears_one_engine_only() {
    let all = seats(&[("e1", seat(&["m1", "m2"])), ("e2", seat(&["m3", "m4"]))]);
    let demand = wants(&[("m0", 0.3, 1), ("m3", 0.6, 0), ("m4", 0.6, 0)]);
    let now = Instant::now();
    let first = plan_models(&all, &engines(5), &demand, 4, now);
    assert_eq!(first.len(), 1);
    let (engine, step) = first.iter().next().expect("one move");
    assert!(
        matches!(step, ModelAction::Unload { incoming, .. } if *incoming == id("m0")),
        "{step:?}"
    );

    // While it drops a model, it stands for the one that is to come.
    let mut clearing = all.clone();
    let seat = clearing.get_mut(engine).expect("the engine");
    seat.busy = true;
    seat.incoming_model = Some(id("m0"));
    let second = plan_models(&clearing, &engines(5), &demand, 4, now);
    assert!(second.is_empty(), "{second:?}");

    // Once it has room, it loads that model and no other.
    let seat = clearing.get_mut(engine).expect("the engine");
    seat.busy = false;
    seat.holds.models.pop_first();
    let third = plan_models(&clearing, &engines(5), &demand, 4, now);
    let step = third.get(engine);
    assert!(
        matches!(step, Some(ModelAction::Load(model, _)) if *model == id("m0")),
        "{step:?}"
    );
}

#[test]
fn a_model_with_runs_is_dropped_after_an_idle_one() {
    let mut busy = seat(&["m1", "m2"]);
    busy.running_requests.insert(id("m1"), 3);
    let all = seats(&[("e1", busy)]);
    let demand = wants(&[("m0", 0.4, 2), ("m1", 0.2, 0), ("m2", 0.2, 0)]);
    let moves = plan_models(&all, &engines(3), &demand, 4, Instant::now());
    let dropped = ModelAction::Unload {
        model: id("m2"),
        incoming: id("m0"),
    };
    assert_eq!(moves.get(&id("e1")), Some(&dropped));
}

#[test]
fn an_engine_busy_for_a_moment_is_waited_for_rather_than_the_weight_store() {
    let mut near = seat(&["m1"]);
    near.holds.in_memory.insert(id("m0"));
    near.busy = true;
    near.busy_time = Duration::from_millis(300);
    let all = seats(&[("e1", near), ("e2", seat(&["m2"]))]);
    let moves = plan_models(
        &all,
        &engines(3),
        &wants(&[("m0", 1.0, 1)]),
        4,
        Instant::now(),
    );
    assert!(moves.is_empty(), "{moves:?}");
}

#[test]
fn an_engine_whose_order_is_overdue_is_not_waited_for() {
    let due = Instant::now();
    let now = due + Duration::from_secs(3);
    let mut stuck = seat(&[]);
    stuck.busy = true;
    stuck.busy_time = remaining_time(due, now);
    let all = seats(&[("e1", stuck), ("e2", seat(&["m1", "m2"]))]);
    let demand = wants(&[("m0", 4.0, 16), ("m1", 0.3, 0), ("m2", 0.3, 0)]);
    let moves = plan_models(&all, &engines(3), &demand, 4, now);
    assert!(moves.contains_key(&id("e2")), "{moves:?}");
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
    let all = seats(&[("e1", seat(&["m1", "m2"]))]);
    let demand = wants(&[("m0", 0.1, 1), ("m1", 20.0, 0), ("m2", 20.0, 0)]);
    let moves = plan_models(&all, &engines(3), &demand, 4, Instant::now());
    assert!(moves.is_empty(), "{moves:?}");
}

#[test]
fn what_was_just_loaded_stays() {
    let now = Instant::now();
    let mut fresh = seat(&["m1", "m2"]);
    fresh.held_since = BTreeMap::from([(id("m1"), now), (id("m2"), now)]);
    let all = seats(&[("e1", fresh)]);
    let demand = wants(&[("m0", 3.0, 5)]);
    assert!(plan_models(&all, &engines(3), &demand, 4, now).is_empty());
    let later = now + Duration::from_secs(4);
    assert_eq!(plan_models(&all, &engines(3), &demand, 4, later).len(), 1);
}

#[test]
fn a_model_that_one_engine_cannot_serve_alone_gets_more() {
    let all = seats(&[("e1", seat(&["m0"])), ("e2", seat(&["m1"]))]);
    let moves = plan_models(
        &all,
        &engines(2),
        &wants(&[("m0", 40.0, 0)]),
        4,
        Instant::now(),
    );
    assert_eq!(moves.get(&id("e2")), Some(&load("m0", StorageTier::Remote)));
}

fn adapter_want(rate: f64) -> Demand {
    Demand { rate, waiting: 0 }
}

fn plan_one(
    all: &BTreeMap<UpstreamId, EngineView>,
    demand: &BTreeMap<Target, Demand>,
    name: &str,
) -> Option<(UpstreamId, AdapterAction)> {
    let mut demand = demand.clone();
    let want = Demand {
        rate: 0.0,
        waiting: 1,
    };
    demand.insert(target("m0", Some(name)), want);
    let coming: BTreeMap<UpstreamId, LoadingAdapters> = BTreeMap::new();
    plan_adapters(all, &coming, &engines(2), &demand).pop_first()
}

#[test]
fn many_adapters_wanted_at_once_go_to_several_engines_in_one_round() {
    let all = seats(&[
        ("e1", seat(&["m0"])),
        ("e2", seat(&["m0"])),
        ("e3", seat(&["m1"])),
    ]);
    let wants = (0..8).map(|n| {
        let want = Demand {
            rate: 0.1,
            waiting: u32::from(n < 5),
        };
        (target("m0", Some(&format!("a{n}"))), want)
    });
    let wants: BTreeMap<_, _> = wants.collect();
    let moves = plan_adapters(&all, &BTreeMap::new(), &engines(2), &wants);
    let orders: Vec<_> = moves.iter().collect();
    // One order an engine, each for another adapter, and none where the model is not held.
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
    let mut full = seat(&["m0"]);
    let held = full.holds.models.get_mut(&id("m0")).expect("held");
    held.extend([id("a1"), id("a2")]);
    let wants = ["a3", "a4"].map(|a| (target("m0", Some(a)), adapter_want(1.0)));
    let wants = BTreeMap::from(wants);
    let one = seats(&[("e1", full)]);
    let plan = |all| plan_adapters(all, &BTreeMap::new(), &engines(2), &wants);
    assert_eq!(plan(&one), BTreeMap::new());
    let free = seats(&[("e1", seat(&["m0"])), ("e2", seat(&["m0"]))]);
    assert_eq!(plan(&free).len(), 1);
}

#[test]
fn an_adapter_on_its_way_is_not_ordered_again() {
    let all = seats(&[("e1", seat(&["m0"])), ("e2", seat(&["m0"]))]);
    let want = Demand {
        rate: 1.0,
        waiting: 1,
    };
    let wants = BTreeMap::from([(target("m0", Some("a1")), want)]);
    let pair = (id("m0"), id("a1"));
    let coming = BTreeMap::from([(id("e1"), LoadingAdapters([pair].into()))]);
    assert_eq!(
        plan_adapters(&all, &coming, &engines(2), &wants),
        BTreeMap::new()
    );
}

#[test]
fn an_adapter_goes_where_its_model_is_and_places_are_free() {
    let mut full = seat(&["m0"]);
    let held = full.holds.models.get_mut(&id("m0")).expect("held");
    held.extend([id("a1"), id("a2")]);
    let all = seats(&[("e1", full), ("e2", seat(&["m0"])), ("e3", seat(&["m1"]))]);
    let planned = plan_one(&all, &BTreeMap::new(), "a3");
    assert_eq!(
        planned,
        Some((id("e2"), AdapterAction::Load(id("m0"), id("a3"))))
    );
}

#[test]
fn the_adapter_asked_for_least_makes_way() {
    let mut full = seat(&["m0"]);
    let held = full.holds.models.get_mut(&id("m0")).expect("held");
    held.extend([id("a1"), id("a2")]);
    let all = seats(&[("e1", full)]);
    let demand = BTreeMap::from([
        (target("m0", Some("a1")), adapter_want(2.0)),
        (target("m0", Some("a2")), adapter_want(0.1)),
    ]);
    let planned = plan_one(&all, &demand, "a3");
    assert_eq!(
        planned,
        Some((id("e1"), AdapterAction::Unload(id("m0"), id("a2"))))
    );
}

#[test]
fn an_engine_under_order_gets_no_adapter() {
    let mut busy = seat(&["m0"]);
    busy.busy = true;
    assert_eq!(
        plan_one(&seats(&[("e1", busy)]), &BTreeMap::new(), "a1"),
        None
    );
}

proptest! {
    /// Whatever is held, wanted and under way, a load fits into the engine that gets it, no busy
    /// engine gets an order, and loads from the weight store keep to their number.
    #[test]
    fn no_move_overcommits_an_engine(
        held in prop::collection::vec(prop::collection::btree_set(0_usize..8, 0..=2), 1..6),
        on_disk in prop::collection::vec(prop::collection::btree_set(0_usize..8, 0..=6), 6),
        busy in prop::collection::vec(any::<bool>(), 6),
        loading in prop::collection::vec(prop::option::of(0_usize..8), 6),
        rates in prop::collection::vec((0.0_f64..40.0, 0_u32..4), 8),
        store_loads in 0_usize..4,
    ) {
        let mut all = BTreeMap::new();
        for (n, models) in held.iter().enumerate() {
            let names: Vec<_> = models.iter().map(|m| format!("m{m}")).collect();
            let mut seat = seat(&names.iter().map(String::as_str).collect::<Vec<_>>());
            seat.holds.on_disk = on_disk[n].iter().map(|m| id(&format!("m{m}"))).collect();
            seat.busy = busy[n];
            let coming = loading[n].filter(|m| !models.contains(m));
            seat.incoming_model = coming.map(|m| id(&format!("m{m}")));
            all.insert(id::<UpstreamId>(&format!("e{n}")), seat);
        }
        let names: Vec<_> = (0..8).map(|m| format!("m{m}")).collect();
        let demand: Vec<_> = rates
            .iter()
            .enumerate()
            .map(|(m, (rate, waiting))| (names[m].as_str(), *rate, *waiting))
            .collect();
        let engines = engines(8);
        let moves = plan_models(&all, &engines, &wants(&demand), store_loads, Instant::now());
        let mut from_store = 0;
        for (engine, step) in &moves {
            let seat = &all[engine];
            prop_assert!(!seat.busy);
            match step {
                ModelAction::Load(model, tier) => {
                    prop_assert!(!seat.holds.models.contains_key(model));
                    let count = seat.holds.models.len() as f64 + 1.0;
                    prop_assert!(count * SIZE_MB <= engines.capacity_mb);
                    from_store += usize::from(*tier == StorageTier::Remote);
                }
                ModelAction::Unload { model, incoming } => {
                    prop_assert!(seat.holds.models.contains_key(model));
                    prop_assert!(!seat.holds.models.contains_key(incoming));
                }
            }
        }
        prop_assert!(from_store <= store_loads);
    }
}
