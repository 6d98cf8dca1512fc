//! The VMs as this VM sees them.

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::ids::{DataCentre, Generation, VmId};

/// One VM that runs basilgw.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LiveVm {
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
pub struct LiveVms {
    /// The VMs by name.
    pub vms: BTreeMap<VmId, LiveVm>,
    /// When the platform's list was last read, at the time that the list itself gives.
    pub listed: Option<Instant>,
}

/// A view of the VMs that is replaced as it changes.
pub trait VmView: Send + Sync + Debug {
    /// The present view.
    fn vms(&self) -> Arc<LiveVms>;
}

/// How long VMs have been missing from the platform's list.
#[derive(Clone, Debug, Default)]
pub struct Absence {
    since: BTreeMap<VmId, Instant>,
    listed: Option<Instant>,
}

impl Absence {
    /// Notes which of `wanted` the list shows. A list that was not read again changes nothing.
    pub fn observe<'a, I>(&mut self, wanted: I, view: &LiveVms)
    where
        I: Iterator<Item = &'a VmId>,
    {
        let Some(listed) = view.listed else {
            return;
        };
        let shown = |vm: &VmId| view.vms.get(vm).is_some_and(|live| live.listed);
        let missing = wanted.filter(|vm| !shown(vm));
        let before = std::mem::take(&mut self.since);
        self.since = missing
            .map(|vm| (vm.clone(), before.get(vm).copied().unwrap_or(listed)))
            .collect();
        self.listed = Some(listed);
    }

    /// Whether lists read over a span of `lag` or more all missed the VM.
    pub fn gone(&self, vm: &VmId, lag: Duration) -> bool {
        let (Some(since), Some(listed)) = (self.since.get(vm), self.listed) else {
            return false;
        };
        listed.saturating_duration_since(*since) >= lag
    }
}
