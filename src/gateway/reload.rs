//! Takes changed settings into use while the gateway runs.
//!
//! The settings are read on a signal, and regularly, since they may change without one. A change that
//! is faulty as a whole changes nothing. Requests that run are not touched: what reads a bound next
//! reads the new one.

use std::fmt::Debug;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use slog::{info, warn};
use tokio::task::JoinHandle;

use super::state::{Gateway, GatewayBounds};

/// Interval between reads of the settings.
const READ_INTERVAL: Duration = Duration::from_secs(3);
/// Time between two reads, of which the second confirms what the first has found.
const WRITE_TIME: Duration = Duration::from_millis(200);

/// Settings that differ from the last that were read.
#[derive(Clone, Debug, PartialEq)]
pub enum SettingsChange {
    /// They can be used.
    Valid {
        /// Bounds from now on.
        bounds: GatewayBounds,
        /// Names of the settings that differ from those at the start, and that need a restart.
        need_restart: Vec<CompactString>,
    },
    /// They cannot be used; the fault, for the log.
    Faulty(CompactString),
}

/// Where settings come from.
pub trait SettingsSource: Send + Debug {
    /// Reads the settings; `None` if they are the same as before, or differ for the first time.
    fn read(&mut self) -> Option<SettingsChange>;
}

/// Starts to read the settings regularly, and whenever [`Gateway::settings_due`] asks for it.
pub fn spawn(gateway: &Arc<Gateway>, mut source: Box<dyn SettingsSource>) -> JoinHandle<()> {
    let gateway = Arc::clone(gateway);
    tokio::spawn(async move {
        loop {
            let due = gateway.settings_due.notified();
            let _woken = tokio::time::timeout(READ_INTERVAL, due).await;
            let first = source.read();
            tokio::time::sleep(WRITE_TIME).await;
            for change in first.into_iter().chain(source.read()) {
                apply(&gateway, change);
            }
        }
    })
}

fn apply(gateway: &Gateway, change: SettingsChange) {
    match change {
        SettingsChange::Faulty(fault) => {
            gateway.counters.settings_rejected.inc();
            warn!(gateway.log, "settings_rejected"; "fault" => %fault);
        }
        SettingsChange::Valid {
            bounds,
            need_restart,
        } => {
            gateway.counters.settings_taken.inc();
            info!(gateway.log, "settings_taken"; "bounds" => ?bounds);
            if !need_restart.is_empty() {
                warn!(gateway.log, "settings_need_restart"; "names" => need_restart.join(" "));
            }
            gateway.set_bounds(bounds);
        }
    }
}
