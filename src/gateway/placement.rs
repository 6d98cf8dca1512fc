//! Which models are loaded on which engines, when most models are rare and together barely fit.
//!
//! Every model that is asked for should be held somewhere; the first replica of a model is worth
//! its whole demand, a further one a small part of it. A load goes where the weights are closest
//! (memory, disk, weight store) and where it drives out the least. Loads from the weight store are
//! few, so they go to models that nobody holds first.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::ids::{ModelId, UpstreamId};

use super::configuration::{EngineSpec, Model};
use super::demand::Demand;
use super::upstream::Holdings;

/// Worth of a replica beyond what the demand needs, as a share of the demand per replica.
const SPARE_SHARE: f64 = 0.03;
/// Worth of a replica that only its adapters need, as a share of the demand for adapters.
const ADAPTER_SHARE: f64 = 0.05;
/// Worth of a model that nobody asks for, in requests a second: it may be asked for next.
const IDLE_WORTH: f64 = 0.08;
/// What comes must be worth this much for anything to be driven out, in requests a second; below
/// it, demand is too uncertain to drop what is already loaded.
const LEAST_GAIN: f64 = 0.4;
/// Time for a drop that no run holds up.
const DROP_TIME: f64 = 0.4;
/// Usual time that runs hold up a drop, in seconds.
const RUNS_TIME: f64 = 3.0;
/// Share of an engine's adapter requests that a load on it holds up.
const HELD_UP_SHARE: f64 = 0.5;
/// Each waiting request counts as this many requests a second.
const WAITING_RATE: f64 = 0.5;
/// What is driven out must be worth less than this share of what comes.
const SWAP_SHARE: f64 = 0.7;
/// A model stays at least this long once loaded.
const LEAST_STAY: Duration = Duration::from_secs(3);
/// Least wait for an engine that carries out an order.
const LEAST_WAIT: Duration = Duration::from_millis(200);
/// Requests a second that one replica serves before another is wanted, for each slot.
const SLOT_RATE: f64 = 0.5;

/// Demand for one model.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ModelDemand {
    /// With and without adapters.
    pub total: Demand,
    /// For its adapters, in requests a second.
    pub adapter_rate: f64,
    /// Adapters asked for.
    pub adapters: usize,
}

/// One engine as the planner sees it.
#[derive(Clone, Debug, Default)]
pub struct EngineView {
    /// Requests that it works on at once.
    pub slots: u32,
    /// What it holds.
    pub holds: Holdings,
    /// The model that it is loading, or is being cleared for.
    pub incoming_model: Option<ModelId>,
    /// Whether it carries out an order, and takes no other.
    pub busy: bool,
    /// How long that may still last.
    pub busy_time: Duration,
    /// Requests that it works on, by model.
    pub runs: BTreeMap<ModelId, u32>,
    /// When models came to be held, where this VM saw it.
    pub held_since: BTreeMap<ModelId, Instant>,
}

/// Where the weights for a load lie.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StorageTier {
    /// The engine's memory.
    Memory,
    /// The engine's disk.
    Disk,
    /// The weight store.
    Remote,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ModelAction {
    /// Load a model.
    Load(ModelId, StorageTier),
    /// Drop a model to make room for another one.
    Unload {
        /// Model to drop.
        model: ModelId,
        /// Model that is to come.
        incoming: ModelId,
    },
}

/// Where an engine has a model's weights.
pub fn storage_tier(holds: &Holdings, model: &ModelId) -> StorageTier {
    if holds.in_memory.contains(model) {
        return StorageTier::Memory;
    }
    if holds.on_disk.contains(model) {
        return StorageTier::Disk;
    }
    StorageTier::Remote
}

/// How long an order may still last that was to end at `until`; one that is overdue is expected to
/// last as long again.
pub fn remaining_time(until: Instant, now: Instant) -> Duration {
    let early = until.saturating_duration_since(now);
    early.max(now.saturating_duration_since(until))
}

