//! The record of an account's holders, as this VM knows it, and when to read or write it.
//!
//! One call to the store is under way at a time. Every VM sees that a record is missing or needs
//! repair; each waits for a time of its own and reads the record again before it writes, so that
//! one of them writes and the others find it done. Failed calls are repeated with a growing pause.

use std::time::{Duration, Instant};

use super::assignment::{Assignment, LocalVm, part_count, rank};
use super::vms::{Absence, VmSnapshot};
use crate::ids::{ClientAccount, Version};
use crate::units::Tokens;

const MIN_RETRY_MS: u64 = 200;
const STAGGER_PER_VM_MS: u64 = 10;
const MAX_STAGGER_MS: u64 = 5_000;

/// Bounds on the use of the store.
#[derive(Clone, Copy, Debug)]
pub struct StoreTimes {
    /// Greatest lag of the platform's list.
    pub lag: Duration,
    /// Longest pause between two tries.
    pub backoff: Duration,
}

/// A call to the store.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreCall {
    /// Read the record.
    Read,
    /// Write it if it is still at this version.
    Write(Version, Assignment),
}

/// How a call to the store ended.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreResult {
    /// The record as read; `None` where there is none.
    Read(Option<(Version, Assignment)>),
    /// The write took effect and gave this version.
    Written(Version),
    /// The record was at another version.
    Conflict,
    /// The call failed, or its answer was lost.
    Failed,
}

/// What the last read found, as far as a write may follow it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadState {
    /// Nothing that a write may follow.
    Stale,
    /// No record; another VM may be about to write one.
    Missing,
    /// The present state.
    Fresh,
}

/// The record and the calls about it.
#[derive(Clone, Debug)]
pub(super) struct AssignmentSync {
    account: ClientAccount,
    local: LocalVm,
    times: StoreTimes,
    known: Option<(Version, Assignment)>,
    absence: Absence,
    in_flight: Option<StoreCall>,
    /// When to read next.
    read_at: Option<Instant>,
    read_state: ReadState,
    /// Whether the last call failed.
    failed: bool,
    retry_delay: Duration,
    leaving: bool,
}

impl AssignmentSync {
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

    pub(super) fn assignment(&self) -> Option<&Assignment> {
        self.known.as_ref().map(|(_, assignment)| assignment)
    }

    /// Whether this VM released its parts, so that it must not grant from them again.
    pub(super) fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Whether the holders are not known and the store does not say.
    pub(super) fn is_unavailable(&self) -> bool {
        self.known.is_none() && self.failed
    }

    /// Whether the record names this VM as a holder.
    pub(super) fn is_holder(&self) -> bool {
        let names = |assignment: &Assignment| !assignment.held_by(&self.local).is_empty();
        self.assignment().is_some_and(names)
    }

    /// Releases this VM's parts; the caller has stopped granting.
    pub(super) fn start_release(&mut self, now: Instant) {
        self.leaving = true;
        self.read_at = Some(now);
    }

    /// Reads the record soon, as something contradicts it.
    pub(super) fn schedule_read(&mut self, now: Instant) {
        if self.read_at.is_none() {
            self.read_at = Some(now + self.retry_delay);
            self.retry_delay = (self.retry_delay * 2).min(self.times.backoff);
        }
    }

    /// The call to make now, if any.
    pub(super) fn next_call(
        &mut self,
        burst: Tokens,
        holders: u32,
        view: &VmSnapshot,
        now: Instant,
    ) -> Option<StoreCall> {
        if let Some((_, assignment)) = &self.known {
            self.absence.observe(assignment, view, now);
        }
        if self.in_flight.is_some() {
            return None;
        }
        let next = self.desired_assignment(burst, holders, view);
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
            self.read_at = Some(now + self.stagger_delay(view));
        }
        self.read_at.filter(|read_at| *read_at <= now)?;
        self.read_at = None;
        Some(self.begin_call(StoreCall::Read))
    }

    /// Takes the end of a call in; `true` where the known record changed.
    pub(super) fn on_result(
        &mut self,
        result: StoreResult,
        view: &VmSnapshot,
        now: Instant,
    ) -> bool {
        let call = self.in_flight.take();
        self.failed = result == StoreResult::Failed;
        match result {
            StoreResult::Read(found) => self.on_read(found, view, now),
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
                self.retry_delay = (self.retry_delay * 2).min(self.times.backoff);
                false
            }
        }
    }

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
        view: &VmSnapshot,
        now: Instant,
    ) -> bool {
        if let Some((version, assignment)) = found {
            self.read_state = ReadState::Fresh;
            return self.adopt(version, assignment);
        }
        if self.known.is_some() {
            return false;
        }
        let stagger_delay = self.stagger_delay(view);
        if self.read_state == ReadState::Missing || stagger_delay == Duration::ZERO {
            self.read_state = ReadState::Fresh;
        } else {
            self.read_state = ReadState::Missing;
            self.read_at = Some(now + stagger_delay);
        }
        false
    }

    /// Takes a record up unless it is older than the known one: reads may be stale.
    fn adopt(&mut self, version: Version, assignment: Assignment) -> bool {
        let is_older = |(known, _): &(Version, Assignment)| *known >= version;
        if self.known.as_ref().is_some_and(is_older) {
            return false;
        }
        self.retry_delay = Duration::from_millis(MIN_RETRY_MS);
        self.known = Some((version, assignment));
        true
    }

    /// The record that should replace the known one.
    fn desired_assignment(
        &self,
        burst: Tokens,
        holders: u32,
        view: &VmSnapshot,
    ) -> Option<Assignment> {
        let Some(assignment) = self.assignment() else {
            if self.leaving {
                return None;
            }
            let parts = part_count(burst, holders);
            return Some(Assignment::create(&self.account, parts, &self.local, view));
        };
        if self.leaving {
            return assignment.release(&self.account, &self.local, view);
        }
        let (absence, lag) = (&self.absence, self.times.lag);
        let repaired = assignment.reassign_lost(&self.account, &self.local, view, absence, lag);
        repaired.or_else(|| assignment.rebalance(&self.account, &self.local, view))
    }

    /// This VM's delay before it acts on what every VM sees.
    fn stagger_delay(&self, view: &VmSnapshot) -> Duration {
        let own = rank(&self.account, 0, &self.local.vm);
        let others = view
            .vms
            .iter()
            .filter(|(_, live)| live.listed && !live.leaving);
        let preceding = others.filter(|(vm, _)| rank(&self.account, 0, vm) < own);
        let delay = preceding.count() as u64 * STAGGER_PER_VM_MS;
        Duration::from_millis(delay.min(MAX_STAGGER_MS))
    }
}
