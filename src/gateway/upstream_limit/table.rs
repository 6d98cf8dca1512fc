//! The limits that upstreams name, as far as this VM knows them.
//!
//! Responses arrive out of order, and VMs learn of each other's late. What an upstream stated is
//! therefore dated by the time between the request and its response. A statement replaces another
//! one if it was made later for certain; where that is open, the lower limit holds. An upstream
//! that names no limit any more is remembered for a while, so that an older statement does not
//! bring its limit back.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;

use crate::clock::BootTime;
use crate::ids::UpstreamId;
use crate::schema::mesh::UpstreamLimit;
use crate::units::RequestRate;

use crate::gateway::upstream::UpstreamInstance;

/// Greatest number of upstreams remembered.
const MAX_UPSTREAMS: usize = 4096;
/// How long an upstream is remembered that names no limit any more.
const ENDED_LIFETIME: Duration = Duration::from_secs(30);
/// How long a limit is remembered that no response has named again.
const LIMIT_LIFETIME: Duration = Duration::from_hours(1);
/// How long the other VMs are told of a change: three usage reports of a VM among many, as a
/// datagram may be lost.
const NEWS_LIFETIME: Duration = Duration::from_secs(4);
/// Time that a report may have been on its way.
const MAX_REPORT_DELAY: Duration = Duration::from_millis(200);
/// Limits that the leader repeats in each of its usage reports.
const REPEATED_LIMITS: usize = 2;
/// Greatest number of limits in one usage report.
const MAX_NEWS: usize = 64;

/// What an upstream stated in one response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Statement {
    /// Requests a second that it takes; `None` if it names no limit.
    pub rate: Option<RequestRate>,
    /// When the request was sent.
    pub sent: BootTime,
    /// When the response arrived.
    pub received: BootTime,
}

impl Statement {
    fn from_report(report: &UpstreamLimit, now: BootTime) -> Self {
        let sent_age = Duration::from_millis(report.sent_age_ms);
        Self {
            rate: report.rate,
            sent: now.minus(sent_age + MAX_REPORT_DELAY),
            received: now.minus(Duration::from_millis(report.age_ms)),
        }
    }

    fn is_stricter_than(&self, other: &Self) -> bool {
        match (self.rate, other.rate) {
            (Some(rate), Some(known)) => rate < known,
            (Some(_), None) => true,
            (None, _) => false,
        }
    }

    /// Takes the later of two dates each, which only another, later request can outdate.
    fn dated_like(mut self, other: &Self) -> Self {
        self.sent = self.sent.max(other.sent);
        self.received = self.received.max(other.received);
        self
    }
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    /// Start time of the upstream, in milliseconds since the Unix epoch.
    started_ms: u64,
    statement: Statement,
    /// Until when the other VMs are told, if this VM learned it from a response.
    news_until: Option<BootTime>,
}

/// The limits known, by upstream.
#[derive(Debug, Default)]
pub struct LimitTable {
    entries: BTreeMap<UpstreamId, Entry>,
    /// The upstream that the leader repeated last.
    repeated: Option<UpstreamId>,
}

/// The upstream that a report is about.
pub(super) fn instance(report: &UpstreamLimit) -> UpstreamInstance {
    UpstreamInstance {
        id: report.upstream.clone(),
        started_ms: report.born,
    }
}

impl LimitTable {
    /// Applies a statement that a response carried; returns whether it changed the limit.
    pub fn apply_own(
        &mut self,
        instance: &UpstreamInstance,
        statement: Statement,
        now: BootTime,
    ) -> bool {
        let changed = self.apply(instance, statement);
        if changed && let Some(entry) = self.entries.get_mut(&instance.id) {
            entry.news_until = Some(now.plus(NEWS_LIFETIME));
        }
        changed
    }

    /// Applies what another VM reports; returns whether it changed the limit.
    pub fn apply_report(&mut self, report: &UpstreamLimit, now: BootTime) -> bool {
        self.apply(&instance(report), Statement::from_report(report, now))
    }

