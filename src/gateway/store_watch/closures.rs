//! Watches which data centres are closed.

use std::sync::Arc;
use std::time::Duration;

use slog::warn;
use tokio::task::JoinHandle;

use crate::clock::BootTime;
use crate::ids::{DataCentre, Version};

use super::{ChangeHandler, Watcher};
use crate::gateway::centre_closure::CentreClosure;
use crate::gateway::platform_api::{NamedObject, ObjectChange, ObjectSource};
use crate::gateway::state::Gateway;

/// Longest wait for a change to the closed data centres where other VMs rely on what this one reads,
/// as a share of the time in which a closure must be in force.
const READER_SHARE: f64 = 0.3;
/// The same share where no other VM relies on it.
const SHARE: f64 = 0.4;
/// The time in which a closure must be in force where the settings no longer say.
const DEFAULT_BOUND: Duration = Duration::from_secs(5);
/// Upper bound on the pause after failures.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Starts to watch which data centres are closed.
pub fn spawn(
    gateway: &Arc<Gateway>,
    source: Arc<dyn ObjectSource<CentreClosure>>,
) -> JoinHandle<()> {
    let watcher = Watcher::new(gateway, source, Handler(Arc::clone(gateway)));
    tokio::spawn(watcher.run())
}

struct Handler(Arc<Gateway>);

impl Handler {
    /// Time in which a closure must be in force.
    fn bound(&self) -> Duration {
        self.0.bounds().closure.unwrap_or(DEFAULT_BOUND)
    }

    /// The data centre that an object closes, whatever the object holds.
    fn centre(&self, name: &str) -> Option<DataCentre> {
        let centre = name.parse();
        if centre.is_err() {
            warn!(self.0.log, "closure_unreadable"; "name" => name);
        }
        centre.ok()
    }
}

impl ChangeHandler<CentreClosure> for Handler {
    const KIND: &'static str = "closures";

    fn covered(&self) -> bool {
        let now = self.0.clock.boot();
        self.0.coverage().covers_closures(now, self.bound())
    }

    // Readers hand on no changes of the closures.
    fn position(&self, last: Option<Version>, covered: bool) -> Option<Version> {
        last.filter(|_| !covered)
    }

    fn wait(&self) -> Duration {
        let reads = self.0.coverage().reads_for_others();
        self.bound()
            .mul_f64(if reads { READER_SHARE } else { SHARE })
    }

    fn batch_delay(&self) -> Duration {
        Duration::ZERO
    }

    fn max_backoff(&self) -> Duration {
        MAX_BACKOFF
    }

    fn on_list(&self, items: Vec<NamedObject<CentreClosure>>, version: Version) {
        let names = items.into_iter().filter_map(|(name, _)| self.centre(&name));
        let listed = names.collect();
        self.0
            .update_closures(|closures, now| closures.on_list(listed, version, now));
    }

    fn on_changes(&self, changes: Vec<ObjectChange<CentreClosure>>, version: Version) {
        let changes = changes.into_iter().filter_map(|change| match change {
            ObjectChange::Set((name, _)) => Some((self.centre(&name)?, true)),
            ObjectChange::Removed(name) => Some((self.centre(&name)?, false)),
        });
        self.0.update_closures(|closures, _| {
            for (centre, closed) in changes {
                closures.on_change(centre, closed, version);
            }
            closures.on_version(version);
        });
    }

    fn on_response(&self, sent: BootTime) {
        self.0.coverage().on_closures_read(sent);
    }

    fn on_recovery(&self) {}

    fn on_store_return(&self) {
        self.0.closures().on_store_return(self.0.clock.now());
    }
}
