//! The latest changes of the registrations, for followers that have an older version of them.

use std::collections::VecDeque;

use crate::ids::Version;
use crate::schema::mesh::RegistrationChange;

/// Batches of changes that are kept; a follower that is further behind lists the registrations.
const MAX_BATCHES: usize = 64;
/// Upstreams whose changes fit into one response, which must fit into a datagram.
const MAX_CHANGES: usize = 64;

/// Changes that the store returned together.
#[derive(Clone, Debug)]
struct Batch {
    changes: Vec<RegistrationChange>,
    /// Version of the registrations after the changes.
    after: Version,
}

/// The changes from some version on.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    /// Version from which on all changes are known; absent before the first list.
    start: Option<Version>,
    batches: VecDeque<Batch>,
}

impl ChangeLog {
    /// Starts anew after a complete list at `version`.
    pub fn on_list(&mut self, version: Version) {
        self.start = Some(version);
        self.batches.clear();
    }

    /// Adds the changes up to `after`.
    pub fn on_changes(&mut self, changes: Vec<RegistrationChange>, after: Version) {
        if self.version().is_none_or(|version| after <= version) {
            return;
        }
        self.batches.push_back(Batch { changes, after });
        if self.batches.len() > MAX_BATCHES
            && let Some(dropped) = self.batches.pop_front()
        {
            self.start = Some(dropped.after);
        }
    }

    /// The version after all changes known; `None` before the first list.
    pub fn version(&self) -> Option<Version> {
        self.batches.back().map(|batch| batch.after).or(self.start)
    }

    /// Changes since `version`, with the version after them; not all of them if there are many, and
    /// none with an earlier version if `version` is newer than what is known. Returns `None` if
    /// changes since then are unknown, or too many for a response.
    pub fn since(&self, version: Version) -> Option<(Vec<RegistrationChange>, Version)> {
        let newest = self.version()?;
        if version > newest {
            return Some((Vec::new(), newest));
        }
        let known = self.start.is_some_and(|start| start <= version);
        if !known || version.generation() != newest.generation() {
            return None;
        }
        let mut changes: Vec<RegistrationChange> = Vec::new();
        let mut after = version;
        for batch in self.batches.iter().filter(|batch| batch.after > version) {
            let mut merged = changes.clone();
            merge(&mut merged, &batch.changes);
            if merged.len() > MAX_CHANGES {
                break;
            }
            changes = merged;
            after = batch.after;
        }
        let progress = after > version || newest == version;
        progress.then_some((changes, after))
    }
}

/// Adds changes; of several changes of one upstream, only the last counts.
fn merge(changes: &mut Vec<RegistrationChange>, newer: &[RegistrationChange]) {
    for change in newer {
        changes.retain(|earlier| earlier.name != change.name);
        changes.push(change.clone());
    }
}
