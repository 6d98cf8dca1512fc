//! The platform's list of VMs, read again and again and kept for readers.
//!
//! In an outage the last list stays, with its age. Readers take it by one atomic load.

use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use slog::{Logger, warn};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::{Instance, InstanceKind, InstanceSource, InstanceState};
use crate::clock::Clock;
use crate::ids::ServiceId;

/// The list as last read.
#[derive(Clone, Debug, Default)]
pub struct InstanceSnapshot {
    /// When it was taken, as far as its stated age tells; `None` before the first reading.
    pub taken: Option<Instant>,
    /// The instances, leaving ones too.
    pub instances: Vec<Instance>,
}

impl InstanceSnapshot {
    /// Model engines that may get new work.
    pub fn live_engines(&self) -> Vec<Instance> {
        self.live_of_kind(InstanceKind::Engine).cloned().collect()
    }

    /// Instances of a plain service that may get new work.
    pub fn live_services(&self, service: &ServiceId) -> Vec<Instance> {
        let named = |i: &&Instance| i.service.as_ref() == Some(service);
        self.live_of_kind(InstanceKind::Service)
            .filter(named)
            .cloned()
            .collect()
    }

    /// VMs that run basilgw, leaving ones too.
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

/// A running reader of the list; ends when dropped.
#[derive(Debug)]
pub struct InstanceDirectory {
    snapshot: Arc<ArcSwap<InstanceSnapshot>>,
    news: watch::Receiver<u64>,
    task: JoinHandle<()>,
}

impl InstanceDirectory {
    /// Starts to read the list every `pause`.
    pub fn spawn(
        source: Arc<dyn InstanceSource>,
        clock: Arc<dyn Clock>,
        pause: Duration,
        log: Logger,
    ) -> Self {
        let snapshot = Arc::new(ArcSwap::default());
        let (tell, news) = watch::channel(0);
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
                        tell.send_modify(|count| *count += 1);
                    }
                    Err(e) => warn!(log, "vm_list_failed"; "error" => %e),
                }
                tokio::time::sleep(pause).await;
            }
        });
        Self {
            snapshot,
            news,
            task,
        }
    }

    /// The list as last read.
    pub fn snapshot(&self) -> Arc<InstanceSnapshot> {
        self.snapshot.load_full()
    }

    /// Tells of each reading.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.news.clone()
    }
}

impl Drop for InstanceDirectory {
    fn drop(&mut self) {
        self.task.abort();
    }
}
