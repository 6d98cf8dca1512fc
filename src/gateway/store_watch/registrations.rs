//! Watches the upstreams' registrations.

use std::sync::Arc;
use std::time::Duration;

use slog::{info, warn};
use tokio::task::JoinHandle;

use crate::clock::BootTime;
use crate::ids::Version;
use crate::schema::mesh::RegistrationChange;

use super::{ChangeHandler, Watcher};
use crate::gateway::fleet::Fleet;
use crate::gateway::platform_api::{NamedObject, ObjectChange, ObjectSource};
use crate::gateway::state::Gateway;
use crate::gateway::upstream::Registration;

/// Pause after changes to registrations, so that one call returns several of them, in proportion
/// to the time within which the gateway must know that an upstream is leaving.
const BATCH_DELAY_RATIO: f64 = 0.6;
/// Longest that the store waits for a change before it responds.
const MAX_WAIT: Duration = Duration::from_millis(2500);
/// Longest such wait where other VMs rely on what this one reads, as a share of the bound on
/// leaving upstreams. What a follower is told is at most two waits and its own interval old, which
/// must stay below the share in `fanout::coverage`.
const READER_SHARE: f64 = 0.22;
/// Pause after changes in that case, as a share of the same bound.
const READER_DELAY_RATIO: f64 = 0.2;
/// Upper bound on the pause after failures; a success for the configuration ends the pause early.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Starts to watch the upstreams' registrations.
pub fn spawn(
    gateway: &Arc<Gateway>,
    source: Arc<dyn ObjectSource<Registration>>,
) -> JoinHandle<()> {
    let watcher = Watcher::new(gateway, source, Handler(Arc::clone(gateway)));
    tokio::spawn(watcher.run())
}

struct Handler(Arc<Gateway>);

impl Handler {
    /// The registration; absent, with a line in the log, if it could not be decoded.
    fn decoded_or_logged(&self, item: NamedObject<Registration>) -> Option<Registration> {
        match item {
            (_, Ok(registration)) => Some(registration),
            (name, Err(e)) => {
                if self.0.on_unreadable(Self::KIND, &name, &e) {
                    warn!(self.0.log, "registration_unreadable"; "name" => %name, "error" => %e);
                }
                None
            }
        }
    }
}

/// Applies changes of registrations that this VM or its reader has read, oldest first.
pub(in crate::gateway) fn apply_changes(gateway: &Gateway, changes: Vec<RegistrationChange>) {
    for change in changes {
        if let Some(registration) = change.registration {
            apply(gateway, registration);
            continue;
        }
        info!(gateway.log, "upstream_removed"; "upstream" => %change.name);
        if let Ok(id) = change.name.parse() {
            gateway.update_fleet(|fleet, now| fleet.on_removed(&id, now));
        }
    }
}

/// Applies a registration. It is logged only if the upstream is new, was restarted or is
/// leaving, because registrations also change with each model that an engine loads.
fn apply(gateway: &Gateway, registration: Registration) {
    let upstreams = gateway.upstreams.load();
    let known = upstreams
        .get(&registration.id)
        .map(|upstream| &upstream.registration);
    if registration.leaving || known.is_none_or(|known| known.started_ms != registration.started_ms)
    {
        info!(gateway.log, "upstream_told"; "upstream" => %registration.id,
                "born" => registration.started_ms, "leaving" => registration.leaving,
                "models" => registration.inventory.loaded.len(),
                "warm_up_ms" => registration.warm_up_ms);
    }
    drop(upstreams);
    // Before the fleet is updated, as this compares with the run known until now.
    gateway.on_registration_written(&registration);
    gateway.update_fleet(|fleet, _| fleet.on_registration(registration));
}

impl ChangeHandler<Registration> for Handler {
    const KIND: &'static str = "registrations";

    fn covered(&self) -> bool {
        let bound = self.0.bounds().leaving;
        self.0
            .coverage()
            .covers_registrations(self.0.clock.boot(), bound)
    }

    fn position(&self, last: Option<Version>, covered: bool) -> Option<Version> {
        if last.is_none() && !covered {
            return None;
        }
        self.0.coverage().registrations_position()
    }

    fn batch_delay(&self) -> Duration {
        let ratio = if self.0.coverage().reads_for_others() {
            READER_DELAY_RATIO
        } else {
            BATCH_DELAY_RATIO
        };
        self.0.bounds().leaving.mul_f64(ratio)
    }

    fn max_backoff(&self) -> Duration {
        MAX_BACKOFF
    }

    fn wait(&self) -> Duration {
        if self.0.coverage().reads_for_others() {
            let bound = self.0.bounds().leaving;
            return MAX_WAIT.min(bound.mul_f64(READER_SHARE));
        }
        MAX_WAIT
    }

    fn on_list(&self, items: Vec<NamedObject<Registration>>, version: Version) {
        let decoded = items
            .into_iter()
            .filter_map(|item| self.decoded_or_logged(item));
        let registrations: Vec<_> = decoded.collect();
        info!(self.0.log, "registrations_listed"; "count" => registrations.len());
        self.0.on_registrations_listed(&registrations);
        self.0
            .update_fleet(|fleet, now| fleet.on_list(registrations, now));
        self.0.coverage().on_registrations_listed(version);
    }

    fn on_changes(&self, changes: Vec<ObjectChange<Registration>>, version: Version) {
        // The response of a reader may have been faster.
        if self.0.coverage().log.version() > Some(version) {
            return;
        }
        let changes = changes.into_iter().map(|change| match change {
            ObjectChange::Set(item) => RegistrationChange {
                name: item.0.clone(),
                registration: self.decoded_or_logged(item),
            },
            ObjectChange::Removed(name) => RegistrationChange {
                name,
                registration: None,
            },
        });
        let changes: Vec<_> = changes.collect();
        apply_changes(&self.0, changes.clone());
        self.0.coverage().log.on_changes(changes, version);
    }

    fn on_response(&self, sent: BootTime) {
        self.0.coverage().on_registrations_read(sent);
        // Publishes the upstreams in use again if part of their state has expired.
        let now = self.0.clock.now();
        let expired = self
            .0
            .read_fleet(|fleet| fleet.next_expiry().is_some_and(|at| at <= now));
        if expired {
            self.0.update_fleet(|_, _| ());
        }
    }

    fn on_recovery(&self) {
        self.0.update_fleet(Fleet::on_store_recovery);
    }

    fn on_store_return(&self) {
        self.0.update_fleet(Fleet::on_store_return);
        self.0.store_returned.notify_one();
    }
}
