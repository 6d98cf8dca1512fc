//! Whether a follower is told enough that it need not read the store itself.

use std::time::Duration;

use crate::clock::BootTime;
use crate::ids::Version;

use super::change_log::ChangeLog;
use super::follower::Follower;
use super::roles::Role;

/// Age of the configuration, as a share of the time that withdrawn keys may keep working, from
/// which a follower reads it itself. By then it has asked at least two readers.
const CONFIGURATION_SHARE: f64 = 0.48;
/// The same for registrations, as a share of the time in which a leaving upstream must be known.
const REGISTRATIONS_SHARE: f64 = 0.66;
/// The same for closed data centres, as a share of the time in which a closure must be in force.
const CLOSURES_SHARE: f64 = 0.8;

/// What a VM's own reads, and its readers, have told it.
#[derive(Clone, Debug, Default)]
pub struct Coverage {
    /// How this VM learns what the store holds.
    pub role: Role,
    /// Its requests, while it is a follower.
    pub follower: Follower,
    /// Changes of the registrations, for followers of this VM.
    pub log: ChangeLog,
    /// When the newest read of the registrations that was answered had been sent.
    registrations_read: Option<BootTime>,
    /// When the newest read of the closed data centres that was answered had been sent.
    closures_read: Option<BootTime>,
    /// Whether the configuration must be read, as a reader has a newer one.
    configuration_due: bool,
    /// Whether the registrations must be listed, as no reader has the changes to them.
    registrations_due: bool,
}

impl Coverage {
    /// Records a read of the registrations that was sent at `sent`, by this VM or by its reader.
    pub fn on_registrations_read(&mut self, sent: BootTime) {
        self.registrations_read = self.registrations_read.max(Some(sent));
    }

    /// Time since the newest read of the registrations; `None` before the first.
    pub fn registrations_age(&self, now: BootTime) -> Option<Duration> {
        self.registrations_read.map(|sent| now.since(sent))
    }

    /// Records a read of the closed data centres that was sent at `sent`, by this VM or by its
    /// reader.
    pub fn on_closures_read(&mut self, sent: BootTime) {
        self.closures_read = self.closures_read.max(Some(sent));
    }

    /// Time since the newest read of the closed data centres; `None` before the first.
    pub fn closures_age(&self, now: BootTime) -> Option<Duration> {
        self.closures_read.map(|sent| now.since(sent))
    }

    /// Has this VM read the configuration itself.
    pub fn require_configuration(&mut self) {
        self.configuration_due = true;
    }

    /// Has this VM list the registrations itself.
    pub fn require_registrations(&mut self) {
        self.registrations_due = true;
    }

    /// Records that this VM has read the configuration.
    pub fn on_configuration_listed(&mut self) {
        self.configuration_due = false;
    }

    /// Records that this VM has listed the registrations at `version`.
    pub fn on_registrations_listed(&mut self, version: Version) {
        self.registrations_due = false;
        self.log.on_list(version);
    }

    /// Version from which this VM can watch the registrations; `None` if it must list them.
    pub fn registrations_position(&self) -> Option<Version> {
        self.log.version().filter(|_| !self.registrations_due)
    }

    /// Whether this VM's reader spares it a read of the configuration, which is `age` old. `bound`
    /// is the longest time that a withdrawn key may keep working.
    pub fn covers_configuration(&self, age: Option<Duration>, bound: Duration) -> bool {
        let fresh = age.is_some_and(|age| age < bound.mul_f64(CONFIGURATION_SHARE));
        self.follows() && fresh && !self.configuration_due
    }

    /// Whether this VM's reader spares it a read of the registrations. `bound` is the time in which
    /// a leaving upstream must be known.
    pub fn covers_registrations(&self, now: BootTime, bound: Duration) -> bool {
        let age = self.registrations_age(now);
        let fresh = age.is_some_and(|age| age < bound.mul_f64(REGISTRATIONS_SHARE));
        self.follows() && fresh && !self.registrations_due
    }

    /// Whether this VM's reader spares it a read of the closed data centres. `bound` is the time in
    /// which a closure must be in force.
    pub fn covers_closures(&self, now: BootTime, bound: Duration) -> bool {
        let age = self.closures_age(now);
        let fresh = age.is_some_and(|age| age < bound.mul_f64(CLOSURES_SHARE));
        self.follows() && fresh
    }

    /// Whether other VMs rely on this one's reads.
    pub fn reads_for_others(&self) -> bool {
        self.role == Role::Reader
    }

    /// Whether other VMs read the store for this one.
    pub fn follows(&self) -> bool {
        matches!(self.role, Role::Follower(_))
    }
}
