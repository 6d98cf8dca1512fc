//! Cold starts, idle memory and fairness of the models, beside simpler policies.
//!
//! The desks, the planner and the steps that serve are driven here in virtual time, against small
//! fakes of the engines and the store. Calls take no time of their own, reports come 200 ms late,
//! and a VM that is out of the list is noticed after five seconds. One JSON line a run.

mod farm;
mod run;
mod score;
mod site;

use std::io::Write;
use std::process::ExitCode;
use std::str::FromStr;
use std::time::Duration;

use basilgw::model::eviction::Eviction;
use basilgw::model::placement::Placement;
use basilgw::model::queue::Discipline;
use serde::Serialize;

use run::Run;
pub use site::{Site, SiteError};

/// Length of a run.
const SPAN: Duration = Duration::from_mins(10);
const FLOOD: [f64; 5] = [5.0, 1.0, 1.0, 1.0, 1.0];
const EVEN: [f64; 5] = [1.0; 5];

/// How the models are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum Policy {
    /// What serves.
    Serving,
    /// Least recently used is evicted.
    LeastRecent,
    /// First come, first loaded and served.
    FirstCome,
    /// Loads go to any engine.
    AnyEngine,
}

impl Policy {
    const ALL: [Self; 4] = [
        Self::Serving,
        Self::LeastRecent,
        Self::FirstCome,
        Self::AnyEngine,
    ];

    fn eviction(self) -> Eviction {
        match self {
            Self::LeastRecent => Eviction::LeastRecent,
            _ => Eviction::ReloadCost,
        }
    }

    fn placement(self) -> Placement {
        match self {
            Self::AnyEngine => Placement::Any,
            _ => Placement::Soonest,
        }
    }

    fn discipline(self) -> Discipline {
        match self {
            Self::FirstCome => Discipline::Fifo,
            _ => Discipline::Fair,
        }
    }
}

/// What befalls the site.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Scenario {
    /// Nothing.
    Calm,
    /// Three times as many bursts.
    Bursts,
    /// One account at five times its rate.
    Flood,
    /// One account at five times its rate, where all send as much as in bursts.
    BusyFlood,
    /// The weight store at a quarter of its speed for three minutes.
    SlowStore,
    /// The VM that orders loads dies in the middle of one, every minute.
    KilledDecider,
    /// It is paused in the middle of one for 90 seconds, and goes on.
    PausedDecider,
    /// The platform's store is down for a minute.
    StoreOutage,
    /// No engine checks fencing numbers.
    Unfenced,
}

impl Scenario {
    const ALL: [Self; 9] = [
        Self::Calm,
        Self::Bursts,
        Self::Flood,
        Self::BusyFlood,
        Self::SlowStore,
        Self::KilledDecider,
        Self::PausedDecider,
        Self::StoreOutage,
        Self::Unfenced,
    ];

    fn factors(self) -> [f64; 5] {
        match self {
            Self::Bursts => [3.0; 5],
            Self::Flood => FLOOD,
            Self::BusyFlood => FLOOD.map(|factor| factor * 3.0),
            _ => EVEN,
        }
    }
}

impl FromStr for Scenario {
    type Err = ScenarioError;

    fn from_str(text: &str) -> Result<Self, ScenarioError> {
        let named = |scenario: &Self| {
            let name = serde_json::to_value(scenario).unwrap_or_default();
            name.as_str() == Some(text)
        };
        Self::ALL.into_iter().find(named).ok_or(ScenarioError)
    }
}

/// The name is not a scenario's.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the scenario is not known")]
pub struct ScenarioError;

/// Runs all policies in all scenarios, or in one.
pub fn run<W>(site: Site, seed: u64, only: Option<Scenario>, out: &mut W) -> ExitCode
where
    W: Write,
{
    let chosen = |s: &Scenario| only.is_none_or(|one| one == *s);
    for scenario in Scenario::ALL.into_iter().filter(chosen) {
        for policy in Policy::ALL {
            let line = Run::new(site, seed, scenario, policy).finish();
            let Ok(text) = serde_json::to_string(&line) else {
                return ExitCode::FAILURE;
            };
            if writeln!(out, "{text}").is_err() {
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::SUCCESS
}
