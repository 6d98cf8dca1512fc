//! The running part: requests meet the desk here, and one task keeps the models.

use std::fmt::Debug;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use slog::Logger;
use thiserror::Error;
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::task::JoinHandle;

use super::desk::Desk;
use super::evict::Eviction;
use super::flow::Flows;
use super::front::Front;
use super::loader::{Asked, Loader};
use super::place::Placement;
use super::plan::Policy;
use super::queue::Discipline;
use super::{Placer, Replica, Want};
use crate::clock::Clock;
use crate::engine::EngineControl;
use crate::ids::{ModelId, VmId};
use crate::outcome::{Reason, Refusal};
use crate::schema::declaration::Declaration;
use crate::schema::peer::{WakeRequest, WakeResponse};
use crate::schema::settings::ModelSettings;
use crate::store::{Instance, ObjectStore};
use crate::units::Bytes;

const ASKS: usize = 1024;
const ORDER_RETRY: Duration = Duration::from_secs(3);
const BUSY_WAIT_MS: u64 = 1000;

/// The platform's list, as last read.
pub trait Fleet: Send + Sync + Debug {
    /// Listed engines, live and leaving.
    fn engines(&self) -> Arc<Vec<Instance>>;

    /// Live VMs.
    fn vms(&self) -> Arc<Vec<VmId>>;
}

/// The configuration in force.
pub trait Catalog: Send + Sync + Debug {
    /// The declaration in force.
    fn current(&self) -> Arc<Declaration>;
}

/// Why the owner could not be asked.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum WakeError {
    /// No link to it, or no answer in time.
    #[error("the VM that orders loads cannot be reached")]
    Unreachable,
}

/// Asks another VM for a replica.
pub trait WakeLink: Send + Sync + Debug {
    /// Asks and waits for the answer, a few seconds at most.
    fn wake<'a>(
        &'a self,
        to: &'a VmId,
        ask: WakeRequest,
    ) -> BoxFuture<'a, Result<WakeResponse, WakeError>>;
}

/// What [`Models`] is told about its VM.
#[derive(Clone, Debug)]
pub struct Config {
    /// This VM.
    pub vm: VmId,
    /// Loading of models.
    pub models: ModelSettings,
    /// Pause between two readings of a load report.
    pub report: Duration,
    /// Most requests waiting at once.
    pub waiting: usize,
}

impl Config {
    /// The parameters of its plans.
    pub fn policy(&self) -> Policy {
        Policy {
            bandwidth: Bytes(self.models.bandwidth),
            slots: self.models.slots as usize,
            adapters: self.models.adapters as usize,
            idle: Duration::from_millis(self.models.idle),
            life: Duration::from_millis(self.models.order),
            retry: ORDER_RETRY,
            eviction: Eviction::Worth,
            placement: Placement::Soonest,
            by_deadline: true,
        }
    }
}

/// What [`Models`] talks to.
#[derive(Clone, Debug)]
pub struct Ports {
    /// The platform's store.
    pub store: Arc<dyn ObjectStore>,
    /// The engines.
    pub engines: Arc<dyn EngineControl>,
    /// The platform's list.
    pub fleet: Arc<dyn Fleet>,
    /// The configuration in force.
    pub catalog: Arc<dyn Catalog>,
    /// Links to other VMs.
    pub wake: Arc<dyn WakeLink>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The log.
    pub log: Logger,
}

/// Keeps the models of one VM. Dropping it ends its task.
#[derive(Debug)]
pub struct Models {
    front: Arc<Front>,
    notify: Arc<Notify>,
    asks: mpsc::Sender<Asked>,
    catalog: Arc<dyn Catalog>,
    task: JoinHandle<()>,
}

impl Models {
    /// Starts the task that reads reports, orders loads and answers who waits.
    pub fn spawn(config: Config, ports: Ports) -> Self {
        let desk = Desk::new(config.waiting, Discipline::Fair);
        let front = Arc::new(Front::new(desk, Arc::clone(&ports.clock)));
        let notify = Arc::new(Notify::new());
        let (asks, inbox) = mpsc::channel(ASKS);
        let catalog = Arc::clone(&ports.catalog);
        let flows = Flows {
            store: Arc::clone(&ports.store),
            engines: Arc::clone(&ports.engines),
            clock: Arc::clone(&ports.clock),
            life: Duration::from_millis(config.models.order),
        };
        let loader = Loader::new(config, ports, flows, Arc::clone(&front));
        let task = tokio::spawn(loader.run(inbox, Arc::clone(&notify)));
        Self {
            front,
            notify,
            asks,
            catalog,
            task,
        }
    }

    /// Answers another VM that asks for a replica.
    pub async fn wake(&self, ask: WakeRequest) -> WakeResponse {
        let request = ask.request.clone();
        let (reply, answer) = oneshot::channel();
        let sent = self.asks.try_send(Asked { ask, reply }).is_ok();
        match answer.await {
            Ok(answer) if sent => answer,
            _ => WakeResponse {
                accepted: false,
                request,
                wait: BUSY_WAIT_MS,
            },
        }
    }

    /// Waiting requests.
    pub fn waiting(&self) -> usize {
        self.front.with(|desk| desk.len())
    }

    /// Granted requests that are not over.
    pub fn running(&self) -> u32 {
        self.front.with(|desk| desk.running())
    }

    /// Replicas of a model that serve, as last reported.
    pub fn usable(&self, model: &ModelId) -> usize {
        self.front.with(|desk| desk.usable(model))
    }

    /// Time a request for the model would wait at least.
    pub fn expected(&self, model: &ModelId) -> Duration {
        self.front.with(|desk| desk.expected(model))
    }

    fn check(&self, want: &Want) -> Result<(), Refusal> {
        let declaration = self.catalog.current();
        let known = declaration.models.contains_key(&want.model);
        let fits = want.adapter.as_ref().is_none_or(|adapter| {
            let declared = declaration.adapters.get(adapter);
            declared.is_some_and(|a| a.model == want.model)
        });
        if known && fits {
            return Ok(());
        }
        Err(Refusal::not_run(Reason::UnknownModel))
    }
}

impl Placer for Models {
    fn acquire(&self, want: Want) -> BoxFuture<'_, Result<Vec<Replica>, Refusal>> {
        Box::pin(async move {
            self.check(&want)?;
            let entered = self.front.enter(want);
            self.notify.notify_one();
            let answer = entered?.answer().await;
            answer.unwrap_or_else(|| Err(Refusal::not_run(Reason::ShuttingDown)))
        })
    }

    fn release(&self, want: &Want) {
        self.front.release(want);
    }
}

impl Drop for Models {
    fn drop(&mut self) {
        self.task.abort();
    }
}
