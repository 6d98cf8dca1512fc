//! How fresh this VM's configuration is, and so whether it may still trust the keys in it.
//!
//! The platform bounds how long a withdrawn key may keep working. A VM trusts keys only while its
//! last linearizable read of the configuration is younger than that bound. The age counts from when
//! the read was sent, on a clock that keeps running while the VM is suspended. A read of a
//! configuration that cannot be decoded shows nothing of its keys and does not count.
//!
//! After a return of the store from an older copy ([`crate::store::generation`]), a read may show a
//! configuration older than one that was in force. It counts only if its generation is trusted and
//! no VM heard of has a newer configuration in force; docs/design/configuration-trust.md has the
//! rules.

use std::time::Duration;

use crate::clock::BootTime;
use crate::ids::StoreGeneration;
use crate::schema::mesh::ConfigurationReport;

/// Margin before the bound, for the time that an admitted request takes to reach its engine.
const MARGIN: Duration = Duration::from_millis(400);
/// Age, as a share of the bound, from which this VM reports that it is not ready for new callers.
/// It is more than two polls in a row take (`2 * WAIT_SHARE`), so a VM whose polls are answered in
/// time stays ready.
const READY_SHARE: f64 = 0.6;
/// Longest time that a poll waits for a change of the configuration. Every response renews the
/// freshness, also one without changes.
const MAX_WAIT: Duration = Duration::from_millis(1400);
/// Longest time that a poll waits, as a share of the bound.
const WAIT_SHARE: f64 = 0.28;
/// How long after a change of what it reports a VM repeats it to the others.
const REPORT_TIME: Duration = Duration::from_secs(4);
/// Time in a generation after which this VM has heard what the others had in force before.
const CATCH_UP_TIME: Duration = Duration::from_secs(2);

/// The configuration in force at this VM.
#[derive(Clone, Copy, Debug)]
struct InForce {
    version: u64,
    /// Generation of the store in which it was read.
    generation: StoreGeneration,
}

/// The newest generation of the store in which this VM has read the configuration.
#[derive(Clone, Copy, Debug)]
struct CurrentGeneration {
    generation: StoreGeneration,
    /// When this VM first read in it.
    since: BootTime,
    /// Newest version that the store has shown in it.
    version: Option<u64>,
}

/// Freshness of this VM's copy of the configuration.
#[derive(Clone, Debug)]
pub struct Freshness {
    bound: Duration,
    /// When the newest read that counts had been sent.
    read_sent: Option<BootTime>,
    /// When the newest read had been sent that does not count yet.
    pending: Option<BootTime>,
    /// Whether the object in the store could not be decoded when last read.
    unreadable: bool,
    /// Whether the whole system starts for the first time.
    first_start: bool,
    in_force: Option<InForce>,
    /// Newest version that any VM has in force.
    newest: u64,
    current: Option<CurrentGeneration>,
    /// Newest generation whose configuration may be trusted.
    trusted: Option<StoreGeneration>,
    /// When what this VM reports last changed.
    changed: Option<BootTime>,
}

impl Freshness {
    /// Creates the state before the first read. `bound` is the longest time that a withdrawn key
    /// may keep working; with `first_start`, none can have been withdrawn before.
    pub fn new(bound: Duration, first_start: bool) -> Self {
        Self {
            bound,
            read_sent: None,
            pending: None,
            unreadable: false,
            first_start,
            in_force: None,
            newest: 0,
            current: None,
            trusted: None,
            changed: None,
        }
    }

    /// Changes the longest time that a withdrawn key may keep working.
    pub fn set_bound(&mut self, bound: Duration) {
        self.bound = bound;
    }

    /// How long a poll should wait for a change of the configuration.
    pub fn poll_wait(&self) -> Duration {
        MAX_WAIT.min(self.bound.mul_f64(WAIT_SHARE))
    }

    /// Records whether the configuration that was read could be decoded.
    pub fn set_unreadable(&mut self, unreadable: bool) {
        self.unreadable = unreadable;
    }

    /// Records the generation of a read. One that is new is trusted if this VM's configuration was
    /// fresh until now, so that it missed nothing that was withdrawn.
    pub fn on_generation(&mut self, generation: StoreGeneration, now: BootTime) {
        if self.current.is_some_and(|c| generation <= c.generation) {
            return;
        }
        let uncounted = generation == StoreGeneration::default();
        let first = self.first_start && self.current.is_none();
        if uncounted || first || self.is_fresh(now) {
            self.trust(generation, now);
        }
        self.pending = None;
        self.current = Some(CurrentGeneration {
            generation,
            since: now,
            version: None,
        });
    }

    /// Records a configuration that was read in the current generation; `in_force` if it was put
    /// into force.
    pub fn on_configuration(&mut self, version: u64, in_force: bool, now: BootTime) {
        let Some(current) = &mut self.current else {
            return;
        };
        current.version = current.version.max(Some(version));
        if in_force {
            self.in_force = Some(InForce {
                version,
                generation: current.generation,
            });
            self.newest = self.newest.max(version);
            self.changed = Some(now);
        }
    }

