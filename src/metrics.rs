//! Metrics for Prometheus. Names carry their units; label sets are bounded by enums.

use std::time::Duration;

use http::StatusCode;
use prometheus::{
    HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};

use crate::outcome::Reason;

/// Declares a family of counters that share a prefix; clones share the counters.
macro_rules! counters {
    ($(#[$doc:meta])* $name:ident, $prefix:literal: $($field:ident: $help:literal,)*) => {
        $(#[$doc])*
        #[derive(Clone, Debug)]
        pub struct $name {
            $(#[doc = $help] pub $field: prometheus::IntCounter,)*
        }

        impl $name {
            /// Makes counters at zero.
            ///
            /// # Errors
            ///
            /// Where a name is not a metric's name.
            pub fn open() -> Result<Self, prometheus::Error> {
                Ok(Self {
                    $($field: prometheus::IntCounter::new(
                        concat!($prefix, stringify!($field), "_total"),
                        $help,
                    )?,)*
                })
            }

            /// Adds the counters to a registry.
            ///
            /// # Errors
            ///
            /// Where a name is taken.
            pub fn register(&self, registry: &prometheus::Registry) -> Result<(), prometheus::Error> {
                $(registry.register(Box::new(self.$field.clone()))?;)*
                Ok(())
            }
        }
    };
}

pub(crate) use counters;

/// The registry of a VM.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    registry: Registry,
}

impl Metrics {
    /// Opens a registry.
    pub fn open() -> Self {
        Self::default()
    }

    /// The registry, for a module's own metrics.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Adds a gauge.
    ///
    /// # Errors
    ///
    /// Where the name is taken or not a metric's name.
    pub fn gauge(&self, name: &str, help: &str) -> Result<IntGauge, prometheus::Error> {
        let gauge = IntGauge::new(name, help)?;
        self.registry.register(Box::new(gauge.clone()))?;
        Ok(gauge)
    }

    /// The text form that a scrape reads.
    ///
    /// # Errors
    ///
    /// Where a metric cannot be written as text.
    pub fn render(&self) -> Result<String, prometheus::Error> {
        TextEncoder::new().encode_to_string(&self.registry.gather())
    }
}

/// Metrics of the callers' side.
#[derive(Clone, Debug)]
pub struct EdgeMetrics {
    answers: IntCounterVec,
    refusals: IntCounterVec,
    times: HistogramVec,
}

impl EdgeMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Where a name is taken.
    pub fn open(metrics: &Metrics) -> Result<Self, prometheus::Error> {
        let answers = Opts::new(
            "basilgw_answers_total",
            "Answers relayed, by class of status.",
        );
        let refusals = Opts::new("basilgw_refusals_total", "Requests refused, by reason.");
        let times = HistogramOpts::new(
            "basilgw_answer_begin_seconds",
            "Time to the beginning of an answer, by outcome.",
        );
        let edge = Self {
            answers: IntCounterVec::new(answers, &["class"])?,
            refusals: IntCounterVec::new(refusals, &["reason"])?,
            times: HistogramVec::new(times, &["outcome"])?,
        };
        metrics.registry.register(Box::new(edge.answers.clone()))?;
        metrics.registry.register(Box::new(edge.refusals.clone()))?;
        metrics.registry.register(Box::new(edge.times.clone()))?;
        Ok(edge)
    }

    /// Counts an answer.
    pub fn answered(&self, status: StatusCode, spent: Duration) {
        let class = match status.as_u16() / 100 {
            2 => "2xx",
            3 => "3xx",
            4 => "4xx",
            5 => "5xx",
            _ => "other",
        };
        self.answers.with_label_values(&[class]).inc();
        self.times
            .with_label_values(&["answered"])
            .observe(spent.as_secs_f64());
    }

    /// Counts a refusal.
    pub fn refused(&self, reason: Reason, spent: Duration) {
        let code = reason.code().to_string();
        self.refusals.with_label_values(&[code.as_str()]).inc();
        self.times
            .with_label_values(&["refused"])
            .observe(spent.as_secs_f64());
    }
}