    fn apply(&mut self, instance: &UpstreamInstance, new: Statement) -> bool {
        let Some(entry) = self.entries.get_mut(&instance.id) else {
            return self.insert(instance, new);
        };
        if entry.started_ms > instance.started_ms {
            return false;
        }
        if entry.started_ms < instance.started_ms {
            return self.insert(instance, new);
        }
        let known = entry.statement;
        if new.received < known.sent {
            return false;
        }
        let later = new.sent >= known.received;
        if later || new.is_stricter_than(&known) || new.rate == known.rate {
            entry.statement = new.dated_like(&known);
        }
        entry.statement.rate != known.rate
    }

    fn insert(&mut self, instance: &UpstreamInstance, statement: Statement) -> bool {
        let before = self.entries.get(&instance.id);
        let before = before.and_then(|entry| entry.statement.rate);
        let known = self.entries.contains_key(&instance.id);
        if !known && (statement.rate.is_none() || self.entries.len() >= MAX_UPSTREAMS) {
            return false;
        }
        let entry = Entry {
            started_ms: instance.started_ms,
            statement,
            news_until: None,
        };
        self.entries.insert(instance.id.clone(), entry);
        before != statement.rate
    }

    /// The rate that an upstream names; `None` if it names none.
    pub fn rate(&self, instance: &UpstreamInstance) -> Option<RequestRate> {
        let entry = self.entries.get(&instance.id)?;
        let rate = entry.statement.rate?;
        (entry.started_ms == instance.started_ms).then_some(rate)
    }

    /// The limit of an upstream as another VM is told; `None` if it names none.
    pub fn limit(&self, instance: &UpstreamInstance, now: BootTime) -> Option<UpstreamLimit> {
        self.rate(instance)?;
        let entry = self.entries.get(&instance.id)?;
        Some(entry.report(&instance.id, now))
    }

    /// Number of upstreams that name a limit.
    pub fn count(&self) -> usize {
        let limited = self.entries.values().filter(|e| e.statement.rate.is_some());
        limited.count()
    }

    /// Changes that this VM lately learned from responses, and, where `leads`, some of the other
    /// limits in turn.
    pub fn report(&mut self, leads: bool, now: BootTime) -> Vec<UpstreamLimit> {
        self.expire(now);
        let is_news = |entry: &Entry| entry.news_until.is_some_and(|until| now < until);
        let news = self.entries.iter().filter(|(_, entry)| is_news(entry));
        let mut reports: Vec<_> = news
            .map(|(id, entry)| entry.report(id, now))
            .take(MAX_NEWS)
            .collect();
        if leads {
            reports.extend(self.repeat(now));
        }
        reports
    }

    /// All that is known.
    pub fn all(&self, now: BootTime) -> Vec<UpstreamLimit> {
        let entries = self.entries.iter();
        entries.map(|(id, entry)| entry.report(id, now)).collect()
    }

    fn repeat(&mut self, now: BootTime) -> Vec<UpstreamLimit> {
        let next = |from: Bound<&UpstreamId>| {
            let entries = self.entries.range((from, Bound::Unbounded));
            entries.take(REPEATED_LIMITS)
        };
        let from = self
            .repeated
            .as_ref()
            .map_or(Bound::Unbounded, Bound::Excluded);
        let reports: Vec<_> = next(from)
            .map(|(id, entry)| entry.report(id, now))
            .collect();
        self.repeated = reports.last().map(|report| report.upstream.clone());
        reports
    }

    fn expire(&mut self, now: BootTime) {
        self.entries.retain(|_, entry| {
            let lifetime = match entry.statement.rate {
                Some(_) => LIMIT_LIFETIME,
                None => ENDED_LIFETIME,
            };
            now.since(entry.statement.received) < lifetime
        });
    }
}

impl Entry {
    fn report(&self, id: &UpstreamId, now: BootTime) -> UpstreamLimit {
        let age = |at| now.since(at).as_millis() as u64;
        UpstreamLimit {
            upstream: id.clone(),
            born: self.started_ms,
            rate: self.statement.rate,
            sent_age_ms: age(self.statement.sent),
            age_ms: age(self.statement.received),
            warm_up_ms: None,
        }
    }
}
