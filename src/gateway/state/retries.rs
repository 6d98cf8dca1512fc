//! The services' retry budgets at this VM.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use slog::info;

use crate::gateway::retry_budget::RetryBudget;
use crate::gateway::retry_metrics::RetryCause;
use crate::ids::ServiceId;

use super::{Gateway, lock};

/// Longest that a retry waits for the number of VMs.
const COUNT_WAIT: Duration = Duration::from_secs(1);

impl Gateway {
    fn retry_budget<'a>(
        &self,
        budgets: &'a mut BTreeMap<ServiceId, RetryBudget>,
        service: &ServiceId,
    ) -> &'a mut RetryBudget {
        let entry = budgets.entry(service.clone());
        entry.or_insert_with(|| {
            let bounds = self.bounds();
            RetryBudget::new(bounds.retries, self.unsettled_start())
        })
    }

    /// Start of this process while its part of the slack is withheld; absent where nothing ran before
    /// it, or the process before told what it had used.
    fn unsettled_start(&self) -> Option<Instant> {
        let known = self.bounds().first_start || self.took_over.load(Ordering::Relaxed);
        (!known).then_some(self.started)
    }

    /// Takes over from the process before, which stopped as planned and had used these retries.
    pub fn take_over_retries(&self, used: &BTreeMap<ServiceId, u32>) {
        info!(self.log, "retries_taken_over"; "retries" => used.values().sum::<u32>());
        let now = self.clock.now();
        let mut budgets = lock(&self.retry_budgets);
        self.took_over.store(true, Ordering::Relaxed);
        for service in used.keys() {
            self.retry_budget(&mut budgets, service);
        }
        for (service, budget) in budgets.iter_mut() {
            budget.take_over(used.get(service).copied().unwrap_or_default(), now);
        }
    }

    /// Sends no more retries, and returns the retries of the slack that were used, for the next
    /// process; `None` if that isn't known.
    pub fn close_retries(&self) -> Option<BTreeMap<ServiceId, u32>> {
        self.retries_closed.store(true, Ordering::Relaxed);
        let now = self.clock.now();
        let bound = self.bounds().retries;
        if !RetryBudget::new(bound, self.unsettled_start()).is_settled(now) {
            return None;
        }
        let mut budgets = lock(&self.retry_budgets);
        let used = budgets.iter_mut().filter_map(|(service, budget)| {
            let used = budget.slack_used(now).filter(|used| *used > 0)?;
            Some((service.clone(), used))
        });
        Some(used.collect())
    }

    /// Counts a request for a service, which raises its retry budget.
    pub fn count_request(&self, service: &ServiceId) {
        let now = self.clock.now();
        let mut retry_budgets = lock(&self.retry_budgets);
        self.retry_budget(&mut retry_budgets, service)
            .on_request(now);
    }

    /// Whether a service's budget has a retry left.
    pub fn has_retry(&self, service: &ServiceId) -> bool {
        let now = self.clock.now();
        let vms = self.reachability().most_vms();
        let mut retry_budgets = lock(&self.retry_budgets);
        self.retry_budget(&mut retry_budgets, service)
            .is_left(vms, now)
    }

    /// Waits until the registered VMs were read, for `COUNT_WAIT` or `left` at most, if only their
    /// unknown number makes the budget refuse a retry.
    pub async fn await_vm_count(&self, service: &ServiceId, left: Duration) {
        let counted = async {
            loop {
                let listed = self.vms_listed.notified();
                if !self.lacks_vm_count(service) {
                    return;
                }
                listed.await;
            }
        };
        let _late = tokio::time::timeout(left.min(COUNT_WAIT), counted).await;
    }

    fn lacks_vm_count(&self, service: &ServiceId) -> bool {
        let reachability = self.reachability();
        if reachability.listed {
            return false;
        }
        let now = self.clock.now();
        let mut retry_budgets = lock(&self.retry_budgets);
        let budget = self.retry_budget(&mut retry_budgets, service);
        !budget.is_left(reachability.most_vms(), now) && budget.is_left(reachability.peak, now)
    }

    /// Spends one retry of a service's budget; false if none is left.
    pub fn try_retry(&self, service: &ServiceId, cause: RetryCause) -> bool {
        let now = self.clock.now();
        let vms = self.reachability().most_vms();
        let mut retry_budgets = lock(&self.retry_budgets);
        let budget = self.retry_budget(&mut retry_budgets, service);
        let closed = self.retries_closed.load(Ordering::Relaxed);
        let taken = !closed && budget.try_spend(vms, now);
        let state = budget.to_string();
        drop(retry_budgets);
        self.retry_metrics.decided(cause, taken);
        if taken {
            self.counters.repeats.inc();
            return true;
        }
        self.counters.repeats_spared.inc();
        if self.may_log() {
            info!(self.log, "retry_refused"; "service" => %service, "cause" => %cause,
                "budget" => state, "vms" => vms);
        }
        false
    }
}
