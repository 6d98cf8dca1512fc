//! Cache events, which come late and with gaps.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use basilgw::ids::ReplicaId;
use basilgw::schema::engine::{CacheEvent, CacheEvents};

/// Events kept for readers.
const KEPT: usize = 4096;

/// The event stream of one engine.
#[derive(Debug, Default)]
pub(super) struct Cache {
    events: VecDeque<(Instant, CacheEvent)>,
    next: u64,
    /// Delay before an event is shown.
    late: Duration,
    /// One event in this many is lost; 0 stands for none.
    gap: u64,
}

impl Cache {
    /// An empty stream that shows events `late` and loses one in `gap`.
    pub(super) fn new(late: Duration, gap: u64) -> Self {
        Self {
            late,
            gap,
            ..Self::default()
        }
    }

    /// Notes that a prefix was stored.
    pub(super) fn store(&mut self, replica: ReplicaId, prefix: u64, now: Instant) {
        let sequence = self.next;
        self.next += 1;
        if self.gap > 0 && sequence.is_multiple_of(self.gap) {
            return;
        }
        let event = CacheEvent {
            sequence,
            replica,
            prefix,
            stored: true,
        };
        self.events.push_back((now, event));
        if self.events.len() > KEPT {
            self.events.pop_front();
        }
    }

    /// Events from a position on that are old enough to be shown.
    pub(super) fn read(&self, from: u64, now: Instant) -> CacheEvents {
        let shown = self.events.iter().filter(|(at, event)| {
            event.sequence >= from && now.saturating_duration_since(*at) >= self.late
        });
        let events: Vec<CacheEvent> = shown.map(|(_, event)| event.clone()).collect();
        let next = events.last().map_or(from, |event| event.sequence + 1);
        CacheEvents { next, events }
    }
}
