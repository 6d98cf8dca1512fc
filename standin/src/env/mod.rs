//! An environment of real VM processes among stand-ins, on loopback.
//!
//! The platform, engines and services run inside this process, the VMs as processes of their own.
//! Gates on a VM's edges to its callers, its peers and the platform cut or silence it.

mod site;
mod vm;

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use basilgw::declare::Change;
use basilgw::ids::{ChangeId, Generation, IdError, KeyId, Revision, UpstreamId, VmId};
use basilgw::ops::Withdrawal;
use basilgw::ops::client::{OpsClient, OpsError};
use basilgw::schema::platform::{Instance, InstanceKind, InstanceState};
use basilgw::units::Bytes;
use thiserror::Error;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

pub use site::{RARE_MODELS, Site};
pub use vm::{Ports, Vm};

use crate::caller::{Caller, OpenError, Target};
use crate::engine::{Engine, EngineSettings};
use crate::history::{Entry, Event};
use crate::platform::Platform;
use crate::record::{Recorder, lock};
use crate::service::PlainService;

/// An address whose port the kernel chooses.
pub const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

const ENGINE_MEMORY: Bytes = Bytes(20 << 30);
const PACE: Duration = Duration::from_millis(5);
const READY_TIMEOUT: Duration = Duration::from_secs(15);
const POLL_PAUSE: Duration = Duration::from_millis(50);
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);
const OBSERVE_PAUSE: Duration = Duration::from_millis(200);

