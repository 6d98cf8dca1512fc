//! The upstreams that are warming up, as far as this VM knows them.
//!
//! An upstream that has started, or that its data centre was closed for, takes few requests a
//! second for a while (slow start). It states in its registration how long that lasts, and the
//! configuration states the rate. What is known is only ever extended: a statement may be old, and
//! its time left counts from when it is read. The rate of a later run also holds for requests that
//! are meant for an earlier one, since the upstream may have kept its id and its address.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::clock::BootTime;
use crate::gateway::upstream::UpstreamInstance;
use crate::ids::UpstreamId;
use crate::schema::mesh::UpstreamLimit;
use crate::units::RequestRate;

/// Greatest number of upstreams remembered.
const MAX_UPSTREAMS: usize = 4096;
/// How long the other VMs are told: three usage reports of a VM among many, as a datagram may be
/// lost.
const NEWS_LIFETIME: Duration = Duration::from_secs(4);
/// Greatest number of warm-ups in one usage report.
const MAX_NEWS: usize = 64;

/// How an upstream warms up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUp {
    /// Requests a second from all VMs together.
    pub rate: RequestRate,
    /// Time until it ends.
    pub left: Duration,
}

/// Whether the other VMs must be told of a warm-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Audience {
    /// Every VM learns of it as this one did.
    Own,
    /// This VM may be the first to know.
    All,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    started_ms: u64,
    rate: RequestRate,
    until: BootTime,
    news_until: Option<BootTime>,
}

/// The warm-ups known, by upstream.
#[derive(Debug, Default)]
pub struct WarmUps {
    entries: BTreeMap<UpstreamId, Entry>,
}

impl WarmUps {
    /// Extends what is known of an upstream; returns whether it was not known to be warming up.
    pub fn extend(
        &mut self,
        instance: &UpstreamInstance,
        warm_up: WarmUp,
        audience: Audience,
        now: BootTime,
    ) -> bool {
        let known = self.entries.get(&instance.id);
        if known.is_some_and(|known| known.started_ms > instance.started_ms) {
            return false;
        }
        if known.is_none() && self.entries.len() >= MAX_UPSTREAMS {
            return false;
        }
        let same = known.filter(|known| known.started_ms == instance.started_ms);
        let active = same.filter(|known| now < known.until);
        let until = now.plus(warm_up.left);
        let news_until = match (active, audience) {
            (None, Audience::All) => Some(now.plus(NEWS_LIFETIME)),
            (active, _) => active.and_then(|known| known.news_until),
        };
        let entry = Entry {
            started_ms: instance.started_ms,
            rate: warm_up.rate,
            until: active.map_or(until, |known| known.until.max(until)),
            news_until,
        };
        let began = active.is_none();
        self.entries.insert(instance.id.clone(), entry);
        began
    }

    /// The rate at which an upstream, or a later run of it, is warming up, and that run.
    pub fn rate(
        &self,
        instance: &UpstreamInstance,
        now: BootTime,
    ) -> Option<(UpstreamInstance, RequestRate)> {
        let entry = self.entries.get(&instance.id)?;
        let holds = entry.started_ms >= instance.started_ms && now < entry.until;
        let run = UpstreamInstance {
            id: instance.id.clone(),
            started_ms: entry.started_ms,
        };
        holds.then_some((run, entry.rate))
    }

    /// What another VM is told of an upstream; `None` if it is not warming up.
    pub fn limit(&self, instance: &UpstreamInstance, now: BootTime) -> Option<UpstreamLimit> {
        self.rate(instance, now)?;
        let entry = self.entries.get(&instance.id)?;
        Some(entry.report(&instance.id, now))
    }

    /// The upstreams that are warming up.
    pub fn current(&self, now: BootTime) -> BTreeSet<UpstreamId> {
        let current = self.entries.iter().filter(|(_, e)| now < e.until);
        current.map(|(id, _)| id.clone()).collect()
    }

    /// What the next usage report tells the other VMs.
    pub fn report(&mut self, now: BootTime) -> Vec<UpstreamLimit> {
        self.entries.retain(|_, entry| now < entry.until);
        let is_news = |entry: &Entry| entry.news_until.is_some_and(|until| now < until);
        let news = self.entries.iter().filter(|(_, entry)| is_news(entry));
        let reports = news.map(|(id, entry)| entry.report(id, now));
        reports.take(MAX_NEWS).collect()
    }

    /// All that is known.
    pub fn all(&self, now: BootTime) -> Vec<UpstreamLimit> {
        let current = self.entries.iter().filter(|(_, e)| now < e.until);
        let reports = current.map(|(id, entry)| entry.report(id, now));
        reports.take(MAX_NEWS).collect()
    }

    /// Applies what another VM reports.
    pub fn apply_report(&mut self, report: &UpstreamLimit, now: BootTime) {
        if let (Some(left), Some(rate)) = (report.warm_up_ms, report.rate) {
            let left = Duration::from_millis(left);
            let warm_up = WarmUp { rate, left };
            self.extend(&super::table::instance(report), warm_up, Audience::Own, now);
        }
    }
}

impl Entry {
    fn report(&self, id: &UpstreamId, now: BootTime) -> UpstreamLimit {
        UpstreamLimit {
            upstream: id.clone(),
            born: self.started_ms,
            rate: Some(self.rate),
            sent_age_ms: 0,
            age_ms: 0,
            warm_up_ms: Some(self.until.since(now).as_millis() as u64),
        }
    }
}
