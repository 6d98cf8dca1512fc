//! Experiments: short loops that drive the pure decisions with fakes and a virtual clock.

pub mod models;
pub mod routes;

use std::io;
use std::process::ExitCode;

use bpaf::Bpaf;

/// One experiment.
#[derive(Clone, Copy, Debug, Bpaf)]
#[bpaf(generate(experiment))]
pub enum Experiment {
    /// Cold starts, idle memory and fairness of the models beside simpler policies
    #[bpaf(command)]
    Models {
        /// Whose sizes: orbitalny or heatline
        #[bpaf(argument("SITE"))]
        site: models::Site,
        /// Seed of the draws
        #[bpaf(argument("N"), fallback(1))]
        seed: u64,
        /// Only this scenario, such as bursts
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
}

impl Experiment {
    /// Runs it; its lines go to standard output.
    pub fn run(self) -> ExitCode {
        match self {
            Self::Models {
                site,
                seed,
                scenario,
            } => models::run(site, seed, scenario, &mut io::stdout().lock()),
            Self::Routes { seed } => routes::run(seed, &mut io::stdout().lock()),
        }
    }
}