/// Why an environment failed.
#[derive(Debug, Error)]
pub enum EnvError {
    /// A socket, file or process failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A signal could not be sent.
    #[error(transparent)]
    Signal(#[from] nix::Error),
    /// The caller could not be opened.
    #[error(transparent)]
    Caller(#[from] OpenError),
    /// A name is none.
    #[error(transparent)]
    Name(#[from] IdError),
    /// A VM refused a change.
    #[error(transparent)]
    Ops(#[from] OpsError),
    /// A VM did not start.
    #[error("{vm} did not start: {log}")]
    NotStarted {
        /// The VM.
        vm: VmId,
        /// Its log.
        log: String,
    },
    /// A VM did not become ready, or did not end.
    #[error("{vm} did not {what} in time: {log}")]
    Slow {
        /// The VM.
        vm: VmId,
        /// What was waited for.
        what: &'static str,
        /// The end of its log.
        log: String,
    },
}

/// A running environment.
#[derive(Debug)]
pub struct Environment {
    /// The platform.
    pub platform: Platform,
    /// The model engines.
    pub engines: Vec<Engine>,
    /// The plain services.
    pub services: Vec<PlainService>,
    /// The VMs.
    pub vms: Vec<Vm>,
    /// What operators declare.
    pub site: Site,
    /// A caller.
    pub caller: Caller,
    /// Records what operators and faults do.
    pub driver: Arc<Recorder>,
    leaving: std::sync::Mutex<Vec<UpstreamId>>,
    observer: JoinHandle<()>,
}

impl Environment {
    /// Starts `vms` VMs of the program at `binary` among stand-ins, applies the site's declaration
    /// and waits until every VM is ready.
    ///
    /// # Errors
    ///
    /// Where a part does not start.
    pub async fn open(binary: PathBuf, vms: usize) -> Result<Arc<Self>, EnvError> {
        let platform = Platform::bind(ANY).await?;
        let driver = Recorder::open("driver");
        let mut engines = Vec::new();
        for number in 1..=2 {
            let settings = EngineSettings {
                memory: ENGINE_MEMORY,
                pace: PACE,
                fenced: number == 1,
                ..EngineSettings::new(format!("engine-{number}").parse()?)
            };
            engines.push(Engine::bind(ANY, settings).await?);
        }
        let mut services = Vec::new();
        for number in 1..=2 {
            let name = format!("booking-{number}").parse()?;
            services.push(PlainService::bind(ANY, name).await?);
        }
        let store = platform.addresses().listening;
        let mut started = Vec::new();
        for number in 1..=vms {
            let vm = format!("vm-{number}").parse()?;
            started.push(Vm::spawn(binary.clone(), vm, store, &driver).await?);
        }
        let ports = started.iter().map(Vm::shared_ports).collect();
        let site = Site::new();
        site.record(&driver);
        let environment = Arc::new(Self {
            platform,
            engines,
            services,
            vms: started,
            site,
            caller: Caller::open("caller")?,
            observer: tokio::spawn(observe(ports, Arc::clone(&driver))),
            driver,
            leaving: std::sync::Mutex::default(),
        });
        environment.register()?;
        environment.apply(0, None).await?;
        environment.all_ready().await?;
        Ok(environment)
    }

    /// Where callers reach a VM.
    pub fn target(&self, vm: usize) -> Target {
        let vm = &self.vms[vm % self.vms.len()];
        Target {
            vm: vm.id().clone(),
            address: vm.callers_address(),
        }
    }

    /// Submits the site's declaration, with one more model where `extra` names one.
    ///
    /// # Errors
    ///
    /// Where the VM does not accept it.
    pub async fn apply(&self, vm: usize, extra: Option<&str>) -> Result<Revision, EnvError> {
        let change = Change {
            id: ChangeId::random(),
            actor: "operator".into(),
            parent: None,
            declaration: self.site.declaration(extra),
        };
        let client = OpsClient::open(self.vms[vm].ports().operators);
        let revision = client.apply(&change).await?.revision;
        self.driver.record(Event::Accepted { revision });
        Ok(revision)
    }

    /// Withdraws a key.
    ///
    /// # Errors
    ///
    /// Where the VM does not accept it.
    pub async fn withdraw(&self, vm: usize, key: &KeyId) -> Result<Revision, EnvError> {
        let ask = Withdrawal {
            id: ChangeId::random(),
            actor: "operator".into(),
            key: key.clone(),
        };
        let client = OpsClient::open(self.vms[vm].ports().operators);
        let revision = client.withdraw(&ask).await?.revision;
        self.driver.record(Event::Withdrawn { key: key.clone() });
        self.driver.record(Event::Accepted { revision });
        Ok(revision)
    }

    /// Makes the first engine and the first service leave, as they say and as the list says.
    ///
    /// # Errors
    ///
    /// Where a name is none.
    pub fn leave(&self) -> Result<(), EnvError> {
        *lock(&self.leaving) = vec!["engine-1".parse()?, "booking-1".parse()?];
        self.engines[0].set_leaving(true);
        self.services[0].set_leaving(true);
        self.register()
    }

    /// Tells the platform who runs where.
    ///
    /// # Errors
    ///
    /// Where a name is none.
    pub fn register(&self) -> Result<(), EnvError> {
        let leaving = lock(&self.leaving).clone();
        let mut instances = Vec::new();
        for vm in &self.vms {
            instances.push(vm.instance()?);
        }
        for (number, engine) in self.engines.iter().enumerate() {
            instances.push(Instance {
                memory: Some(ENGINE_MEMORY),
                fenced: number == 0,
                ..upstream(
                    &format!("engine-{}", number + 1),
                    InstanceKind::Engine,
                    engine.addresses().listening,
                    &leaving,
                )?
            });
        }
        for (number, service) in self.services.iter().enumerate() {
            instances.push(Instance {
                service: Some("booking".parse()?),
                ..upstream(
                    &format!("booking-{}", number + 1),
                    InstanceKind::Service,
                    service.addresses().listening,
                    &leaving,
                )?
            });
        }
        self.platform.register(instances);
        Ok(())
    }

    /// Waits until every running VM takes callers.
    ///
    /// # Errors
    ///
    /// Where one does not in time.
    pub async fn all_ready(&self) -> Result<(), EnvError> {
        for vm in self.vms.iter().filter(|vm| vm.is_running()) {
            self.ready(vm).await?;
        }
        Ok(())
    }

    /// Waits until a VM takes callers.
    ///
    /// # Errors
    ///
    /// Where it does not in time.
    pub async fn ready(&self, vm: &Vm) -> Result<(), EnvError> {
        let until = Instant::now() + READY_TIMEOUT;
        while !is_ready(vm.ports()).await {
            if Instant::now() > until {
                return Err(vm.slow("become ready"));
            }
            sleep(POLL_PAUSE).await;
        }
        Ok(())
    }

    /// The joined history of everybody but the VMs.
    pub fn history(&self) -> Vec<Entry> {
        let mut entries = self.driver.entries();
        entries.extend(self.caller.recorder().entries());
        entries.extend(self.platform.recorder().entries());
        let engines = self.engines.iter().map(Engine::recorder);
        let services = self.services.iter().map(PlainService::recorder);
        for recorder in engines.chain(services) {
            entries.extend(recorder.entries());
        }
        entries
    }
}

impl Drop for Environment {
    fn drop(&mut self) {
        self.observer.abort();
    }
}

fn upstream(
    name: &str,
    kind: InstanceKind,
    address: SocketAddr,
    leaving: &[UpstreamId],
) -> Result<Instance, EnvError> {
    let leaves = leaving.iter().any(|other| other.as_str() == name);
    Ok(Instance {
        vm: name.parse()?,
        kind,
        state: if leaves {
            InstanceState::Leaving
        } else {
            InstanceState::Live
        },
        generation: Generation(1),
        centre: "north".parse()?,
        address: address.to_string().into(),
        service: None,
        memory: None,
        fenced: false,
    })
}

async fn is_ready(ports: Ports) -> bool {
    let status = timeout(STATUS_TIMEOUT, OpsClient::open(ports.operators).status()).await;
    matches!(status, Ok(Ok(status)) if status.ready)
}

/// Records by which revision each ready VM serves.
async fn observe(ports: Vec<Arc<std::sync::Mutex<Ports>>>, driver: Arc<Recorder>) {
    loop {
        for shared in &ports {
            let operators = lock(shared).operators;
            let status = timeout(STATUS_TIMEOUT, OpsClient::open(operators).status()).await;
            if let Ok(Ok(status)) = status
                && status.ready
            {
                driver.record(Event::InForce {
                    vm: status.vm,
                    revision: status.revision,
                });
            }
        }
        sleep(OBSERVE_PAUSE).await;
    }
}