/// How long a load takes.
pub fn load_time(model: &Model, tier: StorageTier) -> Duration {
    match tier {
        StorageTier::Memory => model.memory_time,
        StorageTier::Disk => model.disk_time,
        StorageTier::Remote => model.remote_time,
    }
}

/// Plans moves; at most one an engine, and at most `store_loads` from the weight store.
pub fn plan_models(
    seats: &BTreeMap<UpstreamId, EngineView>,
    engines: &EngineSpec,
    demand: &BTreeMap<ModelId, ModelDemand>,
    mut store_loads: usize,
    now: Instant,
) -> BTreeMap<UpstreamId, ModelAction> {
    let mut moves = BTreeMap::new();
    let mut site = Site::open(seats, engines, demand, now);
    let mut wanted = wanted(engines, demand, &site.copies, site.slots);
    wanted.sort_by(|a, b| b.0.total_cmp(&a.0));
    for (id, view) in &site.views {
        let loading = view.seat.incoming_model.as_ref();
        let Some(model) = loading.filter(|_| !view.seat.busy) else {
            continue;
        };
        let tier = storage_tier(&view.seat.holds, model);
        let step = site.clear_further(view, model, tier);
        if step == Some(ModelAction::Load(model.clone(), StorageTier::Remote)) {
            if store_loads == 0 {
                continue;
            }
            store_loads -= 1;
        }
        if let Some(step) = step {
            moves.insert((*id).clone(), step);
        }
    }
    for (worth, model) in wanted {
        let Some((seat, step)) = site.best(&model, worth, &moves, store_loads) else {
            continue;
        };
        if let ModelAction::Load(_, StorageTier::Remote) = step {
            store_loads -= 1;
        }
        if let ModelAction::Unload { model: dropped, .. } = &step {
            site.drop_copy(dropped);
        }
        moves.insert(seat, step);
    }
    moves
}

fn count_copies(
    seats: &BTreeMap<UpstreamId, EngineView>,
    engines: &EngineSpec,
) -> BTreeMap<ModelId, usize> {
    let mut copies: BTreeMap<ModelId, usize> =
        engines.models.keys().map(|m| (m.clone(), 0)).collect();
    for seat in seats.values() {
        let held = seat.holds.models.keys();
        for model in held.chain(seat.incoming_model.as_ref()) {
            *copies.entry(model.clone()).or_default() += 1;
        }
    }
    copies
}

/// Worth of a model's replica number `count` (from 1).
fn worth(want: &ModelDemand, count: usize, engines: &EngineSpec, slots: u32) -> f64 {
    let rate = want.total.rate + f64::from(want.total.waiting) * WAITING_RATE;
    if count <= 1 {
        return rate + IDLE_WORTH;
    }
    let by_rate = (rate / (f64::from(slots.max(1)) * SLOT_RATE)).ceil();
    if (count as f64) <= by_rate {
        return rate / count as f64;
    }
    let by_adapters = want.adapters.div_ceil(engines.adapter_slots.max(1));
    let spare = rate * SPARE_SHARE / count as f64;
    if count <= by_adapters {
        return spare + want.adapter_rate * ADAPTER_SHARE / count as f64;
    }
    spare
}

/// Models that want one more replica, with its worth.
fn wanted(
    engines: &EngineSpec,
    demand: &BTreeMap<ModelId, ModelDemand>,
    copies: &BTreeMap<ModelId, usize>,
    slots: u32,
) -> Vec<(f64, ModelId)> {
    let next = engines.models.keys().map(|model| {
        let count = copies.get(model).copied().unwrap_or_default();
        let want = demand.get(model).copied().unwrap_or_default();
        (worth(&want, count + 1, engines, slots), model.clone())
    });
    next.filter(|(worth, _)| *worth > 0.0).collect()
}

/// What room for a model takes.
#[derive(Debug, Default)]
struct Room<'a> {
    /// The model to drop first, if any must go.
    first: Option<&'a ModelId>,
    /// What all drops lose.
    loss: f64,
    /// How long they take, in seconds.
    time: f64,
}

