//! Responds to the requests of followers, and applies the responses of readers.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::clock::BootTime;
use crate::gateway::state::Gateway;
use crate::gateway::store_watch::registrations;
use crate::ids::{DataCentre, Version};
use crate::schema::mesh::{
    FollowRequest, FollowResponse, KnownClosures, KnownConfiguration, KnownRegistrations,
    RegistrationChanges,
};

use super::follower::FollowId;

/// What this VM knows of the store, for a follower.
pub fn respond(gateway: &Gateway, request: &FollowRequest) -> FollowResponse {
    let now = gateway.clock.boot();
    let configuration = gateway.configuration.load();
    let read = gateway.freshness().age(now);
    let closures = known_closures(gateway);
    let coverage = gateway.coverage();
    let known = |age| KnownRegistrations {
        age_ms: millis_up(age),
        changes: request.registrations.and_then(|version| {
            let (changes, after) = coverage.log.since(version)?;
            Some(RegistrationChanges {
                changes,
                version: after,
                complete: coverage.log.version() == Some(after),
            })
        }),
    };
    FollowResponse {
        id: request.id,
        configuration: configuration
            .as_ref()
            .zip(read)
            .map(|(configuration, age)| KnownConfiguration {
                version: configuration.version,
                age_ms: millis_up(age),
            }),
        registrations: coverage.registrations_age(now).map(known),
        closures: coverage
            .closures_age(now)
            .zip(closures)
            .map(|(age, known)| {
                let (centres, version) = known;
                KnownClosures {
                    age_ms: millis_up(age),
                    centres,
                    version,
                }
            }),
    }
}

/// The closed data centres, and the version of the store that they were read at.
fn known_closures(gateway: &Gateway) -> Option<(Vec<DataCentre>, Version)> {
    let now = gateway.clock.now();
    let mut closures = gateway.closures();
    let version = closures.version()?;
    Some((closures.current(now).into_iter().collect(), version))
}

/// Applies the response of a reader; responses to earlier requests are ignored.
pub fn apply(gateway: &Gateway, response: FollowResponse) {
    let sent = gateway
        .coverage()
        .follower
        .on_response(FollowId(response.id));
    let Some(sent) = sent else {
        return;
    };
    let useful = [
        response
            .configuration
            .is_some_and(|known| apply_configuration(gateway, &known, sent)),
        response
            .registrations
            .is_some_and(|known| apply_registrations(gateway, known, sent)),
        response
            .closures
            .is_none_or(|known| apply_closures(gateway, known, sent)),
    ];
    if useful.contains(&false) {
        gateway.coverage().follower.pass_over();
    } else {
        gateway.store_recovered.notify_waiters();
    }
}

/// Returns whether the reader is up to date.
fn apply_configuration(gateway: &Gateway, known: &KnownConfiguration, sent: BootTime) -> bool {
    let own = gateway.configuration.load();
    let own = own.as_ref().map(|configuration| configuration.version);
    if own < Some(known.version) {
        gateway.coverage().require_configuration();
        gateway.coverage_changed.notify_waiters();
        return true;
    }
    if own > Some(known.version) {
        return false;
    }
    let read = sent.minus(Duration::from_millis(known.age_ms));
    gateway.update_freshness(|freshness, now| freshness.on_reader_response(read, now));
    let age = gateway.clock.boot().since(read);
    gateway
        .coverage()
        .covers_configuration(Some(age), gateway.bounds().withdrawal)
}

/// Returns whether the reader is up to date.
fn apply_registrations(gateway: &Gateway, known: KnownRegistrations, sent: BootTime) -> bool {
    let Some(changes) = known.changes else {
        gateway.coverage().require_registrations();
        gateway.coverage_changed.notify_waiters();
        return true;
    };
    if Some(changes.version) < gateway.coverage().registrations_position() {
        return false;
    }
    if !changes.changes.is_empty() {
        registrations::apply_changes(gateway, changes.changes.clone());
    }
    let read = sent.minus(Duration::from_millis(known.age_ms));
    let now = gateway.clock.boot();
    let mut coverage = gateway.coverage();
    coverage.log.on_changes(changes.changes, changes.version);
    if !changes.complete {
        drop(coverage);
        gateway.follow_due.notify_one();
        return true;
    }
    coverage.on_registrations_read(read);
    coverage.covers_registrations(now, gateway.bounds().leaving)
}

/// Returns whether the reader is up to date.
fn apply_closures(gateway: &Gateway, known: KnownClosures, sent: BootTime) -> bool {
    let Some(bound) = gateway.bounds().closure else {
        return true;
    };
    if Some(known.version) < gateway.closures().version() {
        return false;
    }
    let centres: BTreeSet<_> = known.centres.into_iter().collect();
    gateway.update_closures(|closures, now| closures.on_list(centres, known.version, now));
    let read = sent.minus(Duration::from_millis(known.age_ms));
    let now = gateway.clock.boot();
    let mut coverage = gateway.coverage();
    coverage.on_closures_read(read);
    coverage.covers_closures(now, bound)
}

/// Milliseconds, rounded up: an age may be overstated, never understated.
fn millis_up(age: Duration) -> u64 {
    age.as_micros().div_ceil(1000) as u64
}
