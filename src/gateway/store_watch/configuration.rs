//! Watches the configuration.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use compact_str::CompactString;
use slog::warn;
use tokio::task::JoinHandle;

use crate::clock::BootTime;
use crate::ids::Version;

use super::{ChangeHandler, Watcher};
use crate::gateway::configuration::Configuration;
use crate::gateway::platform_api::{NamedObject, ObjectChange, ObjectSource};
use crate::gateway::state::Gateway;

/// Longest wait of the store where other VMs rely on what this one reads, as a share of the bound
/// on withdrawn keys. What a follower is told is at most two waits and its own interval old, which
/// must stay below the share in `fanout::coverage`.
const READER_SHARE: f64 = 0.14;
/// Upper bound on the pause after failures; short, because keys are only
/// accepted while the configuration is known to be fresh.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// Starts to watch the configuration.
pub fn spawn(
    gateway: &Arc<Gateway>,
    source: Arc<dyn ObjectSource<Configuration>>,
) -> JoinHandle<()> {
    let handler = Handler {
        gateway: Arc::clone(gateway),
        source: Mutex::default(),
    };
    let watcher = Watcher::new(gateway, source, handler);
    tokio::spawn(watcher.run())
}

struct Handler {
    gateway: Arc<Gateway>,
    /// Name of the object that holds the configuration in force; absent before the first one.
    source: Mutex<Option<CompactString>>,
}

impl Handler {
    fn apply(&self, item: NamedObject<Configuration>) {
        let mut source = self.source.lock().unwrap_or_else(PoisonError::into_inner);
        match item {
            (name, Ok(configuration)) => {
                let version = configuration.version;
                let newer = self.gateway.apply_configuration(configuration);
                self.gateway.update_freshness(|freshness, now| {
                    freshness.on_configuration(version, newer, now);
                });
                if newer || source.as_ref() == Some(&name) {
                    *source = Some(name);
                    self.gateway.freshness().set_unreadable(false);
                }
            }
            (name, Err(e)) => {
                // Any other object beside the one in force is passed over.
                if source.as_ref().is_none_or(|source| *source == name) {
                    self.gateway.freshness().set_unreadable(true);
                }
                if self.gateway.on_unreadable(Self::KIND, &name, &e) {
                    warn!(self.gateway.log, "configuration_unreadable"; "name" => %name, "error" => %e);
                }
            }
        }
    }
}

impl ChangeHandler<Configuration> for Handler {
    const KIND: &'static str = "configuration";

    fn batch_delay(&self) -> Duration {
        Duration::ZERO
    }

    fn max_backoff(&self) -> Duration {
        MAX_BACKOFF
    }

    fn covered(&self) -> bool {
        let age = self.gateway.freshness().age(self.gateway.clock.boot());
        let bound = self.gateway.bounds().withdrawal;
        self.gateway.coverage().covers_configuration(age, bound)
    }

    // Readers hand on no changes of the configuration.
    fn position(&self, last: Option<Version>, covered: bool) -> Option<Version> {
        last.filter(|_| !covered)
    }

    fn wait(&self) -> Duration {
        let wait = self.gateway.freshness().poll_wait();
        if self.gateway.coverage().reads_for_others() {
            let bound = self.gateway.bounds().withdrawal;
            return wait.min(bound.mul_f64(READER_SHARE));
        }
        wait
    }

    fn on_list(&self, items: Vec<NamedObject<Configuration>>, version: Version) {
        self.gateway.update_freshness(|freshness, now| {
            freshness.on_generation(version.generation(), now);
        });
        self.gateway.coverage().on_configuration_listed();
        for item in items {
            self.apply(item);
        }
    }

    fn on_changes(&self, changes: Vec<ObjectChange<Configuration>>, _version: Version) {
        for change in changes {
            match change {
                ObjectChange::Set(item) => self.apply(item),
                ObjectChange::Removed(name) => {
                    warn!(self.gateway.log, "configuration_removed"; "name" => %name);
                }
            }
        }
    }

    fn on_response(&self, sent: BootTime) {
        self.gateway
            .update_freshness(|freshness, _| freshness.on_response(sent));
    }

    fn on_recovery(&self) {}

    // A configuration older than the one in force is never applied.
    fn on_store_return(&self) {}
}