    /// Records the response to a read of this VM that was sent at `sent`.
    pub fn on_response(&mut self, sent: BootTime) {
        if self.unreadable {
            return;
        }
        self.pending = self.pending.max(Some(sent));
        self.count_pending(sent);
    }

    /// Records a read that was sent at `sent` and counts at the VM that made it, which has the same
    /// configuration in force.
    pub fn on_reader_response(&mut self, sent: BootTime, now: BootTime) {
        if let Some(current) = self.current {
            self.trust(current.generation, now);
        }
        if !self.is_outdated() {
            self.read_sent = self.read_sent.max(Some(sent));
        }
    }

    /// Records what another VM has in force.
    pub fn on_report(&mut self, report: &ConfigurationReport, now: BootTime) {
        self.newest = self.newest.max(report.version);
        let lost = self
            .current
            .is_some_and(|c| report.generation < c.generation);
        if lost && self.is_outdated() {
            // The store no longer has it, so the reads so far do not show what it withdrew.
            self.read_sent = None;
            self.pending = None;
        }
        if let Some(trusted) = report.trusted {
            self.trust(trusted, now);
        }
        self.count_pending(now);
    }

    /// Records the newest generation in which the store's configuration had caught up with what was
    /// in force at all VMs.
    pub fn on_record(&mut self, generation: StoreGeneration, now: BootTime) {
        self.trust(generation, now);
        self.count_pending(now);
    }

    /// The current generation, once the store's configuration in it is not older than that in force
    /// at any VM.
    pub fn caught_up(&self, now: BootTime) -> Option<StoreGeneration> {
        let current = self.current?;
        let heard = now.since(current.since) >= CATCH_UP_TIME;
        let complete = current.version >= Some(self.newest);
        let known = heard && complete && self.is_fresh(now) && !self.awaits_trust();
        known.then_some(current.generation)
    }

    /// Whether the current generation is not trusted; before the first read, whether one will have
    /// to be.
    pub fn awaits_trust(&self) -> bool {
        match self.current {
            Some(current) => self.trusted < Some(current.generation),
            None => !self.first_start,
        }
    }

    /// Version in force at this VM; 0 where there is none.
    pub fn in_force_version(&self) -> u64 {
        self.in_force.map_or(0, |own| own.version)
    }

    /// Whether another VM has a newer configuration in force.
    pub fn is_outdated(&self) -> bool {
        self.in_force_version() < self.newest
    }

    /// The generation of the reads, while it is not trusted.
    pub fn doubted(&self) -> Option<StoreGeneration> {
        let current = self.current?;
        self.awaits_trust().then_some(current.generation)
    }

    /// What the other VMs must be told of this one's configuration; `None` if they know it.
    pub fn due_report(&self, now: BootTime) -> Option<ConfigurationReport> {
        let changed = self.changed.is_some_and(|at| now.since(at) < REPORT_TIME);
        let due = changed || self.awaits_trust();
        due.then(|| self.report())
    }

    /// What this VM knows beyond the report of one that asks; `None` if that is nothing.
    pub fn answer(&self, asked: &ConfigurationReport) -> Option<ConfigurationReport> {
        let own = self.report();
        let more = own.version > asked.version || own.trusted > asked.trusted;
        (asked.asked && more).then_some(ConfigurationReport {
            asked: false,
            ..own
        })
    }

    /// Age of the newest read that counts; `None` before the first.
    pub fn age(&self, now: BootTime) -> Option<Duration> {
        self.read_sent.map(|sent| now.since(sent))
    }

    /// Whether the configuration is fresh enough to trust the keys in it.
    pub fn is_fresh(&self, now: BootTime) -> bool {
        let limit = self.bound.saturating_sub(MARGIN);
        self.age(now).is_some_and(|age| age < limit)
    }

    /// Whether new callers may be sent to this VM.
    pub fn ready(&self, now: BootTime) -> bool {
        let limit = self.bound.mul_f64(READY_SHARE);
        self.age(now).is_some_and(|age| age < limit)
    }

    fn report(&self) -> ConfigurationReport {
        ConfigurationReport {
            version: self.in_force_version(),
            generation: self
                .in_force
                .map_or_else(StoreGeneration::default, |own| own.generation),
            trusted: self.trusted,
            asked: self.awaits_trust(),
        }
    }

    fn trust(&mut self, generation: StoreGeneration, now: BootTime) {
        if self.trusted < Some(generation) {
            self.trusted = Some(generation);
            self.changed = Some(now);
        }
    }

    /// Counts the newest read, if its generation is trusted or has lasted for the bound.
    fn count_pending(&mut self, now: BootTime) {
        if let Some(current) = self.current
            && now.since(current.since) >= self.bound
        {
            self.trust(current.generation, now);
        }
        if self.doubted().is_some() || self.is_outdated() {
            return;
        }
        self.read_sent = self.read_sent.max(self.pending.take());
    }
}