/// A model that an engine could drop.
struct Victim<'a> {
    model: &'a ModelId,
    worth: f64,
    size: f64,
    /// Time to drop it: its runs are finished first; in seconds.
    drop: f64,
    /// Time to bring it back, in seconds; its weights stay in the engine's memory.
    reload: f64,
}

/// A seat, with what every model weighed against it needs.
struct View<'a> {
    seat: &'a EngineView,
    /// What its models and the one that is coming take, in megabytes.
    used: f64,
    /// Demand for adapters that it serves, in requests a second.
    adapter_rate: f64,
    victims: Vec<Victim<'a>>,
}

struct Site<'a> {
    engines: &'a EngineSpec,
    demand: &'a BTreeMap<ModelId, ModelDemand>,
    copies: BTreeMap<ModelId, usize>,
    slots: u32,
    now: Instant,
    views: BTreeMap<&'a UpstreamId, View<'a>>,
}

impl<'a> Site<'a> {
    fn open(
        seats: &'a BTreeMap<UpstreamId, EngineView>,
        engines: &'a EngineSpec,
        demand: &'a BTreeMap<ModelId, ModelDemand>,
        now: Instant,
    ) -> Self {
        let mut site = Self {
            engines,
            demand,
            copies: count_copies(seats, engines),
            slots: seats.values().map(|seat| seat.slots).min().unwrap_or(1),
            now,
            views: BTreeMap::new(),
        };
        let views = seats.iter().map(|(id, seat)| (id, site.view(seat)));
        site.views = views.collect();
        site
    }

