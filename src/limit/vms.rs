//! This VM's view of all VMs.

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::assignment::{Assignment, PartHolder};
use crate::ids::{DataCentre, Epoch, Generation, VmId};

/// What is known of one VM that runs basilgw.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmInfo {
    /// The VM's data centre.
    pub centre: DataCentre,
    /// The VM's generation, which is greater after each start.
    pub generation: Generation,
    /// Whether the VM is shutting down.
    pub leaving: bool,
    /// Whether the platform's list contains the VM.
    pub listed: bool,
}

/// All VMs known at one time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VmSnapshot {
    /// The VMs by name.
    pub vms: BTreeMap<VmId, VmInfo>,
    /// When the platform's list was last read; `None` before the first read.
    pub list_read: Option<Instant>,
}

/// Provides the present view of all VMs.
pub trait VmSource: Send + Sync + Debug {
    /// The VMs known now.
    fn snapshot(&self) -> Arc<VmSnapshot>;
}

/// Tracks since when holders have been missing from the platform's list.
///
/// The time starts anew whenever a part gets a new epoch, because a VM that took a part just after
/// its restart may be missing only because the list lags.
#[derive(Clone, Debug, Default)]
pub struct Absence {
    /// When a holder was first missing, by VM and the epoch of its part.
    since: BTreeMap<(VmId, Epoch), Instant>,
    /// When the last observed list was read.
    list_read: Option<Instant>,
}

impl Absence {
    /// Updates which holders the list omits. A list that is not read again makes no holder gone,
    /// however much time passes.
    pub fn observe(&mut self, assignment: &Assignment, snapshot: &VmSnapshot, now: Instant) {
        let Some(list_read) = snapshot.list_read else {
            return;
        };
        let is_listed = |vm: &VmId| snapshot.vms.get(vm).is_some_and(|info| info.listed);
        let missing = assignment.parts.iter().filter(|part| !is_listed(&part.vm));
        let previous = std::mem::take(&mut self.since);
        self.since = missing
            .map(|part| (part.vm.clone(), part.epoch))
            .map(|key| {
                let since = previous.get(&key).copied().unwrap_or(now);
                (key, since)
            })
            .collect();
        self.list_read = Some(list_read);
    }

    /// Whether all lists read over at least `lag` omitted the holder of a part.
    pub fn is_gone(&self, part: &PartHolder, lag: Duration) -> bool {
        let key = (part.vm.clone(), part.epoch);
        let (Some(since), Some(list_read)) = (self.since.get(&key), self.list_read) else {
            return false;
        };
        list_read.saturating_duration_since(*since) >= lag
    }
}
