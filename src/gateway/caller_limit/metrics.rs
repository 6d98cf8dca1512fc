//! Metrics of what callers hold, and of who was refused or closed.

use prometheus::{IntCounterVec, IntGaugeVec, Opts};

use crate::metrics::Metrics;

use super::super::unanswered::UnansweredCause;
use super::ledger::{Ledger, Phase, Purpose};

/// Why a caller's connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// Another connection needed its place.
    GaveWay,
    /// The head of a request took too long.
    HeadTimeout,
    /// The caller took nothing of a response for too long.
    Unread,
}

impl CloseReason {
    fn label(self) -> &'static str {
        match self {
            Self::GaveWay => "gave_way",
            Self::HeadTimeout => "head_timeout",
            Self::Unread => "unread",
        }
    }
}

/// What a request found no room for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lack {
    /// One more request.
    Request,
    /// Its body.
    Body,
}

impl Lack {
    fn label(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Body => "body",
        }
    }
}

/// Gauges and counters of the limits on callers.
#[derive(Clone, Debug)]
pub struct CallerLimitMetrics {
    bytes: IntGaugeVec,
    connections: IntGaugeVec,
    refusals: IntCounterVec,
    closes: IntCounterVec,
    unanswered: IntCounterVec,
}

impl CallerLimitMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// If a metric of the same name is registered already.
    pub fn open(metrics: &Metrics) -> Result<Self, prometheus::Error> {
        let bytes = Opts::new("basilgw_caller_bytes", "Bytes held for callers.");
        let connections = Opts::new("basilgw_caller_connections", "Connections of callers.");
        let refusals = Opts::new(
            "basilgw_caller_refusals_total",
            "Requests refused for lack of room, by what they found none for.",
        );
        let closes = Opts::new(
            "basilgw_caller_closes_total",
            "Connections of callers that were closed, by reason.",
        );
        let unanswered = Opts::new(
            "basilgw_requests_unanswered_total",
            "Requests that ended without a complete answer, by cause.",
        );
        let found = Self {
            bytes: IntGaugeVec::new(bytes, &["purpose"])?,
            connections: IntGaugeVec::new(connections, &["phase"])?,
            refusals: IntCounterVec::new(refusals, &["lack"])?,
            closes: IntCounterVec::new(closes, &["reason"])?,
            unanswered: IntCounterVec::new(unanswered, &["why"])?,
        };
        let registry = metrics.registry();
        registry.register(Box::new(found.bytes.clone()))?;
        registry.register(Box::new(found.connections.clone()))?;
        registry.register(Box::new(found.refusals.clone()))?;
        registry.register(Box::new(found.closes.clone()))?;
        registry.register(Box::new(found.unanswered.clone()))?;
        Ok(found)
    }

    /// Counts a request that was refused for lack of room.
    pub fn refused(&self, lack: Lack) {
        self.refusals.with_label_values(&[lack.label()]).inc();
    }

    /// Counts a connection that was closed.
    pub fn closed(&self, reason: CloseReason) {
        self.closes.with_label_values(&[reason.label()]).inc();
    }

    /// Counts a request that ended without a complete answer.
    pub fn unanswered(&self, cause: UnansweredCause) {
        self.unanswered.with_label_values(&[cause.label()]).inc();
    }

    /// Sets the gauges, for a scrape.
    pub(super) fn refresh(&self, ledger: &Ledger) {
        let purposes = [
            (Purpose::Overhead, "overhead"),
            (Purpose::Body, "body"),
            (Purpose::Response, "response"),
        ];
        for (purpose, label) in purposes {
            let held = i64::try_from(ledger.held(purpose)).unwrap_or(i64::MAX);
            self.bytes.with_label_values(&[label]).set(held);
        }
        let phases = [
            (Phase::Idle, "idle"),
            (Phase::Reading, "reading"),
            (Phase::Running, "running"),
            (Phase::Writing, "writing"),
        ];
        for (phase, label) in phases {
            let count = i64::try_from(ledger.count(phase)).unwrap_or(i64::MAX);
            self.connections.with_label_values(&[label]).set(count);
        }
    }
}
