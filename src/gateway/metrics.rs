//! Prometheus metrics of the gateway's own mechanisms.
//!
//! Responses to callers and refusals by reason are counted in [`crate::metrics::EdgeMetrics`].

use std::time::Duration;

use prometheus::{HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts};

use crate::metrics::{Metrics, counters};

use super::quota_order::Rank;
use super::state::Gateway;

/// Greatest rank with a counter of its own; less urgent ones share it.
const LAST_RANK: Rank = 9;

counters! {
    /// Counters of retries, orders, store calls and datagrams; clones share the counters.
    Counters, "basilgw_":
    repeats: "Requests sent to a further upstream.",
    repeats_spared: "Requests not sent to a further upstream for lack of budget.",
    early_breaks: "Streams that broke before their engine had written for long.",
    event_faults: "Events of streams that were not forwarded as their numbers were faulty.",
    silences_kept: "Streams that stayed at a silent engine, as it was busy or no other could resume them.",
    permits_granted: "Requests granted at upstreams that name a limit.",
    permits_denied: "Requests that found no room at an upstream that names a limit.",
    limits_invalid: "Responses whose limit could not be read.",
    stop_refusals: "Requests refused as not run, as this VM stops.",
    stop_failures: "Requests that may have run and were answered with a failure, as this VM stopped.",
    stop_cuts: "Responses that had begun and were cut, as this VM stopped.",
    settings_taken: "Changes of the settings that were taken into use.",
    settings_rejected: "Changes of the settings that are faulty.",
    warm_ups: "Upstreams that began to warm up, as far as this VM was told.",
    orders: "Orders given to engines.",
    store_loads: "Loads from the weight store among them.",
    entries_unreadable: "Entries of the configuration, and objects of the store, that cannot be read.",
    leases: "Times that this VM began to give orders.",
    log_lines_left_out: "Log lines on refused requests that were left out.",
    store_failures: "Questions to the platform's store that failed.",
    datagrams_in: "Datagrams taken from other VMs.",
    datagrams_out: "Datagrams sent to other VMs.",
    datagram_bytes_out: "Bytes of datagrams sent to other VMs.",
    broadcasts_forwarded: "Messages of other data centres passed on to the VMs of this one.",
}

/// Gauges that are set from the gateway's state at each scrape, the histogram of waits for models,
/// and the counters by rank.
#[derive(Clone, Debug)]
pub struct Gauges {
    trust_age: IntGauge,
    vms: IntGauge,
    vms_near: IntGauge,
    upstreams: IntGauge,
    parts_held: IntGauge,
    requests_held: IntGauge,
    upstreams_limited: IntGauge,
    upstreams_warming: IntGauge,
    running: IntGauge,
    configuration_awaited: IntGauge,
    centres_closed: IntGauge,
    waits: HistogramVec,
    quota_refusals: IntCounterVec,
    quota_unreported: IntGauge,
    quota_subtracted: IntGauge,
    quota_left: IntGauge,
    quota_overdrawn: IntGauge,
}

