//! The gate that each attempt to send a request passes, and what the gateway learns from attempts.

use std::time::{Duration, Instant};

use rand::RngExt;
use slog::{info, warn};

use crate::ids::RequestDigest;
use crate::schema::mesh::QuarantineReport;

use super::crashes::Written;
use super::suspect::{BrokenRequest, Suspect};
use crate::gateway::relay::AdmittedRequest;
use crate::gateway::request::SharedParts;
use crate::gateway::state::Gateway;
use crate::gateway::upstream::{Registration, UpstreamInstance};

/// Number of VMs from which a VM hears of what is held back in each interval of usage reports.
const HOLD_REPORTERS: u32 = 8;

/// Leave to send a request to one upstream once; only the gate makes it.
#[derive(Debug)]
pub struct Clearance(());

/// What a request may be held back by: the shared parts of its prompt, and the request itself.
fn suspects(
    parts: SharedParts<'_>,
    digest: RequestDigest,
) -> impl Iterator<Item = Suspect> + Clone + use<'_> {
    let parts = parts.hashes().map(Suspect::Part);
    parts.chain([Suspect::Request(digest)])
}

impl AdmittedRequest {
    /// Asks for leave to send the request once.
    ///
    /// # Errors
    ///
    /// Time after which the request may come again, if it or a part of its prompt is held back.
    pub fn clear_to_send(&self) -> Result<Clearance, Duration> {
        let gateway = &self.gateway;
        let suspects = suspects(self.request.head.shared_parts(), self.digest);
        let now = gateway.clock.now();
        let mut quarantine = gateway.quarantine();
        quarantine.try_send(suspects, gateway.leads(), now)?;
        Ok(Clearance(()))
    }

    /// Time after which the request may come again, if it or a part of its prompt is held back.
    pub fn quarantine_delay(&self) -> Option<Duration> {
        let parts = self.request.head.shared_parts();
        self.gateway.quarantine_delay(parts, self.digest)
    }

    /// Whether a part of the prompt may have crashed the engine that broke off its response without
    /// an event. The request is then sent to no other engine.
    pub fn has_new_part(&self) -> bool {
        let parts = self.request.head.shared_parts();
        self.gateway.quarantine().has_new_part(parts.hashes())
    }

    /// Whether the request has ended so many engines that it is sent to no other one.
    pub fn stops_retries(&self) -> bool {
        self.gateway.quarantine().stops_retries(self.digest)
    }

    /// Records that an engine broke off the response to the request, which was sent at `sent`, and
    /// has the other VMs told. `parts` are those that may be the cause.
    pub fn on_engine_crash(
        &self,
        engine: &Registration,
        parts: SharedParts<'_>,
        written: Written,
        sent: Instant,
    ) {
        let gateway = &self.gateway;
        let request = BrokenRequest {
            parts: parts.hashes().collect(),
            digest: self.digest,
            sent,
            written,
        };
        let engine = UpstreamInstance::from(engine);
        let now = gateway.clock.now();
        let added = gateway.quarantine().on_crash(engine, &request, now);
        gateway.on_quarantined(&added);
        gateway.usage_due.notify_one();
    }

    /// Records that the response showed the shared parts of the prompt to crash no engine.
    pub fn on_sound_parts(&self) {
        let parts = self.request.head.shared_parts();
        self.gateway.on_sound(parts.hashes());
    }

    /// Records that the engine completed the response, so that the request crashes no engine.
    pub fn on_completed(&self) {
        self.gateway.on_sound([self.digest]);
    }
}

impl Gateway {
    /// Time after which a request with these parts and this digest may come again, if it is held
    /// back.
    pub fn quarantine_delay(
        &self,
        parts: SharedParts<'_>,
        digest: RequestDigest,
    ) -> Option<Duration> {
        let now = self.clock.now();
        self.quarantine()
            .retry_delay(suspects(parts, digest), self.leads(), now)
    }

    /// Records that an engine answers a request that was sent to it at `sent`.
    pub fn on_engine_answer(&self, engine: &Registration, sent: Instant) {
        let now = self.clock.now();
        self.quarantine()
            .on_answer(&UpstreamInstance::from(engine), sent, now);
    }

    /// Records that a response showed these suspects to crash no engine.
    fn on_sound<I>(&self, suspects: I)
    where
        I: IntoIterator,
        I::Item: Into<Suspect>,
    {
        let now = self.clock.now();
        let released = self.quarantine().on_sound(suspects, now);
        for suspect in released {
            match suspect {
                Suspect::Part(part) => info!(self.log, "part_released"; "part" => %part),
                Suspect::Request(digest) => {
                    info!(self.log, "request_released"; "digest" => %digest);
                }
            }
            self.usage_due.notify_one();
        }
    }

    /// What the next usage report tells the other VMs.
    pub fn quarantine_report(&self) -> Option<QuarantineReport> {
        let vms = self.reachability().vms.max(HOLD_REPORTERS);
        let held = rand::rng().random_ratio(HOLD_REPORTERS, vms);
        let now = self.clock.now();
        let mut quarantine = self.quarantine();
        quarantine.on_replaced(|engine| self.is_replaced(engine), now);
        let added = quarantine.attribute_crashes(now);
        let report = quarantine.report(held, now);
        drop(quarantine);
        self.on_quarantined(&added);
        report
    }

    /// Whether another run of an engine is registered.
    fn is_replaced(&self, engine: &UpstreamInstance) -> bool {
        let upstreams = self.upstreams.load();
        let current = upstreams.get(&engine.id);
        current.is_some_and(|upstream| upstream.registration.started_ms != engine.started_ms)
    }

    /// What a VM is told that has just started.
    pub fn quarantine_summary(&self) -> Option<QuarantineReport> {
        let now = self.clock.now();
        self.quarantine().report(true, now)
    }

    /// Applies what another VM reports.
    pub fn on_quarantine_report(&self, report: QuarantineReport) {
        let now = self.clock.now();
        let mut quarantine = self.quarantine();
        quarantine.on_replaced(|engine| self.is_replaced(engine), now);
        let added = quarantine.on_report(report, now);
        drop(quarantine);
        self.on_quarantined(&added);
    }

    /// Lets requests that wait for a model learn that they will not be sent.
    fn on_quarantined(&self, suspects: &[Suspect]) {
        if suspects.is_empty() {
            return;
        }
        for suspect in suspects {
            match suspect {
                Suspect::Part(part) => warn!(self.log, "part_quarantined"; "part" => %part),
                Suspect::Request(digest) => {
                    warn!(self.log, "request_quarantined"; "digest" => %digest);
                }
            }
        }
        self.upstreams_changed.notify_waiters();
    }
}
