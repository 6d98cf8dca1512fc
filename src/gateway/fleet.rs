//! The upstreams in use: those that are registered and not known to be leaving.
//!
//! Registrations are read from the platform's store. An upstream's responses can show earlier that
//! it has left, and the leader's messages can show earlier what an engine holds. A registration
//! that is missing just after an outage of the store may have expired only because the upstream
//! could not renew it, so such an upstream stays in use for a limited time.
//!
//! The store may also come back from an older copy ([`crate::store::generation`]). Such a list
//! shows upstreams that have left since, and earlier runs of those that were restarted. It takes
//! back nothing that is known: an upstream that was removed is used again only once it has
//! registered again, or is still listed when every upstream has had the time to.
//!
//! Upstreams in data centres that the operator has closed are known, but out of use.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::ids::{AdapterId, DataCentre, ModelId, ServiceId, UpstreamId};

use super::upstream::{Registration, Upstream, UpstreamHealth};

/// Time after an outage of the store within which a running upstream has registered again.
const REREGISTER_TIME: Duration = Duration::from_secs(2);
/// How long a removed registration is remembered, which must exceed the age of a copy that the
/// store comes back from.
const REMOVED_LIFETIME: Duration = Duration::from_mins(2);
/// Time after a change of an engine's inventory within which its registration shows the change,
/// since engines renew their registrations at every heartbeat.
const UPDATE_LIFETIME: Duration = Duration::from_secs(3);

/// The upstreams in use, by id. The gateway publishes it as an immutable snapshot.
pub type UpstreamMap = BTreeMap<UpstreamId, Upstream>;

#[derive(Debug)]
struct Known {
    upstream: Upstream,
    /// If the registration is missing, when the upstream is removed unless it registers again.
    remove_at: Option<Instant>,
    /// If the registration may be one that was removed since, when the upstream is used all the
    /// same.
    usable_at: Option<Instant>,
}

/// A registration that was removed.
#[derive(Clone, Copy, Debug)]
struct Removed {
    /// Start time of the upstream, in milliseconds since the Unix epoch.
    started_ms: u64,
    at: Instant,
}

/// A change of an engine's inventory that its registration may not show yet.
#[derive(Clone, Debug)]
struct Update {
    engine: UpstreamId,
    model: ModelId,
    /// The adapter that changed; `None` if the model itself did.
    adapter: Option<AdapterId>,
    /// Whether the engine holds the model or adapter now.
    present: bool,
    expires: Instant,
}

/// All known upstreams, from which the snapshots are made.
#[derive(Debug, Default)]
pub struct Fleet {
    known: BTreeMap<UpstreamId, Known>,
    /// Ids and start times of upstreams that are leaving. An upstream that registers again with a
    /// later start time is used again.
    leaving: BTreeSet<(UpstreamId, u64)>,
    /// Upstreams that were removed lately.
    removed: BTreeMap<UpstreamId, Removed>,
    updates: Vec<Update>,
    /// Data centres that the operator has closed.
    closed: BTreeSet<DataCentre>,
    /// When the store last answered again after an outage.
    store_recovered: Option<Instant>,
    /// When the store last came back from an older copy.
    store_returned: Option<Instant>,
    /// Whether the registrations have been read at least once.
    pub initialized: bool,
}

impl Fleet {
    /// Records that the store answers again after an outage.
    pub fn on_store_recovery(&mut self, now: Instant) {
        self.store_recovered = Some(now);
    }

    /// Records that the store has come back from an older copy; the next list is of that copy.
    pub fn on_store_return(&mut self, now: Instant) {
        self.on_store_recovery(now);
        self.store_returned = Some(now);
    }

    /// Replaces the registrations by a complete list.
    pub fn on_list(&mut self, registrations: Vec<Registration>, now: Instant) {
        self.initialized = true;
        let listed: BTreeSet<_> = registrations
            .iter()
            .map(|registration| registration.id.clone())
            .collect();
        let gone: Vec<_> = self
            .known
            .keys()
            .filter(|id| !listed.contains(*id))
            .cloned()
            .collect();
        let settled = self.store_returned.map(|at| at + REREGISTER_TIME);
        let unsettled = settled.filter(|at| now < *at);
        for registration in registrations {
            match unsettled {
                Some(settled) => self.on_copied(registration, settled),
                None => self.on_registration(registration),
            }
        }
        for id in gone {
            self.on_removed(&id, now);
        }
    }

