//! The platform's list of instances, polled and cached.
//!
//! Readers get the last list by one atomic load. In an outage they keep getting that list, and
//! [`InstanceSnapshot::taken`] tells its age.

use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use slog::{Logger, warn};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::{Instance, InstanceKind, InstanceSource, InstanceState};
use crate::clock::Clock;
use crate::ids::ServiceId;

/// The platform's list of instances at one time.
#[derive(Clone, Debug, Default)]
pub struct InstanceSnapshot {
    /// When the platform compiled the list: the time of reading less the age that the platform
    /// states. `None` before the first read.
    pub taken: Option<Instant>,
    /// All listed instances, those that are leaving included.
    pub instances: Vec<Instance>,
}

impl InstanceSnapshot {
    /// Engines that are not leaving.
    pub fn live_engines(&self) -> Vec<Instance> {
        self.live_of_kind(InstanceKind::Engine).cloned().collect()
    }

    /// Instances of a plain service that are not leaving.
    pub fn live_services(&self, service: &ServiceId) -> Vec<Instance> {
        let named = |i: &&Instance| i.service.as_ref() == Some(service);
        self.live_of_kind(InstanceKind::Service)
            .filter(named)
            .cloned()
            .collect()
    }

    /// VMs that run basilgw, those that are leaving included.
    pub fn gateways(&self) -> impl Iterator<Item = &Instance> {
        self.instances
            .iter()
            .filter(|i| i.kind == InstanceKind::Gateway)
    }

    fn live_of_kind(&self, kind: InstanceKind) -> impl Iterator<Item = &Instance> {
        let live = |i: &&Instance| i.state == InstanceState::Live;
        self.instances
            .iter()
            .filter(move |i| i.kind == kind)
            .filter(live)
    }
}

/// A running poller of the list; ends when dropped.
#[derive(Debug)]
pub struct InstanceDirectory {
    snapshot: Arc<ArcSwap<InstanceSnapshot>>,
    /// Number of successful reads.
    reads: watch::Receiver<u64>,
    task: JoinHandle<()>,
}

impl InstanceDirectory {
    /// Starts to poll the list, with `pause` between two reads.
    pub fn spawn(
        source: Arc<dyn InstanceSource>,
        clock: Arc<dyn Clock>,
        pause: Duration,
        log: Logger,
    ) -> Self {
        let snapshot = Arc::new(ArcSwap::default());
        let (read_count, reads) = watch::channel(0);
        let target = Arc::clone(&snapshot);
        let task = tokio::spawn(async move {
            loop {
                match source.list().await {
                    Ok(list) => {
                        let age = Duration::from_millis(list.age);
                        let now = clock.now();
                        let taken = Some(now.checked_sub(age).unwrap_or(now));
                        target.store(Arc::new(InstanceSnapshot {
                            taken,
                            instances: list.instances,
                        }));
                        read_count.send_modify(|count| *count += 1);
                    }
                    Err(e) => warn!(log, "vm_list_failed"; "error" => %e),
                }
                tokio::time::sleep(pause).await;
            }
        });
        Self {
            snapshot,
            reads,
            task,
        }
    }

    /// The last list that was read; empty before the first read.
    pub fn snapshot(&self) -> Arc<InstanceSnapshot> {
        self.snapshot.load_full()
    }

    /// Subscribes to the number of successful reads, which changes with each new snapshot.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.reads.clone()
    }
}

impl Drop for InstanceDirectory {
    fn drop(&mut self) {
        self.task.abort();
    }
}
