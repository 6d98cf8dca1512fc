//! Recording of histories.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, UNIX_EPOCH};

use basilgw::clock::{Clock, SystemClock};
use basilgw::ids::Text;

use crate::history::{Entry, Event, Micros};

/// Records what one party does and sees.
#[derive(Debug)]
pub struct Recorder {
    party: Text,
    clock: Arc<dyn Clock>,
    entries: Mutex<Vec<Entry>>,
}

/// Locks, also where an earlier holder panicked.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Recorder {
    /// A recorder for a party.
    pub fn open(party: &str) -> Arc<Self> {
        Arc::new(Self {
            party: party.into(),
            clock: SystemClock::open(),
            entries: Mutex::default(),
        })
    }

    /// The present, as histories count it.
    pub fn now(&self) -> Micros {
        let span = self.clock.wall().duration_since(UNIX_EPOCH);
        Micros(span.unwrap_or(Duration::ZERO).as_micros() as u64)
    }

    /// Records an event at the present.
    pub fn record(&self, event: Event) {
        let mut entries = lock(&self.entries);
        let at = self.now();
        entries.push(Entry {
            at,
            party: self.party.clone(),
            event,
        });
    }

    /// Everything recorded so far.
    pub fn entries(&self) -> Vec<Entry> {
        lock(&self.entries).clone()
    }

    /// Everything recorded so far, one JSON line an entry.
    pub fn lines(&self) -> String {
        let entries = self.entries();
        let lines = entries
            .iter()
            .filter_map(|entry| serde_json::to_string(entry).ok());
        lines.fold(String::new(), |all, line| all + &line + "\n")
    }
}