    /// Adds or replaces a registration of an older copy of the store, unless more is known of the
    /// upstream. Until `settled`, every running upstream will have registered again.
    fn on_copied(&mut self, registration: Registration, settled: Instant) {
        let id = registration.id.clone();
        let started_ms = registration.started_ms;
        let known = self.known.get(&id);
        let known = known.map(|known| known.upstream.registration.started_ms);
        let removed = self.removed.get(&id).map(|removed| removed.started_ms);
        if known.max(removed) > Some(started_ms) {
            return;
        }
        self.on_registration(registration);
        if removed == Some(started_ms)
            && known.is_none()
            && let Some(known) = self.known.get_mut(&id)
        {
            known.usable_at = Some(settled);
        }
    }

    /// Adds or replaces one registration, which the upstream has just written.
    pub fn on_registration(&mut self, registration: Registration) {
        if registration.leaving {
            self.on_leaving(&registration.id, registration.started_ms);
        }
        let id = registration.id.clone();
        let health = match self.known.get(&id) {
            Some(known) if known.upstream.registration.started_ms == registration.started_ms => {
                Arc::clone(&known.upstream.health)
            }
            Some(_) => {
                self.updates.retain(|update| update.engine != id);
                Arc::default()
            }
            None => Arc::<UpstreamHealth>::default(),
        };
        let upstream = Upstream {
            registration: Arc::new(registration),
            health,
        };
        let known = Known {
            upstream,
            remove_at: None,
            usable_at: None,
        };
        self.known.insert(id, known);
    }

    /// Removes the upstream of a removed registration; just after an outage of the store, it stays
    /// in use until it has had time to register again.
    pub fn on_removed(&mut self, id: &UpstreamId, now: Instant) {
        let grace_end = self.store_recovered.map(|at| at + REREGISTER_TIME);
        match grace_end.filter(|end| now < *end) {
            Some(end) => {
                if let Some(known) = self.known.get_mut(id) {
                    known.remove_at.get_or_insert(end);
                }
            }
            None => {
                if let Some(known) = self.known.remove(id) {
                    self.remember_removed(id, &known, now);
                }
            }
        }
    }

    fn remember_removed(&mut self, id: &UpstreamId, known: &Known, now: Instant) {
        let removed = Removed {
            started_ms: known.upstream.registration.started_ms,
            at: now,
        };
        self.removed.insert(id.clone(), removed);
    }

    /// Takes an upstream out of use that is leaving or has left. Only its run that started at
    /// `started_ms` (milliseconds since the Unix epoch) is meant; a later run stays in use.
    pub fn on_leaving(&mut self, id: &UpstreamId, started_ms: u64) {
        self.leaving.insert((id.clone(), started_ms));
    }

    /// Applies the news that an engine now holds, or no longer holds, a model or one of its
    /// adapters. It overrides the engine's registration until it expires.
    pub fn on_inventory_update(
        &mut self,
        engine: &UpstreamId,
        model: &ModelId,
        adapter: Option<&AdapterId>,
        present: bool,
        now: Instant,
    ) {
        self.updates.retain(|update| {
            !(update.engine == *engine
                && update.model == *model
                && update.adapter.as_ref() == adapter)
        });
        self.updates.push(Update {
            engine: engine.clone(),
            model: model.clone(),
            adapter: adapter.cloned(),
            present,
            expires: now + UPDATE_LIFETIME,
        });
    }

    /// When the next upstream or update expires, and a new snapshot is needed; `None` if none will.
    pub fn next_expiry(&self) -> Option<Instant> {
        let known = self.known.values();
        let changes = known.flat_map(|known| known.remove_at.into_iter().chain(known.usable_at));
        let updates = self.updates.iter().map(|update| update.expires);
        changes.chain(updates).min()
    }

    /// Sets the data centres that are closed, whose upstreams are out of use.
    pub fn set_closed(&mut self, closed: BTreeSet<DataCentre>) {
        self.closed = closed;
    }

    /// The data centres that are closed.
    pub fn closed(&self) -> &BTreeSet<DataCentre> {
        &self.closed
    }

