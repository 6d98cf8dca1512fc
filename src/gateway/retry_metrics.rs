//! Metrics of retries, by why the attempt before ended.

use std::fmt::{self, Display, Formatter};

use prometheus::{IntCounter, IntCounterVec, Opts};

use crate::metrics::Metrics;

use super::exchange::ResponseError;

/// Why a request is sent to a further upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryCause {
    /// The upstream did not run it.
    Declined,
    /// The upstream answered with a server error.
    FailureStatus,
    /// The upstream broke the connection.
    BrokenOff,
    /// The upstream was silent for too long.
    Silent,
    /// The upstream's response was not valid.
    Invalid,
    /// A stream goes on at another engine.
    Resumption,
}

impl From<ResponseError> for RetryCause {
    fn from(error: ResponseError) -> Self {
        match error {
            ResponseError::Disconnected => Self::BrokenOff,
            ResponseError::Silent | ResponseError::Deadline | ResponseError::ToldTimeOver => {
                Self::Silent
            }
            ResponseError::Invalid => Self::Invalid,
        }
    }
}

impl Display for RetryCause {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Declined => "declined",
            Self::FailureStatus => "failure_status",
            Self::BrokenOff => "broken_off",
            Self::Silent => "silent",
            Self::Invalid => "invalid",
            Self::Resumption => "resumption",
        })
    }
}

/// Counters of what the retry budget paid for and refused.
#[derive(Clone, Debug)]
pub struct RetryMetrics {
    paid: IntCounterVec,
    refused: IntCounterVec,
    /// Retries paid for that were not sent.
    pub unsent: IntCounter,
}

impl RetryMetrics {
    /// Registers the counters.
    ///
    /// # Errors
    ///
    /// If a metric of the same name is registered already.
    pub fn open(metrics: &Metrics) -> Result<Self, prometheus::Error> {
        let paid = Opts::new(
            "basilgw_retries_total",
            "Retries that the budget paid for, by why the attempt before ended.",
        );
        let refused = Opts::new(
            "basilgw_retries_refused_total",
            "Retries that the budget refused, by why the attempt before ended.",
        );
        let counters = Self {
            paid: IntCounterVec::new(paid, &["cause"])?,
            refused: IntCounterVec::new(refused, &["cause"])?,
            unsent: IntCounter::new(
                "basilgw_retries_unsent_total",
                "Retries that the budget paid for and that were not sent.",
            )?,
        };
        let registry = metrics.registry();
        registry.register(Box::new(counters.paid.clone()))?;
        registry.register(Box::new(counters.refused.clone()))?;
        registry.register(Box::new(counters.unsent.clone()))?;
        Ok(counters)
    }

    /// Counts the budget's decision on a retry.
    pub fn decided(&self, cause: RetryCause, paid: bool) {
        let decisions = if paid { &self.paid } else { &self.refused };
        decisions.with_label_values(&[cause.to_string()]).inc();
    }
}
