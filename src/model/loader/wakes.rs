//! Wake messages: demand that other VMs send to this VM, and demand that this VM sends the leader.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

use super::{IncomingWake, Loader, PeerDemand, WAKE_INTERVAL, WAKE_LIFETIME};
use crate::ids::{AdapterId, ModelId};
use crate::model::admission::ModelDemand;
use crate::model::jobs::send_wake;
use crate::model::plan::Plan;
use crate::schema::peer::{WakeRequest, WakeResponse};
use crate::units::Tokens;

impl Loader {
    /// Records the use and the demand that a wake message reports. One without tokens reports only
    /// a use.
    pub(super) fn receive_wake(
        &mut self,
        incoming: IncomingWake,
    ) -> (WakeRequest, oneshot::Sender<WakeResponse>) {
        let now = self.deps.clock.now();
        let IncomingWake { wake, reply } = incoming;
        self.record_use(&wake.model, wake.adapter.as_ref(), now);
        if wake.work > Tokens::ZERO {
            let deadline = now + Duration::from_millis(wake.deadline);
            let mut demand = ModelDemand::empty(deadline);
            demand.requests = 1;
            demand.work = wake.work;
            if let Some(adapter) = &wake.adapter {
                demand.add_adapter(adapter, deadline);
            }
            let key = (
                wake.model.clone(),
                wake.adapter.clone(),
                wake.request.clone(),
            );
            let until = now + WAKE_LIFETIME;
            self.peer_demand.insert(key, PeerDemand { demand, until });
        }
        (wake, reply)
    }

    /// Sends the leader the demand of this VM.
    pub(super) fn wake_leader(&mut self, unmet: &BTreeMap<ModelId, ModelDemand>, now: Instant) {
        for (model, demand) in unmet {
            if demand.requests > 0 {
                self.send_wake(
                    model,
                    None,
                    demand.work.max(Tokens(1)),
                    demand.deadline,
                    now,
                );
            }
            for (adapter, deadline) in &demand.adapters {
                self.send_wake(model, Some(adapter.clone()), Tokens(1), *deadline, now);
            }
        }
    }

    /// Sends the leader a wake message, unless one for the same model and adapter was sent shortly
    /// before or this VM is the leader. With zero tokens of work, it reports only a use.
    pub(super) fn send_wake(
        &mut self,
        model: &ModelId,
        adapter: Option<AdapterId>,
        work: Tokens,
        deadline: Instant,
        now: Instant,
    ) {
        let Some(leader) = self.leader() else {
            return;
        };
        let key = (model.clone(), adapter.clone());
        let last = self.sent_wakes.get(&key);
        if last.is_some_and(|at| *at + WAKE_INTERVAL > now) {
            return;
        }
        if work > Tokens::ZERO {
            self.sent_wakes.insert(key, now);
        }
        // The VM's id stands for the request, so that a repeat replaces the VM's earlier demand.
        let Ok(request) = self.config.vm.as_str().parse() else {
            return;
        };
        let wake = WakeRequest {
            account: None,
            adapter,
            deadline: deadline.saturating_duration_since(now).as_millis() as u64,
            model: model.clone(),
            request,
            work,
        };
        let client = Arc::clone(&self.deps.wake_client);
        self.jobs.spawn(send_wake(client, leader, wake));
    }
}

/// The response to a wake message, from the plan that was made after it arrived.
pub(super) fn respond(plan: &Plan, wake: &WakeRequest) -> WakeResponse {
    let wait = plan.waits.get(&wake.model).copied().unwrap_or_default();
    let wait = wait.as_millis() as u64;
    WakeResponse {
        accepted: wait <= wake.deadline,
        request: wake.request.clone(),
        wait,
    }
}