    /// The registrations of a data centre, also of a closed one.
    pub fn registered_in(&self, centre: &DataCentre) -> Vec<Arc<Registration>> {
        let known = self.known.values();
        let registrations = known.map(|known| &known.upstream.registration);
        let local = registrations.filter(|registration| registration.centre == *centre);
        local.cloned().collect()
    }

    /// Whether all upstreams of a service that are not leaving are in closed data centres.
    pub fn is_closed(&self, service: &ServiceId) -> bool {
        let known = self.known.iter().filter(|(id, k)| !self.is_leaving(id, k));
        let registrations = known.map(|(_, known)| &known.upstream.registration);
        let mut own = registrations.filter(|registration| registration.service == *service);
        let mut any = false;
        let shut = own.all(|registration| {
            any = true;
            self.closed.contains(&registration.centre)
        });
        any && shut
    }

    /// The registrations of all upstreams that are neither known to be leaving nor in a closed data
    /// centre, without the updates.
    pub fn registered(&self) -> Vec<Arc<Registration>> {
        let staying = self.known.iter().filter(|(id, known)| {
            let centre = &known.upstream.registration.centre;
            !self.is_leaving(id, known) && !self.closed.contains(centre)
        });
        staying
            .map(|(_, known)| Arc::clone(&known.upstream.registration))
            .collect()
    }

    /// Drops what has expired, and returns the upstreams in use with the updates applied.
    pub fn snapshot(&mut self, now: Instant) -> UpstreamMap {
        self.expire(now);
        let mut snapshot: UpstreamMap = self
            .known
            .iter()
            .filter(|(id, known)| self.is_usable(id, known))
            .map(|(id, known)| (id.clone(), known.upstream.clone()))
            .collect();
        for update in &self.updates {
            if let Some(upstream) = snapshot.get_mut(&update.engine) {
                apply_update(upstream, update);
            }
        }
        snapshot
    }

    fn expire(&mut self, now: Instant) {
        let missing = self
            .known
            .extract_if(.., |_, known| known.remove_at.is_some_and(|at| at <= now));
        for (id, known) in missing.collect::<Vec<_>>() {
            self.remember_removed(&id, &known, now);
        }
        for known in self.known.values_mut() {
            known.usable_at = known.usable_at.filter(|at| now < *at);
        }
        self.updates.retain(|update| now < update.expires);
        self.removed
            .retain(|_, removed| now < removed.at + REMOVED_LIFETIME);
        let (known, removed) = (&self.known, &self.removed);
        self.leaving.retain(|(id, started_ms)| {
            let known = known.get(id).map(|k| k.upstream.registration.started_ms);
            let removed = removed.get(id).map(|removed| removed.started_ms);
            known == Some(*started_ms) || removed == Some(*started_ms)
        });
    }

    fn is_usable(&self, id: &UpstreamId, known: &Known) -> bool {
        let centre = &known.upstream.registration.centre;
        let settled = known.usable_at.is_none();
        settled && !self.is_leaving(id, known) && !self.closed.contains(centre)
    }

    fn is_leaving(&self, id: &UpstreamId, known: &Known) -> bool {
        let registration = &known.upstream.registration;
        let run = (id.clone(), registration.started_ms);
        registration.leaving || self.leaving.contains(&run)
    }
}

fn apply_update(upstream: &mut Upstream, update: &Update) {
    let mut registration = Registration::clone(&upstream.registration);
    let models = &mut registration.inventory.loaded;
    match (&update.adapter, update.present) {
        (None, true) => {
            models.entry(update.model.clone()).or_default();
        }
        (None, false) => {
            models.remove(&update.model);
        }
        (Some(adapter), true) => {
            if let Some(adapters) = models.get_mut(&update.model) {
                adapters.insert(adapter.clone());
            }
        }
        (Some(adapter), false) => {
            if let Some(adapters) = models.get_mut(&update.model) {
                adapters.remove(adapter);
            }
        }
    }
    upstream.registration = Arc::new(registration);
}

/// The upstreams in use of one service.
pub fn service_upstreams<'a>(
    snapshot: &'a UpstreamMap,
    service: &'a ServiceId,
) -> impl Iterator<Item = &'a Upstream> {
    snapshot
        .values()
        .filter(move |upstream| upstream.registration.service == *service)
}
