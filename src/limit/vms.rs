//! The VMs as this VM sees them.

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::assignment::{Assignment, PartHolder};
use crate::ids::{DataCentre, Epoch, Generation, VmId};

/// One VM that runs basilgw.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmInfo {
    /// Its data centre.
    pub centre: DataCentre,
    /// Its incarnation.
    pub generation: Generation,
    /// Whether it shuts down.
    pub leaving: bool,
    /// Whether the platform's list shows it.
    pub listed: bool,
}

/// The VMs known at one time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VmSnapshot {
    /// The VMs by name.
    pub vms: BTreeMap<VmId, VmInfo>,
    /// When the platform's list was last read; `None` before the first reading.
    pub list_read: Option<Instant>,
}

/// A view of the VMs that is replaced as it changes.
pub trait VmSource: Send + Sync + Debug {
    /// The present view.
    fn snapshot(&self) -> Arc<VmSnapshot>;
}

/// How long holders have been missing from the platform's list.
///
/// Each taking up of a part is timed anew: a VM that just restarted may be missing from the list
/// because the list lags.
#[derive(Clone, Debug, Default)]
pub struct Absence {
    since: BTreeMap<(VmId, Epoch), Instant>,
    list_read: Option<Instant>,
}

impl Absence {
    /// Notes which holders the list misses. A list that was not read again changes nothing.
    pub fn observe(&mut self, assignment: &Assignment, view: &VmSnapshot, now: Instant) {
        let Some(listed) = view.list_read else {
            return;
        };
        let is_listed = |vm: &VmId| view.vms.get(vm).is_some_and(|live| live.listed);
        let missing = assignment.parts.iter().filter(|part| !is_listed(&part.vm));
        let previous = std::mem::take(&mut self.since);
        self.since = missing
            .map(|part| (part.vm.clone(), part.epoch))
            .map(|key| {
                let since = previous.get(&key).copied().unwrap_or(now);
                (key, since)
            })
            .collect();
        self.list_read = Some(listed);
    }

    /// Whether lists read over a span of `lag` or more all missed the holder of a part.
    pub fn is_gone(&self, part: &PartHolder, lag: Duration) -> bool {
        let key = (part.vm.clone(), part.epoch);
        let (Some(since), Some(listed)) = (self.since.get(&key), self.list_read) else {
            return false;
        };
        listed.saturating_duration_since(*since) >= lag
    }
}
