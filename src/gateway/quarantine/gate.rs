//! The gate that each attempt to send a request passes, and what the gateway learns from attempts.

use std::time::{Duration, Instant};

use rand::RngExt;
use slog::{info, warn};

use crate::ids::PartHash;
use crate::schema::mesh::QuarantineReport;

use super::crashes::Written;
use crate::gateway::relay::AdmittedRequest;
use crate::gateway::request::SharedParts;
use crate::gateway::state::Gateway;
use crate::gateway::upstream::{Registration, UpstreamInstance};

/// Number of VMs from which a VM hears of the parts held back in each interval of usage reports.
const HOLD_REPORTERS: u32 = 8;

/// Leave to send a request to one upstream once; only the gate makes it.
#[derive(Debug)]
pub struct Clearance(());

impl AdmittedRequest {
    /// Asks for leave to send the request once.
    ///
    /// # Errors
    ///
    /// Time after which the request may come again, if a part of its prompt is held back.
    pub fn clear_to_send(&self) -> Result<Clearance, Duration> {
        let gateway = &self.gateway;
        let parts = self.request.head.shared_parts();
        let now = gateway.clock.now();
        let mut quarantine = gateway.quarantine();
        quarantine.try_send(parts.hashes(), gateway.leads(), now)?;
        Ok(Clearance(()))
    }

    /// Whether the request may have crashed the engine that broke off its response without an
    /// event. It is then sent to no other engine.
    pub fn may_crash_engines(&self) -> bool {
        let parts = self.request.head.shared_parts();
        self.gateway.quarantine().has_new_part(parts.hashes())
    }
}

impl Gateway {
    /// Time after which a request with these parts may come again, if one of them is held back.
    pub fn quarantine_delay(&self, parts: SharedParts<'_>) -> Option<Duration> {
        let now = self.clock.now();
        self.quarantine()
            .retry_delay(parts.hashes(), self.leads(), now)
    }

    /// Records that an engine broke off an early response to a request with these parts, and has
    /// the other VMs told.
    pub fn on_engine_crash(&self, engine: &Registration, parts: SharedParts<'_>, written: Written) {
        let mut hashes = parts.hashes().peekable();
        if hashes.peek().is_none() {
            return;
        }
        let instance = UpstreamInstance::from(engine);
        let now = self.clock.now();
        let added = self.quarantine().on_crash(instance, hashes, written, now);
        self.on_quarantined(&added);
        self.usage_due.notify_one();
    }

    /// Records that an engine answers a request that was sent to it at `sent`.
    pub fn on_engine_answer(&self, engine: &Registration, sent: Instant) {
        let now = self.clock.now();
        self.quarantine()
            .on_answer(&UpstreamInstance::from(engine), sent, now);
    }

    /// Records that a response showed these parts to crash no engine.
    pub fn on_sound_response(&self, parts: SharedParts<'_>) {
        let now = self.clock.now();
        let released = self.quarantine().on_sound(parts.hashes(), now);
        for part in released {
            info!(self.log, "part_released"; "part" => %part);
            self.usage_due.notify_one();
        }
    }

    /// What the next usage report tells the other VMs.
    pub fn quarantine_report(&self) -> Option<QuarantineReport> {
        let vms = self.reachability().vms.max(HOLD_REPORTERS);
        let held = rand::rng().random_ratio(HOLD_REPORTERS, vms);
        let now = self.clock.now();
        let mut quarantine = self.quarantine();
        let added = quarantine.attribute_crashes(now);
        let report = quarantine.report(held, now);
        drop(quarantine);
        self.on_quarantined(&added);
        report
    }

    /// What a VM is told that has just started.
    pub fn quarantine_summary(&self) -> Option<QuarantineReport> {
        let now = self.clock.now();
        self.quarantine().report(true, now)
    }

    /// Applies what another VM reports.
    pub fn on_quarantine_report(&self, report: QuarantineReport) {
        let now = self.clock.now();
        let added = self.quarantine().on_report(report, now);
        self.on_quarantined(&added);
    }

    /// Lets requests that wait for a model learn that they will not be sent.
    fn on_quarantined(&self, parts: &[PartHash]) {
        if parts.is_empty() {
            return;
        }
        for part in parts {
            warn!(self.log, "part_quarantined"; "part" => %part);
        }
        self.upstreams_changed.notify_waiters();
    }
}
