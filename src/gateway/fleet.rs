//! The upstreams in use: what is registered, less what is known to leave.
//!
//! Registrations come from the platform's store; an upstream's own answers may say sooner that it
//! leaves, and other words on what it holds come from the VM that gives orders. A registration
//! that is missing just after the store was away may have lapsed only because the store was away,
//! so such an upstream stays in use for a bounded time.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::ids::{AdapterId, ModelId, ServiceId, UpstreamId};

use super::upstream::{Entry, Pulse, Upstream};

/// A lapsed registration is back within two seconds of the store's return, if its upstream lives.
const RETURN_TIME: Duration = Duration::from_secs(2);
/// An engine registers what it holds anew within one heartbeat.
const WORD_TIME: Duration = Duration::from_secs(3);

/// The upstreams in use, an immutable snapshot.
pub type UpstreamMap = BTreeMap<UpstreamId, Upstream>;

#[derive(Debug)]
struct Known {
    upstream: Upstream,
    /// Until when a missing registration is waited for.
    missing: Option<Instant>,
}

/// A word on what an engine holds that its registration does not show yet.
#[derive(Clone, Debug)]
struct Word {
    engine: UpstreamId,
    model: ModelId,
    adapter: Option<AdapterId>,
    present: bool,
    until: Instant,
}

/// The state behind the snapshots.
#[derive(Debug, Default)]
pub struct Fleet {
    known: BTreeMap<UpstreamId, Known>,
    leaving: BTreeSet<(UpstreamId, u64)>,
    words: Vec<Word>,
    returned: Option<Instant>,
    /// Whether the registrations were read at least once.
    pub loaded: bool,
}

impl Fleet {
    /// Notes that the store answers again after it had been away.
    pub fn on_store_recovery(&mut self, now: Instant) {
        self.returned = Some(now);
    }

    /// Takes a complete list of registrations.
    pub fn on_list(&mut self, entries: Vec<Entry>, now: Instant) {
        self.loaded = true;
        let listed: BTreeSet<_> = entries.iter().map(|entry| entry.id.clone()).collect();
        let gone: Vec<_> = self
            .known
            .keys()
            .filter(|id| !listed.contains(*id))
            .cloned()
            .collect();
        for entry in entries {
            self.on_entry(entry);
        }
        for id in gone {
            self.on_removed(&id, now);
        }
    }

    /// Takes one registration.
    pub fn on_entry(&mut self, entry: Entry) {
        let id = entry.id.clone();
        let pulse = match self.known.get(&id) {
            Some(known) if known.upstream.entry.born == entry.born => {
                Arc::clone(&known.upstream.pulse)
            }
            Some(_) => {
                self.words.retain(|word| word.engine != id);
                Arc::default()
            }
            None => Arc::<Pulse>::default(),
        };
        let upstream = Upstream {
            entry: Arc::new(entry),
            pulse,
        };
        let known = Known {
            upstream,
            missing: None,
        };
        self.known.insert(id, known);
    }

    /// Takes the removal of a registration.
    pub fn on_removed(&mut self, id: &UpstreamId, now: Instant) {
        let returned = self.returned.map(|at| at + RETURN_TIME);
        match returned.filter(|until| now < *until) {
            Some(until) => {
                if let Some(known) = self.known.get_mut(id) {
                    known.missing.get_or_insert(until);
                }
            }
            None => {
                self.known.remove(id);
            }
        }
    }

    /// Takes an upstream's own word that it leaves.
    pub fn on_leaving(&mut self, id: &UpstreamId, born: u64) {
        self.leaving.insert((id.clone(), born));
    }

    /// Takes a word that an engine holds, or no longer holds, a model or an adapter.
    pub fn on_inventory_update(
        &mut self,
        engine: &UpstreamId,
        model: &ModelId,
        adapter: Option<&AdapterId>,
        present: bool,
        now: Instant,
    ) {
        self.words.retain(|word| {
            !(word.engine == *engine && word.model == *model && word.adapter.as_ref() == adapter)
        });
        self.words.push(Word {
            engine: engine.clone(),
            model: model.clone(),
            adapter: adapter.cloned(),
            present,
            until: now + WORD_TIME,
        });
    }

    /// When the snapshot changes by time alone.
    pub fn next_expiry(&self) -> Option<Instant> {
        let missing = self.known.values().filter_map(|known| known.missing);
        let words = self.words.iter().map(|word| word.until);
        missing.chain(words).min()
    }

    /// All registrations known, as they were written.
    pub fn registered(&self) -> Vec<Arc<Entry>> {
        let known = self.known.values();
        known
            .map(|known| Arc::clone(&known.upstream.entry))
            .collect()
    }

    /// The upstreams in use.
    pub fn snapshot(&mut self, now: Instant) -> UpstreamMap {
        self.known
            .retain(|_, known| known.missing.is_none_or(|until| now < until));
        self.words.retain(|word| now < word.until);
        let known = &self.known;
        self.leaving.retain(|(id, born)| {
            let entry = known.get(id).map(|known| &known.upstream.entry);
            entry.is_some_and(|entry| entry.born == *born)
        });
        let mut snapshot: UpstreamMap = self
            .known
            .iter()
            .filter(|(id, known)| {
                let entry = &known.upstream.entry;
                !entry.leaving && !self.leaving.contains(&((*id).clone(), entry.born))
            })
            .map(|(id, known)| (id.clone(), known.upstream.clone()))
            .collect();
        for word in &self.words {
            if let Some(upstream) = snapshot.get_mut(&word.engine) {
                apply(upstream, word);
            }
        }
        snapshot
    }
}

fn apply(upstream: &mut Upstream, word: &Word) {
    let mut entry = Entry::clone(&upstream.entry);
    let models = &mut entry.holds.models;
    match (&word.adapter, word.present) {
        (None, true) => {
            models.entry(word.model.clone()).or_default();
        }
        (None, false) => {
            models.remove(&word.model);
        }
        (Some(adapter), true) => {
            if let Some(adapters) = models.get_mut(&word.model) {
                adapters.insert(adapter.clone());
            }
        }
        (Some(adapter), false) => {
            if let Some(adapters) = models.get_mut(&word.model) {
                adapters.remove(adapter);
            }
        }
    }
    upstream.entry = Arc::new(entry);
}

/// The upstreams of a service.
pub fn service_upstreams<'a>(
    snapshot: &'a UpstreamMap,
    service: &'a ServiceId,
) -> impl Iterator<Item = &'a Upstream> {
    snapshot
        .values()
        .filter(move |upstream| upstream.entry.service == *service)
}
