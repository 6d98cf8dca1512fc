//! One cell of the matrix.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::{Instant, sleep};

use super::fault::Fault;
use super::step::{Step, chat};
use super::traffic;
use crate::env::{EnvError, Environment};
use crate::history::{
    Bounds, Entry, Event, Findings, HistoryError, Outcome as Ended, Point, check,
};

const VMS: usize = 3;
const WARM_UP: Duration = Duration::from_secs(1);
const FAULT_LASTS: Duration = Duration::from_millis(1500);
const TRAFFIC_LASTS: Duration = Duration::from_secs(7);
const LATEST_FAULT_MS: u64 = 600;
const STOP_TIMEOUT: Duration = Duration::from_secs(25);
const LAST_STREAM_TOKENS: u64 = 100;
const LAST_HEAD_START: Duration = Duration::from_millis(150);

/// Bounds of a cell, whose settings are quicker than the defaults.
const BOUNDS: Bounds = Bounds {
    late: Duration::from_secs(1),
    withdrawal: Duration::from_secs(3),
    leaving: Duration::from_secs(3),
    linger: Duration::from_millis(200),
    configuration: Duration::from_secs(5),
};

/// Why a cell broke off.
#[derive(Debug, thiserror::Error)]
pub enum CellError {
    /// Its environment failed.
    #[error(transparent)]
    Environment(#[from] EnvError),
    /// Its history cannot be checked.
    #[error(transparent)]
    History(#[from] HistoryError),
}

/// How a cell ended.
#[derive(Debug)]
pub enum Outcome {
    /// Its history was checked.
    Checked(Findings),
    /// It could not be run to its end.
    Broken(CellError),
}

/// A cell that was run.
#[derive(Debug)]
pub struct Cell {
    /// The step.
    pub step: Step,
    /// The fault.
    pub fault: Fault,
    /// How it ended.
    pub outcome: Outcome,
    /// Its history.
    pub history: Vec<Entry>,
}

impl Cell {
    /// Whether it ran to its end and every point held.
    pub fn is_sound(&self) -> bool {
        matches!(&self.outcome, Outcome::Checked(found) if found.violations.is_empty())
    }

    /// How its requests ended: whole, refused, and any other way.
    pub fn ends(&self) -> (usize, usize, usize) {
        let ends = self.history.iter().filter_map(|entry| match &entry.event {
            Event::Answered { outcome, .. } => Some(outcome),
            _ => None,
        });
        ends.fold((0, 0, 0), |(whole, refused, other), end| match end {
            Ended::Whole { .. } => (whole + 1, refused, other),
            Ended::Refused { .. } => (whole, refused + 1, other),
            _ => (whole, refused, other + 1),
        })
    }

    /// What the table shows of it: points shown, or points violated.
    pub fn mark(&self) -> String {
        match &self.outcome {
            Outcome::Broken(_) => "broken off".to_owned(),
            Outcome::Checked(findings) => {
                let all = Point::ALL.iter();
                let violated = all.clone().filter(|point| findings.violates(**point));
                let violated: Vec<String> = violated.map(|point| format!("{point:?}")).collect();
                if violated.is_empty() {
                    let shown = all.filter(|point| findings.shows(**point)).count();
                    return format!("{shown} points");
                }
                format!("**{}**", violated.join(" "))
            }
        }
    }
}

/// Runs a cell in an environment of its own.
pub async fn run_cell(binary: PathBuf, step: Step, fault: Fault, seed: u64) -> Cell {
    let mut history = Vec::new();
    let outcome = match cell(binary, step, fault, seed, &mut history).await {
        Ok(findings) => Outcome::Checked(findings),
        Err(error) => Outcome::Broken(error),
    };
    Cell {
        step,
        fault,
        outcome,
        history,
    }
}

async fn cell(
    binary: PathBuf,
    step: Step,
    fault: Fault,
    seed: u64,
    history: &mut Vec<Entry>,
) -> Result<Findings, CellError> {
    let mut rng = StdRng::seed_from_u64(seed);
    let env = Environment::open(binary, VMS).await?;
    let until = Instant::now() + TRAFFIC_LASTS;
    let background = {
        let env = Arc::clone(&env);
        tokio::spawn(async move { traffic::run(&env, seed, until).await })
    };
    sleep(WARM_UP).await;
    let delay = Duration::from_millis(rng.random_range(0..LATEST_FAULT_MS));
    // A VM that is killed while it shuts down shows nothing of its shutdown.
    let among = if step == Step::Stopping && fault == Fault::KillVm {
        VMS - 1
    } else {
        VMS
    };
    let vm = rng.random_range(0..among);
    let met = meet(&env, step, fault, delay, vm).await;
    // Requests of the background are in the history.
    let _ = background.await;
    let last = match met {
        Ok(()) => last_shutdown(&env).await,
        Err(error) => Err(error),
    };
    *history = env.history();
    last?;
    Ok(check(history.clone(), &BOUNDS)?)
}

/// Takes the step and has the fault meet it.
async fn meet(
    env: &Arc<Environment>,
    step: Step,
    fault: Fault,
    delay: Duration,
    vm: usize,
) -> Result<(), EnvError> {
    let faulty = async {
        sleep(delay).await;
        fault.begin(env, vm)?;
        sleep(FAULT_LASTS).await;
        fault.end(env, vm).await
    };
    let (taken, faulted) = tokio::join!(step.take(env), faulty);
    faulted?;
    taken?;
    if step == Step::Stopping {
        env.vms[VMS - 1].ended(STOP_TIMEOUT).await?;
    }
    env.all_ready().await
}

/// Shuts the first VM down gracefully while a stream runs on it.
async fn last_shutdown(env: &Arc<Environment>) -> Result<(), EnvError> {
    let request = "last".parse()?;
    let ask = chat(
        request,
        &env.site.federation,
        "draft",
        LAST_STREAM_TOKENS,
        true,
    );
    let target = env.target(0);
    let stop = async {
        sleep(LAST_HEAD_START).await;
        env.vms[0].stop()?;
        env.vms[0].ended(STOP_TIMEOUT).await
    };
    let (_, stopped) = tokio::join!(env.caller.send(&target, &ask), stop);
    stopped
}
