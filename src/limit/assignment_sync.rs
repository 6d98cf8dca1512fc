//! An account's assignment as this VM knows it, and when to read or write it in the store.
//!
//! At most one call to the store per account is in flight. All VMs notice when an assignment is
//! missing or must change. Each waits for a different time and reads the assignment again before it
//! writes, so that one VM writes it and the others find the change made. Failed calls are retried
//! with exponential backoff.

use std::time::{Duration, Instant};

use super::assignment::{Assignment, LocalVm, part_count, rank};
use super::vms::{Absence, VmSnapshot};
use crate::ids::{ClientAccount, Version};
use crate::units::Tokens;

/// First delay before a read that follows a failed call or a contradiction, in milliseconds. It
/// doubles each time.
const MIN_RETRY_MS: u64 = 200;
/// Delay of a write for each VM of lower rank, in milliseconds.
const STAGGER_PER_VM_MS: u64 = 10;
/// Longest delay of a write, in milliseconds.
const MAX_STAGGER_MS: u64 = 5_000;

/// Timing of calls to the store.
#[derive(Clone, Copy, Debug)]
pub struct StoreTimes {
    /// Longest time by which the platform's list of VMs may lag.
    pub list_lag: Duration,
    /// Longest delay between two retries.
    pub max_backoff: Duration,
}

/// A call to the store about one account's assignment.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreCall {
    /// Read the assignment.
    Read,
    /// Write an assignment if the stored one is still at this version.
    Write(Version, Assignment),
}

/// Result of a [`StoreCall`].
#[derive(Clone, Debug, PartialEq)]
pub enum StoreResult {
    /// The stored assignment and its version; `None` if there is none.
    Read(Option<(Version, Assignment)>),
    /// The write took effect; the assignment is at this version now.
    Written(Version),
    /// The write had no effect, as the assignment was at another version.
    Conflict,
    /// The call failed or its response was lost; a write may have taken effect.
    Failed,
}

/// Whether a write may follow the last read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadState {
    /// No write may follow: the assignment must be read again first.
    Stale,
    /// There was no assignment, but another VM may be about to write one.
    Missing,
    /// A write may follow the last read.
    Fresh,
}

/// The known assignment of one account and the calls that keep it up to date.
#[derive(Clone, Debug)]
pub(super) struct AssignmentSync {
    account: ClientAccount,
    local: LocalVm,
    times: StoreTimes,
    /// Newest assignment read or written, with its version.
    known: Option<(Version, Assignment)>,
    absence: Absence,
    in_flight: Option<StoreCall>,
    /// When to read next; `None` if no read is planned.
    read_at: Option<Instant>,
    read_state: ReadState,
    /// Whether the last call failed.
    failed: bool,
    /// Delay before the next retry.
    retry_delay: Duration,
    /// Whether this VM releases its parts.
    leaving: bool,
}

impl AssignmentSync {
    /// Starts without an assignment; the first call is a read.
    pub(super) fn open(
        account: ClientAccount,
        local: LocalVm,
        times: StoreTimes,
        now: Instant,
    ) -> Self {
        Self {
            account,
            local,
            times,
            known: None,
            absence: Absence::default(),
            in_flight: None,
            read_at: Some(now),
            read_state: ReadState::Stale,
            failed: false,
            retry_delay: Duration::from_millis(MIN_RETRY_MS),
            leaving: false,
        }
    }

    /// The newest assignment known; `None` until one was read or written.
    pub(super) fn assignment(&self) -> Option<&Assignment> {
        self.known.as_ref().map(|(_, assignment)| assignment)
    }

    /// Whether this VM releases its parts and so must not grant from them again.
    pub(super) fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Whether no assignment is known and the last call to the store failed.
    pub(super) fn is_unavailable(&self) -> bool {
        self.known.is_none() && self.failed
    }

    /// Whether the known assignment names this VM as a holder.
    pub(super) fn is_holder(&self) -> bool {
        let names = |assignment: &Assignment| !assignment.held_by(&self.local).is_empty();
        self.assignment().is_some_and(names)
    }

    /// Starts to release this VM's parts. The caller must have stopped granting from them.
    pub(super) fn start_release(&mut self, now: Instant) {
        self.leaving = true;
        self.read_at = Some(now);
    }

    /// Plans a read, because a lease request or response contradicts the known assignment.
    pub(super) fn schedule_read(&mut self, now: Instant) {
        if self.read_at.is_none() {
            self.read_at = Some(now + self.retry_delay);
            self.retry_delay = (self.retry_delay * 2).min(self.times.max_backoff);
        }
    }