impl Gauges {
    /// Registers the gauges and the histogram.
    ///
    /// # Errors
    ///
    /// If a metric of the same name is registered already.
    pub fn open(metrics: &Metrics) -> Result<Self, prometheus::Error> {
        let waits = HistogramOpts::new(
            "basilgw_model_wait_seconds",
            "Time that requests waited for a model or an adapter, by outcome.",
        );
        let waits = HistogramVec::new(waits, &["outcome"])?;
        metrics.registry().register(Box::new(waits.clone()))?;
        let quota_refusals = Opts::new(
            "basilgw_quota_refusals_total",
            "Requests refused for their account's quota, by the priority of their route.",
        );
        let quota_refusals = IntCounterVec::new(quota_refusals, &["rank"])?;
        metrics
            .registry()
            .register(Box::new(quota_refusals.clone()))?;
        Ok(Self {
            waits,
            quota_refusals,
            quota_unreported: metrics.gauge(
                "basilgw_quota_unreported_tokens",
                "Tokens admitted that no report to the other VMs names yet.",
            )?,
            quota_subtracted: metrics.gauge(
                "basilgw_quota_subtracted_tokens",
                "Tokens of other VMs that were subtracted from accounts' levels, since the start.",
            )?,
            quota_left: metrics.gauge(
                "basilgw_quota_left_tokens",
                "Tokens of other VMs that had been left to them, since the start.",
            )?,
            quota_overdrawn: metrics.gauge(
                "basilgw_quota_overdrawn_tokens",
                "Tokens that levels lost as VMs were noticed late to be silent, since the start.",
            )?,
            trust_age: metrics.gauge(
                "basilgw_trust_age_milliseconds",
                "Age of the newest answer on the configuration; -1 where there is none.",
            )?,
            vms: metrics.gauge("basilgw_vms", "VMs known, this one included.")?,
            vms_near: metrics.gauge("basilgw_vms_near", "VMs in touch, this one included.")?,
            upstreams: metrics.gauge("basilgw_upstreams", "Upstreams in use.")?,
            parts_held: metrics.gauge(
                "basilgw_parts_held",
                "Parts of prompts that are held back because they crash engines.",
            )?,

            requests_held: metrics.gauge(
                "basilgw_requests_held",
                "Requests that are held back because they crash engines.",
            )?,
            upstreams_limited: metrics.gauge(
                "basilgw_upstreams_limited",
                "Upstreams that name a limit of requests.",
            )?,
            upstreams_warming: metrics.gauge(
                "basilgw_upstreams_warming",
                "Upstreams that are warming up.",
            )?,
            running: metrics.gauge("basilgw_running", "Requests that run.")?,
            configuration_awaited: metrics.gauge(
                "basilgw_configuration_awaited",
                "1 while reads of the configuration don't count, as the store may have lost a newer one.",
            )?,
            centres_closed: metrics.gauge(
                "basilgw_centres_closed",
                "Data centres that the operator has closed.",
            )?,
        })
    }

    /// Records how long a request waited for a model or adapter, and whether it was loaded in time.
    pub fn observe_wait(&self, spent: Duration, loaded: bool) {
        let outcome = if loaded { "loaded" } else { "given_up" };
        self.waits
            .with_label_values(&[outcome])
            .observe(spent.as_secs_f64());
    }

    /// Sets the number of closed data centres.
    pub fn set_closed(&self, centres: usize) {
        self.centres_closed
            .set(i64::try_from(centres).unwrap_or(i64::MAX));
    }

    /// Counts a request refused for its account's quota.
    pub fn count_quota_refusal(&self, rank: Rank) {
        let rank = rank.min(LAST_RANK).to_string();
        self.quota_refusals.with_label_values(&[&rank]).inc();
    }

    /// Sets the gauges from the gateway's state, for a scrape.
    pub fn refresh(&self, gateway: &Gateway) {
        let boot = gateway.clock.boot();
        let freshness = gateway.freshness();
        let age = freshness.age(boot);
        let awaited = freshness.awaits_trust() || freshness.is_outdated();
        drop(freshness);
        self.configuration_awaited.set(i64::from(awaited));
        let age = age.and_then(|age| i64::try_from(age.as_millis()).ok());
        self.trust_age.set(age.unwrap_or(-1));
        let reachability = gateway.reachability();
        self.vms.set(i64::from(reachability.vms));
        self.vms_near.set(i64::from(reachability.reachable));
        let (unreported, figures) = gateway.quota_figures();
        let tokens = |n: u64| i64::try_from(n).unwrap_or(i64::MAX);
        self.quota_unreported.set(tokens(unreported.0));
        self.quota_subtracted.set(tokens(figures.subtracted));
        self.quota_left.set(tokens(figures.left));
        self.quota_overdrawn.set(tokens(figures.overdrawn));
        let count = |n: usize| i64::try_from(n).unwrap_or(i64::MAX);
        self.upstreams.set(count(gateway.upstreams.load().len()));
        let quarantine = gateway.quarantine();
        self.parts_held.set(count(quarantine.parts_held()));
        self.requests_held.set(count(quarantine.requests_held()));
        drop(quarantine);
        self.upstreams_limited
            .set(count(gateway.upstream_limits().count()));
        let warming = gateway.upstream_limits().warming_up(boot);
        self.upstreams_warming.set(count(warming.len()));
        self.running.set(count(gateway.running.count()));
        gateway.caller_limits.refresh_gauges();
    }
}
