//! Experiments: short loops that drive the pure decisions with fakes and a virtual clock.

pub mod limits;
pub mod models;
pub mod peers;
pub mod routes;
pub mod spread;
pub mod transport;

use std::io;
use std::process::ExitCode;

use bpaf::Bpaf;
use thiserror::Error;

/// One experiment.
#[derive(Clone, Copy, Debug, Bpaf)]
#[bpaf(generate(experiment))]
pub enum Experiment {
    /// Limits over all VMs beside simpler designs
    #[bpaf(command)]
    Limits {
        /// Seed of the draws
        #[bpaf(argument("N"), fallback(1))]
        seed: u64,
        /// VMs
        #[bpaf(argument("N"), fallback(9))]
        vms: usize,
        /// Parts that a share is held in
        #[bpaf(argument("N"), fallback(3))]
        holders: u32,
    },
    /// Cold starts, idle memory and fairness of the models beside simpler policies
    #[bpaf(command)]
    Models {
        /// Whose sizes: orbitalny or heatline
        #[bpaf(argument("SITE"))]
        site: models::Site,
        /// Seed of the draws
        #[bpaf(argument("N"), fallback(1))]
        seed: u64,
        /// Only this scenario, such as `busy_flood`
        #[bpaf(argument("NAME"), optional)]
        scenario: Option<models::Scenario>,
    },
    /// Choice of an engine beside simpler policies
    #[bpaf(command)]
    Routes {
        /// Seed of the draws
        #[bpaf(argument("N"), fallback(1))]
        seed: u64,
    },
    /// What the dispatcher adds to a bare client
    #[bpaf(command)]
    Transport,
    /// Cost of the links between VMs, with sockets, all nodes in one process
    #[bpaf(command)]
    Peers {
        /// Count of VMs
        #[bpaf(argument("N"), fallback(9))]
        vms: usize,
        /// Time measured, after a warm-up
        #[bpaf(argument("S"), fallback(20))]
        seconds: u64,
        /// Bytes of the configuration handed on
        #[bpaf(argument("BYTES"), fallback(20_000))]
        size: usize,
    },
    /// Time until a revision reaches every VM, in virtual time
    #[bpaf(command)]
    Spread {
        /// Count of VMs
        #[bpaf(argument("N"), fallback(360))]
        vms: usize,
        /// Seed of the draws
        #[bpaf(argument("N"), fallback(1))]
        seed: u64,
    },
}

impl Experiment {
    /// Runs it; its lines go to standard output.
    pub fn run(self) -> ExitCode {
        match self {
            Self::Limits { seed, vms, holders } => {
                let fleet = limits::Fleet { vms, holders };
                limits::run(seed, fleet, &mut io::stdout().lock())
            }
            Self::Models {
                site,
                seed,
                scenario,
            } => models::run(site, seed, scenario, &mut io::stdout().lock()),
            Self::Routes { seed } => routes::run(seed, &mut io::stdout().lock()),
            Self::Transport => transport::run(&mut io::stdout().lock()),
            Self::Peers { vms, seconds, size } => peers::run(vms, seconds, size, &mut io::stdout()),
            Self::Spread { vms, seed } => spread::run(vms, seed, &mut io::stdout().lock()),
        }
    }
}

/// Why an experiment failed.
#[derive(Debug, Error)]
pub enum ExperimentError {
    /// A socket or a file failed.
    #[error("input or output failed")]
    Io(#[from] std::io::Error),
    /// A line cannot be written.
    #[error("a line cannot be written")]
    Json(#[from] serde_json::Error),
    /// A fixed name is not an identifier.
    #[error("a name is not an identifier")]
    Id(#[from] basilgw::ids::IdError),
    /// The transport cannot be opened.
    #[error("the transport cannot be opened")]
    Open(#[from] basilgw::route::http::OpenError),
    /// The bare client failed.
    #[error("the client failed")]
    Client(#[from] volo_http::error::ClientError),
    /// The dispatcher refused.
    #[error("the request was refused")]
    Refused(#[from] basilgw::outcome::Refusal),
    /// A stream was cut.
    #[error("a stream was cut")]
    Cut,
    /// A task ended early.
    #[error("a task ended early")]
    Task(#[from] tokio::task::JoinError),
    /// A histogram cannot be made.
    #[error("a histogram cannot be made")]
    Histogram(#[from] hdrhistogram::CreationError),
    /// The processor time cannot be read.
    #[error("the processor time cannot be read")]
    Cpu,
}
