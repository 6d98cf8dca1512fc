//! The points that must always hold, and what a check found of them.

use std::collections::BTreeMap;
use std::time::Duration;

use basilgw::ids::{
    ClientAccount, KeyId, ModelId, ReplicaId, RequestId, Revision, Text, UpstreamId, VmId,
};
use basilgw::units::{Bytes, Tokens};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::event::{Entry, Micros, Outcome};
use super::index::Index;
use super::{engines, keys, lifecycle, requests, share};

/// A point that must always hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Point {
    /// No more replicas of a model are loaded than were decided.
    Replicas,
    /// No engine's memory is overcommitted.
    Memory,
    /// A waiting request is served or refused in time.
    InTime,
    /// A request runs only for the account whose key it carried.
    OwnAccount,
    /// No upstream sees a caller's key.
    HiddenKey,
    /// A withdrawn key stops working within seconds.
    Withdrawal,
    /// No account exceeds its rate and burst, over all VMs.
    Share,
    /// Each caller receives the whole answer to its own request.
    WholeAnswer,
    /// A refusal that says "not run" is true.
    NotRun,
    /// A non-idempotent request runs at most once.
    AtMostOnce,
    /// A leaving upstream gets no new work after a few seconds.
    Leaving,
    /// A graceful shutdown cuts no request.
    Shutdown,
    /// An accepted configuration is in force everywhere within seconds and never reverts.
    Configuration,
}

impl Point {
    /// All points, in the order of docs/PROOFS.md.
    pub const ALL: [Self; 13] = [
        Self::Replicas,
        Self::Memory,
        Self::InTime,
        Self::OwnAccount,
        Self::HiddenKey,
        Self::Withdrawal,
        Self::Share,
        Self::WholeAnswer,
        Self::NotRun,
        Self::AtMostOnce,
        Self::Leaving,
        Self::Shutdown,
        Self::Configuration,
    ];
}

/// Times and sizes that the points leave open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Lateness of an answer that is still in time.
    pub late: Duration,
    /// Time after which a withdrawn key must not work.
    pub withdrawal: Duration,
    /// Time after which a leaving upstream must get no new work.
    pub leaving: Duration,
    /// Time for which a VM that shuts down still accepts requests.
    pub linger: Duration,
    /// Time after which an accepted revision must be in force.
    pub configuration: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            late: Duration::from_secs(1),
            withdrawal: Duration::from_secs(5),
            leaving: Duration::from_secs(5),
            linger: Duration::from_millis(500),
            configuration: Duration::from_secs(12),
        }
    }
}

