//! Wake messages: demand that other VMs send to this one, and demand that this VM sends the leader.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

use super::{ASK_LIFE, ASK_PAUSE, Asked, Loader, Remote};
use crate::ids::{AdapterId, ModelId};
use crate::model::admission::ModelDemand;
use crate::model::jobs::wake;
use crate::model::plan::Plan;
use crate::schema::peer::{WakeRequest, WakeResponse};
use crate::units::Tokens;

impl Loader {
    pub(super) fn take_ask(
        &mut self,
        asked: Asked,
    ) -> (WakeRequest, oneshot::Sender<WakeResponse>) {
        let now = self.ports.clock.now();
        let Asked { ask, reply } = asked;
        self.touch(&ask.model, ask.adapter.as_ref(), now);
        if ask.work > Tokens::ZERO {
            let deadline = now + Duration::from_millis(ask.deadline);
            let mut need = ModelDemand::empty(deadline);
            need.requests = 1;
            need.work = ask.work;
            if let Some(adapter) = &ask.adapter {
                need.add_adapter(adapter, deadline);
            }
            let key = (ask.model.clone(), ask.adapter.clone(), ask.request.clone());
            let until = now + ASK_LIFE;
            self.remote.insert(key, Remote { need, until });
        }
        (ask, reply)
    }

    /// Sends the leader the demand of this VM.
    pub(super) fn ask_owner(&mut self, own: &BTreeMap<ModelId, ModelDemand>, now: Instant) {
        for (model, need) in own {
            if need.requests > 0 {
                self.ask(model, None, need.work.max(Tokens(1)), need.deadline, now);
            }
            for (adapter, deadline) in &need.adapters {
                self.ask(model, Some(adapter.clone()), Tokens(1), *deadline, now);
            }
        }
    }

    pub(super) fn ask(
        &mut self,
        model: &ModelId,
        adapter: Option<AdapterId>,
        work: Tokens,
        deadline: Instant,
        now: Instant,
    ) {
        let Some(owner) = self.owner() else {
            return;
        };
        let key = (model.clone(), adapter.clone());
        let last = self.own_asks.get(&key);
        if last.is_some_and(|at| *at + ASK_PAUSE > now) {
            return;
        }
        if work > Tokens::ZERO {
            self.own_asks.insert(key, now);
        }
        let Ok(request) = self.config.vm.as_str().parse() else {
            return;
        };
        let ask = WakeRequest {
            account: None,
            adapter,
            deadline: deadline.saturating_duration_since(now).as_millis() as u64,
            model: model.clone(),
            request,
            work,
        };
        let link = Arc::clone(&self.ports.wake);
        self.jobs.spawn(wake(link, owner, ask));
    }
}

/// Answers a wake message from the plan that was made after it arrived.
pub(super) fn answer(plan: &Plan, ask: &WakeRequest) -> WakeResponse {
    let wait = plan.waits.get(&ask.model).copied().unwrap_or_default();
    let wait = wait.as_millis() as u64;
    WakeResponse {
        accepted: wait <= ask.deadline,
        request: ask.request.clone(),
        wait,
    }
}
