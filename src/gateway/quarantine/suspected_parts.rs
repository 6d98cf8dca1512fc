//! The parts that are suspected of one crash, by how far the responses on them had come.
//!
//! Their number is bounded, as callers could otherwise raise it at will. A long prompt may hold more
//! parts than that, most of them sound before; what was never sound takes their place.

use std::collections::BTreeSet;

use crate::ids::PartHash;

use super::crashes::Written;
use super::soundness::SoundInputs;

/// Largest number of parts that are suspected of one crash.
const MAX_PARTS: usize = 128;

/// Parts that are suspected of one crash.
#[derive(Clone, Debug, Default)]
pub(super) struct SuspectedParts {
    /// Parts of responses that had not begun.
    pub(super) unanswered: BTreeSet<PartHash>,
    /// Parts of responses without an event.
    pub(super) unwritten: BTreeSet<PartHash>,
    /// Parts of responses with events.
    pub(super) written: BTreeSet<PartHash>,
}

impl SuspectedParts {
    /// Adds the parts of one response, as far as there is room: first those that were never sound.
    pub(super) fn add(&mut self, parts: &[PartHash], written: Written, sound: &SoundInputs) {
        let (known, new): (Vec<_>, Vec<PartHash>) =
            parts.iter().partition(|part| sound.knows(**part));
        self.make_room(new.len(), sound);
        let mut room = MAX_PARTS.saturating_sub(self.len());
        let set = match written {
            Written::NoHead => &mut self.unanswered,
            Written::Nothing => &mut self.unwritten,
            Written::Events => &mut self.written,
        };
        for part in new.into_iter().chain(known) {
            if room == 0 {
                return;
            }
            room -= usize::from(set.insert(part));
        }
    }

    /// Whether a part is among them.
    pub(super) fn contains(&self, part: PartHash) -> bool {
        let sets = [&self.unanswered, &self.unwritten, &self.written];
        sets.iter().any(|parts| parts.contains(&part))
    }

    /// Removes a part.
    pub(super) fn remove(&mut self, part: PartHash) {
        for parts in self.sets() {
            parts.remove(&part);
        }
    }

    /// Whether one of the parts of a set was never sound.
    pub(super) fn has_new(parts: &BTreeSet<PartHash>, sound: &SoundInputs) -> bool {
        parts.iter().any(|part| !sound.knows(*part))
    }

    /// Drops parts that were sound before, so that `count` more fit as far as possible.
    fn make_room(&mut self, count: usize, sound: &SoundInputs) {
        let mut excess = (self.len() + count).saturating_sub(MAX_PARTS);
        for parts in self.sets() {
            parts.retain(|part| {
                let dropped = excess > 0 && sound.knows(*part);
                excess -= usize::from(dropped);
                !dropped
            });
        }
    }

    fn len(&self) -> usize {
        self.unanswered.len() + self.unwritten.len() + self.written.len()
    }

    /// The sets, the least suspected first.
    fn sets(&mut self) -> [&mut BTreeSet<PartHash>; 3] {
        [&mut self.written, &mut self.unanswered, &mut self.unwritten]
    }
}