/// A point that did not hold.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum Violation {
    /// A replica was loaded that was not decided.
    #[error("{upstream} loaded {replica} of {model}, which was not decided")]
    Undecided {
        /// The engine.
        upstream: UpstreamId,
        /// The replica.
        replica: ReplicaId,
        /// The model.
        model: ModelId,
    },
    /// More replicas are loaded than are decided.
    #[error("{loaded} replicas of {model} are loaded, {decided} are decided")]
    TooMany {
        /// The model.
        model: ModelId,
        /// Loaded.
        loaded: usize,
        /// Decided.
        decided: usize,
    },
    /// More memory is in use than there is.
    #[error("{upstream} uses {used} of {total}")]
    Overcommitted {
        /// The engine.
        upstream: UpstreamId,
        /// In use.
        used: Bytes,
        /// In all.
        total: Bytes,
    },
    /// An order was sent that does not fit.
    #[error("{upstream} was ordered to load {replica}, which does not fit")]
    NoRoom {
        /// The engine.
        upstream: UpstreamId,
        /// The replica.
        replica: ReplicaId,
    },
    /// A request never ended.
    #[error("{request} never ended")]
    Dropped {
        /// The request.
        request: RequestId,
    },
    /// A request ended after its deadline.
    #[error("{request} ended {over:?} after its deadline")]
    Late {
        /// The request.
        request: RequestId,
        /// How late.
        over: Duration,
    },
    /// A request ended without an answer or a refusal.
    #[error("{request} ended without an answer: {outcome:?}")]
    Unanswered {
        /// The request.
        request: RequestId,
        /// How it ended.
        outcome: Outcome,
    },
    /// A request ran that its key does not allow.
    #[error("{request} ran on {upstream} for {account:?}, which may not reach it")]
    Foreign {
        /// The request.
        request: RequestId,
        /// The upstream.
        upstream: UpstreamId,
        /// The account, where the request carried a key.
        account: Option<ClientAccount>,
    },
    /// A run of a request that no caller sent.
    #[error("{request} ran on {upstream} and was sent by no caller")]
    Orphan {
        /// The request.
        request: RequestId,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// An upstream saw a key.
    #[error("{upstream} saw key {key}")]
    Leaked {
        /// The upstream.
        upstream: UpstreamId,
        /// The key's public name.
        key: KeyId,
    },
    /// A withdrawn key still worked.
    #[error("{request} was served {over:?} after the withdrawal of {key}")]
    StillWorks {
        /// The request.
        request: RequestId,
        /// The key's public name.
        key: KeyId,
        /// How long after.
        over: Duration,
    },
    /// An account ran more than its rate and burst.
    #[error("{account} ran {ran} tokens within {span:?}, where {allowed} are allowed")]
    Exceeded {
        /// The account.
        account: ClientAccount,
        /// What ran.
        ran: Tokens,
        /// Within what time.
        span: Duration,
        /// What is allowed.
        allowed: Tokens,
    },
    /// A caller received another answer than its own.
    #[error("{request} received another request's answer")]
    Crossed {
        /// The request.
        request: RequestId,
    },
    /// A caller received a part as if it were the whole.
    #[error("{request} received a broken answer as whole: {outcome:?}")]
    NotWhole {
        /// The request.
        request: RequestId,
        /// How it ended.
        outcome: Outcome,
    },
    /// A refusal said "not run", and the request ran.
    #[error("{request} was refused as not run and ran on {upstream}")]
    RanAfterAll {
        /// The request.
        request: RequestId,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// A non-idempotent request ran more than once.
    #[error("{request} ran {runs} times")]
    Repeated {
        /// The request, or the first with the idempotency key.
        request: RequestId,
        /// How often.
        runs: usize,
    },
    /// A leaving upstream received new work.
    #[error("{upstream} received work {over:?} after it began to leave")]
    WorkAfterLeaving {
        /// The upstream.
        upstream: UpstreamId,
        /// How long after.
        over: Duration,
    },
    /// A graceful shutdown cut a request.
    #[error("{request} was cut by the shutdown of {vm}: {outcome:?}")]
    CutByShutdown {
        /// The request.
        request: RequestId,
        /// The VM.
        vm: VmId,
        /// How it ended.
        outcome: Outcome,
    },
    /// A VM went back to an older revision.
    #[error("{vm} went back from revision {from} to {to}")]
    Reverted {
        /// The VM.
        vm: VmId,
        /// Seen before.
        from: Revision,
        /// Seen after.
        to: Revision,
    },
    /// A VM did not take an accepted revision in time.
    #[error("{vm} is at revision {seen}, {over:?} after {accepted} was accepted")]
    Behind {
        /// The VM.
        vm: VmId,
        /// Its revision.
        seen: Revision,
        /// The accepted one.
        accepted: Revision,
        /// How long after.
        over: Duration,
    },
    /// The stored configuration lost a revision.
    #[error("the stored configuration went from revision {from} to {to}")]
    Overwritten {
        /// The revision before.
        from: Revision,
        /// The revision after.
        to: Revision,
    },
}

/// Why a history cannot be checked.
#[derive(Debug, Error)]
pub enum HistoryError {
    /// A line is not an entry.
    #[error("line {line} is not an entry: {error}")]
    Line {
        /// Its number, from 1.
        line: usize,
        /// Why.
        error: serde_json::Error,
    },
    /// Two requests have one name.
    #[error("two requests are named {0}")]
    Duplicate(RequestId),
}

/// What a check found.
#[derive(Clone, Debug, Default)]
pub struct Findings {
    /// Cases of each point that the history holds.
    pub cases: BTreeMap<Point, usize>,
    /// What did not hold, by point and time.
    pub violations: Vec<(Point, Micros, Violation)>,
}

impl Findings {
    /// Counts a case of a point.
    pub(super) fn case(&mut self, point: Point) {
        *self.cases.entry(point).or_default() += 1;
    }

    /// Notes a violation.
    pub(super) fn note(&mut self, point: Point, at: Micros, violation: Violation) {
        self.violations.push((point, at, violation));
    }

    /// Whether the history has cases of a point, all of which hold.
    pub fn shows(&self, point: Point) -> bool {
        self.cases.contains_key(&point) && !self.violates(point)
    }

    /// Whether a point did not hold.
    pub fn violates(&self, point: Point) -> bool {
        self.violations.iter().any(|(found, _, _)| *found == point)
    }

    /// One line a point, and one a violation.
    pub fn summary(&self) -> Text {
        let points = Point::ALL.iter().map(|point| {
            let verdict = match (self.violates(*point), self.shows(*point)) {
                (true, _) => "violated",
                (false, true) => "holds",
                (false, false) => "no cases",
            };
            let cases = self.cases.get(point).copied().unwrap_or(0);
            format!("{point:?}: {verdict} ({cases} cases)\n")
        });
        let violations = self.violations.iter();
        let violations = violations.map(|(point, at, v)| format!("{} {point:?}: {v}\n", at.0));
        points.chain(violations).collect()
    }
}

/// Reads a history out of JSON lines.
///
/// # Errors
///
/// Where a line is not an entry.
pub fn parse(lines: &str) -> Result<Vec<Entry>, HistoryError> {
    let numbered = lines.lines().enumerate();
    let full = numbered.filter(|(_, line)| !line.trim().is_empty());
    full.map(|(index, line)| {
        serde_json::from_str(line).map_err(|error| HistoryError::Line {
            line: index + 1,
            error,
        })
    })
    .collect()
}

/// Checks a joined history, whose entries may come in any order.
///
/// # Errors
///
/// Where the history is ambiguous.
pub fn check(mut entries: Vec<Entry>, bounds: &Bounds) -> Result<Findings, HistoryError> {
    // Stable, so that one party's entries of one microsecond keep their order.
    entries.sort_by_key(|entry| entry.at);
    let index = Index::open(&entries)?;
    let mut findings = Findings::default();
    engines::check(&entries, &mut findings);
    requests::check(&index, bounds, &mut findings);
    keys::check(&entries, &index, bounds, &mut findings);
    share::check(&entries, &index, &mut findings);
    lifecycle::check(&entries, &index, bounds, &mut findings);
    findings
        .violations
        .sort_by_key(|(point, at, _)| (*point, *at));
    Ok(findings)
}
