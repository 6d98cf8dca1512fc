//! Experiments: short loops that drive the pure decisions with fakes and a virtual clock.

pub mod limits;
pub mod routes;

use std::io;
use std::process::ExitCode;

use bpaf::Bpaf;

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
    /// Choice of an engine beside simpler policies
    #[bpaf(command)]
    Routes {
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
            Self::Routes { seed } => routes::run(seed, &mut io::stdout().lock()),
        }
    }
}
