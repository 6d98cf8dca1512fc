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

const LEAST_PAUSE_MS: u64 = 200;
const STAGGER_PER_VM_MS: u64 = 10;
const MOST_STAGGER_MS: u64 = 5_000;

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
enum Seen {
    /// Nothing that a write may follow.
    Nothing,
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
    under_way: Option<StoreCall>,
    /// When to read next.
    due: Option<Instant>,
    seen: Seen,
    /// Whether the last call failed.
    failed: bool,
    pause: Duration,
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
            under_way: None,
            due: Some(now),
            seen: Seen::Nothing,
            failed: false,
            pause: Duration::from_millis(LEAST_PAUSE_MS),
            leaving: false,
        }
    }

    pub(super) fn holding(&self) -> Option<&Assignment> {
        self.known.as_ref().map(|(_, holding)| holding)
    }

    /// Whether this VM released its parts, so that it must not grant from them again.
    pub(super) fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Whether the holders are not known and the store does not say.
    pub(super) fn is_unreachable(&self) -> bool {
        self.known.is_none() && self.failed
    }

    /// Whether the record names this VM as a holder.
    pub(super) fn is_holder(&self) -> bool {
        let names = |holding: &Assignment| !holding.held_by(&self.local).is_empty();
        self.holding().is_some_and(names)
    }

    /// Releases this VM's parts; the caller has stopped granting.
    pub(super) fn leave(&mut self, now: Instant) {
        self.leaving = true;
        self.due = Some(now);
    }

    /// Reads the record soon, as something contradicts it.
    pub(super) fn doubt(&mut self, now: Instant) {
        if self.due.is_none() {
            self.due = Some(now + self.pause);
            self.pause = (self.pause * 2).min(self.times.backoff);
        }
    }

    /// The call to make now, if any.
    pub(super) fn call(
        &mut self,
        burst: Tokens,
        holders: u32,
        view: &VmSnapshot,
        now: Instant,
    ) -> Option<StoreCall> {
        if let Some((_, holding)) = &self.known {
            self.absence.observe(holding, view, now);
        }
        if self.under_way.is_some() {
            return None;
        }
        let next = self.wanted(burst, holders, view);
        if self.seen == Seen::Fresh {
            self.seen = Seen::Nothing;
            if let Some(holding) = next {
                let version = self
                    .known
                    .as_ref()
                    .map_or(Version(0), |(version, _)| *version);
                return Some(self.start(StoreCall::Write(version, holding)));
            }
        } else if next.is_some() && self.due.is_none() {
            self.due = Some(now + self.stagger(view));
        }
        self.due.filter(|due| *due <= now)?;
        self.due = None;
        Some(self.start(StoreCall::Read))
    }

    /// Takes the end of a call in; `true` where the known record changed.
    pub(super) fn finish(&mut self, result: StoreResult, view: &VmSnapshot, now: Instant) -> bool {
        let call = self.under_way.take();
        self.failed = result == StoreResult::Failed;
        match result {
            StoreResult::Read(found) => self.read(found, view, now),
            StoreResult::Written(version) => {
                let Some(StoreCall::Write(_, holding)) = call else {
                    return false;
                };
                self.adopt(version, holding)
            }
            StoreResult::Conflict => {
                self.due = Some(now);
                false
            }
            StoreResult::Failed => {
                self.due = Some(now + self.pause);
                self.pause = (self.pause * 2).min(self.times.backoff);
                false
            }
        }
    }

    pub(super) fn next_wake(&self) -> Option<Instant> {
        self.due.filter(|_| self.under_way.is_none())
    }

    fn start(&mut self, call: StoreCall) -> StoreCall {
        self.under_way = Some(call.clone());
        call
    }

    fn read(
        &mut self,
        found: Option<(Version, Assignment)>,
        view: &VmSnapshot,
        now: Instant,
    ) -> bool {
        if let Some((version, holding)) = found {
            self.seen = Seen::Fresh;
            return self.adopt(version, holding);
        }
        if self.known.is_some() {
            return false;
        }
        let stagger = self.stagger(view);
        if self.seen == Seen::Missing || stagger == Duration::ZERO {
            self.seen = Seen::Fresh;
        } else {
            self.seen = Seen::Missing;
            self.due = Some(now + stagger);
        }
        false
    }

    /// Takes a record up unless it is older than the known one: reads may be stale.
    fn adopt(&mut self, version: Version, holding: Assignment) -> bool {
        let older = |(known, _): &(Version, Assignment)| *known >= version;
        if self.known.as_ref().is_some_and(older) {
            return false;
        }
        self.pause = Duration::from_millis(LEAST_PAUSE_MS);
        self.known = Some((version, holding));
        true
    }

    /// The record that should replace the known one.
    fn wanted(&self, burst: Tokens, holders: u32, view: &VmSnapshot) -> Option<Assignment> {
        let Some(holding) = self.holding() else {
            if self.leaving {
                return None;
            }
            let parts = part_count(burst, holders);
            return Some(Assignment::create(&self.account, parts, &self.local, view));
        };
        if self.leaving {
            return holding.release(&self.account, &self.local, view);
        }
        let (absence, lag) = (&self.absence, self.times.lag);
        let repaired = holding.reassign_lost(&self.account, &self.local, view, absence, lag);
        repaired.or_else(|| holding.rebalance(&self.account, &self.local, view))
    }

    /// This VM's delay before it acts on what every VM sees.
    fn stagger(&self, view: &VmSnapshot) -> Duration {
        let own = rank(&self.account, 0, &self.local.vm);
        let others = view
            .vms
            .iter()
            .filter(|(_, live)| live.listed && !live.leaving);
        let before = others.filter(|(vm, _)| rank(&self.account, 0, vm) < own);
        let delay = before.count() as u64 * STAGGER_PER_VM_MS;
        Duration::from_millis(delay.min(MOST_STAGGER_MS))
    }
}