    fn view(&self, seat: &'a EngineView) -> View<'a> {
        View {
            seat,
            used: self.used(seat),
            adapter_rate: self.adapter_rate(seat),
            victims: self.victims(seat),
        }
    }

    /// Counts that a copy goes: what other engines hold of the model is then worth more.
    fn drop_copy(&mut self, model: &ModelId) {
        if let Some(count) = self.copies.get_mut(model) {
            *count = count.saturating_sub(1);
        }
        let holders = self.views.iter();
        let holders = holders.filter(|(_, view)| view.seat.holds.models.contains_key(model));
        let changed: Vec<_> = holders.map(|(id, v)| (*id, self.view(v.seat))).collect();
        self.views.extend(changed);
    }

    /// The best engine for one more replica, and the first move towards it; `None` where none may
    /// take it, or where the best one is worth waiting for.
    fn best(
        &self,
        model: &ModelId,
        worth: f64,
        taken: &BTreeMap<UpstreamId, ModelAction>,
        store_loads: usize,
    ) -> Option<(UpstreamId, ModelAction)> {
        let kind = self.engines.models.get(model)?;
        let mut best: Option<(f64, &UpstreamId, Option<ModelAction>)> = None;
        for (id, view) in &self.views {
            let seat = view.seat;
            let Some(room) = self.room(view, kind, worth) else {
                continue;
            };
            let tier = storage_tier(&seat.holds, model);
            if seat.holds.models.contains_key(model)
                || (tier == StorageTier::Remote && store_loads == 0)
            {
                continue;
            }
            let occupied = seat.busy || seat.incoming_model.is_some() || taken.contains_key(*id);
            let wait = if occupied {
                seat.busy_time.max(LEAST_WAIT)
            } else {
                Duration::ZERO
            };
            let time = (wait + load_time(kind, tier)).as_secs_f64() + room.time;
            let held_up = view.adapter_rate * HELD_UP_SHARE;
            let cost = time * (worth + held_up) + room.loss;
            if best.as_ref().is_some_and(|(least, ..)| cost >= *least) {
                continue;
            }
            let step = match room.first {
                _ if occupied => None,
                Some(victim) => Some(ModelAction::Unload {
                    model: victim.clone(),
                    incoming: model.clone(),
                }),
                None => Some(ModelAction::Load(model.clone(), tier)),
            };
            best = Some((cost, id, step));
        }
        best.and_then(|(_, id, step)| Some((id.clone(), step?)))
    }

    /// The next move at an engine that is being cleared for a model.
    fn clear_further(
        &self,
        view: &View<'_>,
        model: &ModelId,
        tier: StorageTier,
    ) -> Option<ModelAction> {
        let kind = self.engines.models.get(model)?;
        let held = view.seat.holds.models.keys();
        let held: f64 = held.map(|m| self.size(view.seat, m)).sum();
        if self.engines.capacity_mb - held >= kind.size_mb {
            return Some(ModelAction::Load(model.clone(), tier));
        }
        let victims = view.victims.iter();
        let victim = victims.min_by(|a, b| a.worth.total_cmp(&b.worth))?;
        Some(ModelAction::Unload {
            model: victim.model.clone(),
            incoming: model.clone(),
        })
    }

    /// What room for a model takes; `None` where it would cost too much.
    fn room<'b>(&self, view: &'b View<'a>, kind: &Model, gain: f64) -> Option<Room<'b>> {
        let mut free = self.engines.capacity_mb - view.used;
        let mut room = Room::default();
        if free >= kind.size_mb {
            return Some(room);
        }
        if gain < LEAST_GAIN {
            return None;
        }
        let mut victims: Vec<_> = view.victims.iter().collect();
        let hurt = |v: &Victim<'_>| v.worth + gain * v.drop;
        victims.sort_by(|a, b| hurt(a).total_cmp(&hurt(b)));
        let mut lost = 0.0;
        for victim in victims {
            lost += victim.worth;
            if lost > gain * SWAP_SHARE {
                return None;
            }
            room.loss += victim.worth * victim.reload;
            room.time += victim.drop;
            free += victim.size;
            room.first.get_or_insert(victim.model);
            if free >= kind.size_mb {
                return Some(room);
            }
        }
        None
    }

    /// Demand for adapters that a seat serves, in requests a second.
    fn adapter_rate(&self, seat: &EngineView) -> f64 {
        let rates = seat.holds.models.keys().map(|model| {
            let copies = self.copies.get(model).copied().unwrap_or(1).max(1);
            let want = self.demand.get(model);
            want.map_or(0.0, |w| w.adapter_rate) / copies as f64
        });
        rates.sum()
    }

    fn victims(&self, seat: &'a EngineView) -> Vec<Victim<'a>> {
        let settled = |model: &ModelId| {
            let since = seat.held_since.get(model);
            since.is_none_or(|at| self.now.saturating_duration_since(*at) >= LEAST_STAY)
        };
        let models = seat.holds.models.keys().filter(|model| settled(model));
        let victims = models.map(|model| {
            let count = self.copies.get(model).copied().unwrap_or(1);
            let want = self.demand.get(model).copied().unwrap_or_default();
            let running = f64::from(seat.runs.get(model).copied().unwrap_or_default());
            let kind = self.engines.models.get(model);
            Victim {
                model,
                worth: worth(&want, count, self.engines, self.slots),
                size: self.size(seat, model),
                drop: DROP_TIME + RUNS_TIME * (1.0 - (-running).exp()),
                reload: kind.map_or(0.0, |kind| kind.memory_time.as_secs_f64()),
            }
        });
        victims.collect()
    }

    fn used(&self, seat: &EngineView) -> f64 {
        let held: f64 = seat.holds.models.keys().map(|m| self.size(seat, m)).sum();
        let loading = seat
            .incoming_model
            .as_ref()
            .and_then(|m| self.engines.models.get(m));
        held + loading.map_or(0.0, |kind| kind.size_mb)
    }

    /// Size of a held model with its adapters.
    fn size(&self, seat: &EngineView, model: &ModelId) -> f64 {
        let Some(kind) = self.engines.models.get(model) else {
            // A model that the configuration no longer names still takes room.
            return self.engines.capacity_mb;
        };
        let adapters = seat.holds.models.get(model).map_or(0, BTreeSet::len);
        kind.size_mb + adapters as f64 * kind.adapter_mb
    }
}
