//! Learns which upstreams are warming up, and has their requests limited ([`super::upstream_limit`]).
//!
//! An upstream states in its registration how long it still warms up. A registration that is read as
//! a change was written a moment ago. One that is read in a list may be older, and counts only where
//! it is new. A running upstream may begin to warm up again, and one may be restarted under its old
//! id and address: the other VMs are told of both at once. An upstream that could not be reached may
//! have been restarted, and counts as warming up until its registration must have shown that.

use std::collections::BTreeMap;
use std::time::Duration;

use slog::info;

use super::fleet::Fleet;
use super::state::Gateway;
use super::upstream::{Registration, UpstreamInstance};
use super::upstream_limit::warm_up::{Audience, WarmUp};
use crate::ids::DataCentre;

/// Time after which a restart of an upstream, or its end, has been read from the registrations.
const RESTART_KNOWN: Duration = Duration::from_secs(6);

impl Gateway {
    /// Records what a registration states that has just been written.
    pub fn on_registration_written(&self, registration: &Registration) {
        let upstreams = self.upstreams.load();
        let known = upstreams.get(&registration.id);
        let known = known.map(|upstream| upstream.registration.started_ms);
        let new = known != Some(registration.started_ms);
        let assumed = new && self.read_fleet(|fleet| fleet.initialized);
        let Some(left) = self.warm_up_left(registration, assumed) else {
            return;
        };
        let audience = match known {
            Some(_) => Audience::All,
            None => Audience::Own,
        };
        self.note_warm_up(registration, left, audience);
    }

    /// Records what a list of registrations states that was not known.
    pub fn on_registrations_listed(&self, registrations: &[Registration]) {
        let known = self.read_fleet(Fleet::registered);
        let known: BTreeMap<_, _> = known.iter().map(|known| (&known.id, known)).collect();
        for registration in registrations {
            let same = known.get(&registration.id).is_some_and(|known| {
                known.started_ms == registration.started_ms
                    && known.warm_up_ms == registration.warm_up_ms
            });
            let assumed = self.read_fleet(|fleet| fleet.initialized);
            if !same && let Some(left) = self.warm_up_left(registration, assumed) {
                self.note_warm_up(registration, left, Audience::Own);
            }
        }
    }

    /// Records a warm-up that an upstream stated in a response.
    pub fn on_warm_up_signal(&self, registration: &Registration, left: Duration) {
        self.note_warm_up(registration, left, Audience::All);
    }

    /// Records that an upstream could not be reached.
    pub fn on_unreachable(&self, registration: &Registration) {
        if let Some(length) = self.slow_start_length(registration) {
            self.note_warm_up(
                registration,
                length.saturating_add(RESTART_KNOWN),
                Audience::Own,
            );
        }
    }

    /// Records that a data centre is open again, whose upstreams had no requests for a while.
    pub fn on_centre_reopened(&self, centre: &DataCentre) {
        for registration in self.read_fleet(|fleet| fleet.registered_in(centre)) {
            if let Some(length) = self.slow_start_length(&registration) {
                self.note_warm_up(&registration, length, Audience::Own);
            }
        }
    }

    /// Records what the registrations state, after a change of how upstreams warm up.
    pub fn on_slow_start_changed(&self) {
        for registration in self.read_fleet(Fleet::registered) {
            if let Some(left) = self.warm_up_left(&registration, false) {
                self.note_warm_up(&registration, left, Audience::Own);
            }
        }
    }

    /// Time for which an upstream warms up by its registration. Where that says nothing, all of it if
    /// `assumed`; `None` if there is none.
    fn warm_up_left(&self, registration: &Registration, assumed: bool) -> Option<Duration> {
        let stated = registration.warm_up_ms.map(Duration::from_millis);
        let left = match stated {
            Some(left) => left,
            None if assumed => self.slow_start_length(registration)?,
            None => return None,
        };
        (!left.is_zero()).then_some(left)
    }

    /// How long the upstreams of a service warm up after their start; `None` if they need not.
    fn slow_start_length(&self, registration: &Registration) -> Option<Duration> {
        let configuration = self.configuration.load();
        let slow_start = configuration.as_ref()?.slow_start(&registration.service)?;
        Some(slow_start.length).filter(|length| !length.is_zero())
    }

    fn note_warm_up(&self, registration: &Registration, left: Duration, audience: Audience) {
        let configuration = self.configuration.load();
        let slow_start = configuration
            .as_ref()
            .and_then(|configuration| configuration.slow_start(&registration.service));
        let Some(slow_start) = slow_start else {
            return;
        };
        let rate = slow_start.rate;
        let instance = UpstreamInstance::from(registration);
        let (warm_up, now) = (WarmUp { rate, left }, self.clock.boot());
        let mut limits = self.upstream_limits();
        if !limits.on_warm_up(&instance, warm_up, audience, now) {
            return;
        }
        drop(limits);
        self.counters.warm_ups.inc();
        info!(self.log, "upstream_warming_up"; "upstream" => %registration.id,
            "left_ms" => left.as_millis() as u64);
        if audience == Audience::All {
            self.usage_due.notify_one();
        }
    }
}