    /// The call to make now, if any.
    pub(super) fn next_call(
        &mut self,
        burst: Tokens,
        max_parts: u32,
        snapshot: &VmSnapshot,
        now: Instant,
    ) -> Option<StoreCall> {
        if let Some((_, assignment)) = &self.known {
            self.absence.observe(assignment, snapshot, now);
        }
        if self.in_flight.is_some() {
            return None;
        }
        let next = self.desired_assignment(burst, max_parts, snapshot);
        if self.read_state == ReadState::Fresh {
            self.read_state = ReadState::Stale;
            if let Some(assignment) = next {
                let version = self
                    .known
                    .as_ref()
                    .map_or(Version(0), |(version, _)| *version);
                return Some(self.begin_call(StoreCall::Write(version, assignment)));
            }
        } else if next.is_some() && self.read_at.is_none() {
            self.read_at = Some(now + self.stagger_delay(snapshot));
        }
        self.read_at.filter(|read_at| *read_at <= now)?;
        self.read_at = None;
        Some(self.begin_call(StoreCall::Read))
    }

    /// Handles the result of the call in flight; `true` if the known assignment changed.
    pub(super) fn on_result(
        &mut self,
        result: StoreResult,
        snapshot: &VmSnapshot,
        now: Instant,
    ) -> bool {
        let call = self.in_flight.take();
        self.failed = result == StoreResult::Failed;
        match result {
            StoreResult::Read(found) => self.on_read(found, snapshot, now),
            StoreResult::Written(version) => {
                let Some(StoreCall::Write(_, assignment)) = call else {
                    return false;
                };
                self.adopt(version, assignment)
            }
            StoreResult::Conflict => {
                self.read_at = Some(now);
                false
            }
            StoreResult::Failed => {
                self.read_at = Some(now + self.retry_delay);
                self.retry_delay = (self.retry_delay * 2).min(self.times.max_backoff);
                false
            }
        }
    }

    /// When the next read is due, unless a call is in flight.
    pub(super) fn next_wake(&self) -> Option<Instant> {
        self.read_at.filter(|_| self.in_flight.is_none())
    }

    fn begin_call(&mut self, call: StoreCall) -> StoreCall {
        self.in_flight = Some(call.clone());
        call
    }

    fn on_read(
        &mut self,
        found: Option<(Version, Assignment)>,
        snapshot: &VmSnapshot,
        now: Instant,
    ) -> bool {
        if let Some((version, assignment)) = found {
            self.read_state = ReadState::Fresh;
            return self.adopt(version, assignment);
        }
        if self.known.is_some() {
            return false;
        }
        let stagger_delay = self.stagger_delay(snapshot);
        if self.read_state == ReadState::Missing || stagger_delay == Duration::ZERO {
            self.read_state = ReadState::Fresh;
        } else {
            self.read_state = ReadState::Missing;
            self.read_at = Some(now + stagger_delay);
        }
        false
    }

    /// Replaces the known assignment if it is older, as reads may return old versions.
    fn adopt(&mut self, version: Version, assignment: Assignment) -> bool {
        let is_older = |(known, _): &(Version, Assignment)| *known >= version;
        if self.known.as_ref().is_some_and(is_older) {
            return false;
        }
        self.retry_delay = Duration::from_millis(MIN_RETRY_MS);
        self.known = Some((version, assignment));
        true
    }

    /// The assignment that should replace the known one; `None` if no change is needed.
    fn desired_assignment(
        &self,
        burst: Tokens,
        max_parts: u32,
        snapshot: &VmSnapshot,
    ) -> Option<Assignment> {
        let Some(assignment) = self.assignment() else {
            if self.leaving {
                return None;
            }
            let parts = part_count(burst, max_parts);
            return Some(Assignment::create(
                &self.account,
                parts,
                &self.local,
                snapshot,
            ));
        };
        if self.leaving {
            return assignment.release(&self.account, &self.local, snapshot);
        }
        let (absence, list_lag) = (&self.absence, self.times.list_lag);
        let repaired =
            assignment.reassign_lost(&self.account, &self.local, snapshot, absence, list_lag);
        repaired.or_else(|| assignment.rebalance(&self.account, &self.local, snapshot))
    }

    /// Delay before this VM acts on a change that all VMs notice; VMs of lower rank act earlier.
    fn stagger_delay(&self, snapshot: &VmSnapshot) -> Duration {
        let own = rank(&self.account, 0, &self.local.vm);
        let others = snapshot
            .vms
            .iter()
            .filter(|(_, info)| info.listed && !info.leaving);
        let preceding = others.filter(|(vm, _)| rank(&self.account, 0, vm) < own);
        let delay = preceding.count() as u64 * STAGGER_PER_VM_MS;
        Duration::from_millis(delay.min(MAX_STAGGER_MS))
    }
}
