//! What the giver of orders knows of one engine: its newest report, and what it has been told.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::ids::{ModelId, UpstreamId};
use crate::schema::mesh::HoldWord;

use super::adapter_placement::LoadingAdapters;
use super::border::{Act, ControlError, OrderAnswer, Report};
use super::placement::{self, EngineView, StorageTier};
use super::upstream::Entry;

/// Pause between questions to an engine that carries out an order.
const BUSY_PAUSE: Duration = Duration::from_millis(200);
/// Pause before an engine that could not be asked is asked again.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Time expected for an order that another VM gave: between a load from disk and one from the
/// weight store.
const UNKNOWN_TIME: Duration = Duration::from_secs(2);
/// Pause between words that a model is being dropped.
const REPEAT_PAUSE: Duration = Duration::from_millis(400);

/// An engine as the giver of orders knows it.
#[derive(Debug)]
pub(super) struct EngineState {
    pub(super) entry: Arc<Entry>,
    /// The newest report and when it was asked for.
    pub(super) report: Option<Report>,
    /// Whether the report may miss an order.
    pub(super) stale: bool,
    /// When the engine is to be asked again.
    pub(super) ask: Option<Instant>,
    /// The order being carried out.
    pub(super) doing: Option<Act>,
    /// The model that it is loading, or is being cleared for.
    pub(super) coming: Option<ModelId>,
    /// When its order should be carried out.
    pub(super) until: Instant,
    pub(super) since: BTreeMap<ModelId, Instant>,
    /// Models that it came to hold and that were not told yet.
    pub(super) gained: Vec<ModelId>,
    /// When the drop of a model was last told.
    pub(super) told: Option<Instant>,
}

impl EngineState {
    /// An engine that has not been asked yet.
    pub(super) fn open(entry: Arc<Entry>, now: Instant) -> Self {
        Self {
            entry,
            report: None,
            stale: true,
            ask: Some(now),
            doing: None,
            coming: None,
            until: now,
            since: BTreeMap::new(),
            gained: Vec::new(),
            told: None,
        }
    }

    /// The word that a model is being dropped, where it is due again.
    pub(super) fn repeat_unload(&mut self, id: &UpstreamId, now: Instant) -> Option<HoldWord> {
        let Some(Act::Unload(target)) = &self.doing else {
            return None;
        };
        if self.told.is_some_and(|at| now < at + REPEAT_PAUSE) {
            return None;
        }
        self.told = Some(now);
        Some(HoldWord {
            engine: id.clone(),
            born: self.entry.born,
            model: target.model.clone(),
            adapter: target.adapter.clone(),
            present: false,
        })
    }

    /// What the planner sees of it.
    pub(super) fn seat(&self, now: Instant) -> EngineView {
        let report = self.report.as_ref();
        EngineView {
            slots: self.entry.slots,
            holds: report.map_or_else(|| self.entry.holds.clone(), |r| r.holds.clone()),
            busy: self.stale || report.is_none_or(|r| r.busy) || self.doing.is_some(),
            busy_time: placement::remaining_time(self.until, now),
            incoming_model: self.coming.clone(),
            held_since: self.since.clone(),
            running_requests: BTreeMap::new(),
        }
    }

    /// Adapters on their way to it.
    pub(super) fn coming(&self) -> LoadingAdapters {
        let coming = self.report.iter().flat_map(|r| r.coming.iter());
        let pairs = coming.filter_map(|t| Some((t.model.clone(), t.adapter.clone()?)));
        LoadingAdapters(pairs.collect::<BTreeSet<_>>())
    }

    /// Whether it loads from the weight store.
    pub(super) fn loads_from_store(&self) -> bool {
        let Some(Act::Load(target)) = &self.doing else {
            return false;
        };
        let report = self.report.as_ref();
        target.adapter.is_none()
            && report.is_some_and(|r| {
                placement::storage_tier(&r.holds, &target.model) == StorageTier::Remote
            })
    }

    /// Takes a report; one older than the last order accepted says nothing new.
    pub(super) fn take_report(&mut self, report: Report, now: Instant) {
        if report.born.is_some_and(|born| born != self.entry.born) {
            self.ask = Some(now + RETRY_PAUSE);
            return;
        }
        let known = self.report.as_ref().map_or(0, |r| r.accepted);
        if report.accepted < known {
            self.ask = Some(now + BUSY_PAUSE);
            return;
        }
        let was_busy = self.report.as_ref().is_some_and(|r| r.busy);
        if report.busy && !was_busy && self.doing.is_none() {
            self.until = now + UNKNOWN_TIME;
        }
        for model in report.holds.models.keys() {
            let held = self.report.as_ref();
            if held.is_some_and(|r| !r.holds.models.contains_key(model)) {
                self.since.insert(model.clone(), now);
                self.gained.push(model.clone());
            }
        }
        self.since
            .retain(|model, _| report.holds.models.contains_key(model));
        if !report.busy {
            self.doing = None;
        }
        let arrived = |model: &ModelId| report.holds.models.contains_key(model);
        if self.coming.as_ref().is_some_and(arrived) {
            self.coming = None;
        }
        self.stale = false;
        let moving = report.busy || !report.coming.is_empty();
        self.ask = moving.then(|| now + BUSY_PAUSE);
        self.report = Some(report);
    }

    /// Takes its answer to an order.
    pub(super) fn take_answer(
        &mut self,
        act: &Act,
        answer: Result<OrderAnswer, ControlError>,
        now: Instant,
    ) {
        let Some(report) = &mut self.report else {
            return;
        };
        match answer {
            Ok(OrderAnswer::Accepted | OrderAnswer::Holds) => {
                // An adapter that no request uses goes at once, which counts as an order too.
                let dropped = matches!(act, Act::Unload(target) if target.adapter.is_some());
                if answer == Ok(OrderAnswer::Accepted) || dropped {
                    report.accepted += 1;
                }
                match act {
                    Act::Load(target) | Act::Unload(target) if target.adapter.is_none() => {
                        self.doing = Some(act.clone());
                        self.ask = Some(now + BUSY_PAUSE);
                    }
                    Act::Load(target) => {
                        let adapters = report.holds.models.get_mut(&target.model);
                        if let (Some(adapters), Some(a)) = (adapters, &target.adapter) {
                            adapters.insert(a.clone());
                        }
                        self.ask = Some(now + BUSY_PAUSE);
                    }
                    Act::Unload(target) => {
                        let adapters = report.holds.models.get_mut(&target.model);
                        if let (Some(adapters), Some(a)) = (adapters, &target.adapter) {
                            adapters.remove(a);
                        }
                        self.ask = Some(now + BUSY_PAUSE);
                    }
                }
            }
            // Whether it was accepted, and what came before, only a report tells.
            Ok(OrderAnswer::Conflict) | Err(ControlError::Silent | ControlError::Malformed) => {
                self.stale = true;
                self.doing = Some(act.clone());
                self.ask = Some(now);
            }
            Ok(
                OrderAnswer::Fenced
                | OrderAnswer::Invalid
                | OrderAnswer::Elsewhere
                | OrderAnswer::Refused,
            )
            | Err(ControlError::Unreachable) => {
                self.ask = Some(now + RETRY_PAUSE);
                self.stale = true;
            }
        }
    }
}
