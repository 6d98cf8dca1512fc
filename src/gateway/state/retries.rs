//! The services' retry budgets at this VM.

use std::collections::BTreeMap;
use std::time::Duration;

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
            let started = (!bounds.first_start).then_some(self.started);
            RetryBudget::new(bounds.retries, started)
        })
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

    /// Waits for a moment, at most for `left`, where a retry is refused only because this VM hasn't
    /// read yet how many VMs there are.
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
        let taken = budget.try_spend(vms, now);
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
