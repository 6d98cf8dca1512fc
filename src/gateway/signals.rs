//! What upstreams state about themselves in the heads of their responses: that they are leaving,
//! that they want no further requests of this VM for a while, or how many they take from all VMs
//! together ([`super::upstream_limit`]).
//!
//! An upstream that is leaving is taken out of use on this VM at once, until it has restarted, and
//! the other VMs are told with the next usage reports. A delay that an upstream asks for holds on
//! this VM alone.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::{Duration, Instant};

use rand::RngExt;
use slog::info;

use crate::clock::BootTime;
use crate::ids::UpstreamId;
use crate::schema::mesh::LeavingUpstream;

use super::exchange::SignalObserver;
use super::platform_api::UpstreamSignals;
use super::state::Gateway;
use super::upstream::{Upstream, UpstreamInstance};

/// How long the other VMs are told that an upstream is leaving: three usage reports of a VM among
/// many, as a datagram may be lost.
const HINT_LIFETIME: Duration = Duration::from_secs(4);
/// Random factor on the delay that an upstream asks for, so that VMs which it refused at the same
/// moment don't come back together.
const DELAY_JITTER: Range<f64> = 1.0..1.25;

/// Upstreams that this VM learned to be leaving, as hints for the other VMs.
#[derive(Debug, Default)]
pub struct LeavingHints(BTreeMap<(UpstreamId, u64), Instant>);

impl LeavingHints {
    /// Adds an upstream with its start time; false if it is known already.
    pub fn add(&mut self, id: &UpstreamId, started_ms: u64, now: Instant) -> bool {
        let run = (id.clone(), started_ms);
        self.0.insert(run, now + HINT_LIFETIME).is_none()
    }

    /// The hints that the next usage report carries.
    pub fn current(&mut self, now: Instant) -> Vec<LeavingUpstream> {
        self.0.retain(|_, expires| now < *expires);
        let runs = self.0.keys();
        runs.map(|(upstream, born)| LeavingUpstream {
            upstream: upstream.clone(),
            born: *born,
        })
        .collect()
    }
}

/// Applies the statements of one upstream.
#[derive(Debug)]
pub struct UpstreamObserver<'a> {
    /// State of this VM.
    pub gateway: &'a Gateway,
    /// Upstream that a request is sent to.
    pub upstream: &'a Upstream,
    /// When the request is sent.
    pub sent: BootTime,
}

impl SignalObserver for UpstreamObserver<'_> {
    fn on_signals(&self, signals: UpstreamSignals) {
        let registration = &self.upstream.registration;
        if signals.leaving {
            self.gateway
                .on_upstream_leaving(&registration.id, registration.started_ms);
        }
        let instance = UpstreamInstance::from(&**registration);
        self.gateway
            .on_limit_signal(&instance, signals.limit, self.sent);
        if let Some(left) = signals.warm_up {
            self.gateway.on_warm_up_signal(registration, left);
        }
        if let Some(retry_after) = signals.retry_after {
            let delay = retry_after.delay(self.gateway.clock.wall());
            let delay = delay.mul_f64(rand::rng().random_range(DELAY_JITTER));
            info!(self.gateway.log, "upstream_deferred"; "upstream" => %registration.id,
                "delay_ms" => delay.as_millis() as u64);
            let now = self.gateway.clock.now();
            self.upstream.health.defer(now + delay);
        }
    }
}
