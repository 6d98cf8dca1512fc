//! Three designs of limits over all VMs, under traffic and faults.
//!
//! One account's requests meet the VMs in virtual time; the product's own machines decide. One
//! JSON line a design and scenario. Requests wait up to five seconds for their tokens and use all
//! that they reserved.

mod designs;
mod figures;
mod world;

use std::io::Write;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use basilgw::limit::account::LimiterConfig;
use basilgw::limit::lease_client::LeaseTimes;
use basilgw::limit::{Quota, StoreTimes};
use basilgw::units::{TokenRate, Tokens};
use serde::Serialize;

use designs::{Even, Machine, Opening, Owner, Parts};
use world::World;

const TOKENS_PER_SECOND: f64 = 20_000.0;
const TOKENS_PER_SECOND_LARGE: f64 = 60_000.0;
const BURST_SECONDS: f64 = 2.0;
const LOAD: f64 = 0.7;

/// A design.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum Design {
    Parts,
    Owner,
    Even,
}

/// Which VMs the requests meet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Traffic {
    Even,
    Skewed,
}

/// What fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    Kill,
    Pause(Duration),
    Outage,
    OutageAndKill,
}

/// A run's circumstances.
#[derive(Clone, Copy, Debug)]
struct Setup {
    design: Design,
    vms: usize,
    share: Quota,
    tuning: LimiterConfig,
    load: f64,
    traffic: Traffic,
    fault: Fault,
    fault_at: Duration,
    from: Duration,
    until: Duration,
}

/// A named scenario, its span of counting and its target.
struct Scenario {
    name: &'static str,
    traffic: Traffic,
    load: f64,
    fault: Fault,
    from: u64,
    until: u64,
    target: f64,
}

const fn scenario(
    name: &'static str,
    fault: Fault,
    from: u64,
    until: u64,
    target: f64,
) -> Scenario {
    Scenario {
        name,
        traffic: Traffic::Even,
        load: LOAD,
        fault,
        from,
        until,
        target,
    }
}

const FAULT_SECONDS: u64 = 30;
const PAUSE: Duration = Duration::from_secs(10);

const SCENARIOS: [Scenario; 9] = [
    scenario("even", Fault::None, 20, 80, 0.001),
    Scenario {
        traffic: Traffic::Skewed,
        ..scenario("skewed", Fault::None, 20, 80, 0.01)
    },
    Scenario {
        load: 5.0,
        ..scenario("five_times", Fault::None, 20, 80, 0.05)
    },
    scenario("killed", Fault::Kill, 30, 40, 0.05),
    Scenario {
        traffic: Traffic::Skewed,
        ..scenario("killed_skewed", Fault::Kill, 30, 40, 0.05)
    },
    scenario("paused", Fault::Pause(PAUSE), 30, 45, 0.05),
    scenario("outage", Fault::Outage, 30, 630, 0.05),
    scenario("outage_killed", Fault::OutageAndKill, 30, 630, 0.05),
    Scenario {
        load: 5.0,
        ..scenario("paused_five_times", Fault::Pause(PAUSE), 20, 80, 0.05)
    },
];

/// One run's figures.
#[derive(Debug, Serialize)]
struct Line {
    experiment: &'static str,
    seed: u64,
    vms: usize,
    holders: u32,
    design: Design,
    scenario: &'static str,
    /// Greatest part of rate x window + burst granted in any window.
    overshoot: f64,
    /// Part of the requests within the rate that was refused.
    refused: f64,
    /// Part of the tokens within the rate that was not granted to any request.
    unused: f64,
    /// Greatest part that may be refused, or unused under more load than the rate.
    target: f64,
    met: bool,
    requests: u64,
    store_calls_per_second: f64,
    messages_per_second_vm: f64,
}

/// The size of a run.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    /// VMs.
    pub vms: usize,
    /// Parts that the product holds the share in.
    pub holders: u32,
}

/// Runs every design through every scenario.
pub fn run<W>(seed: u64, fleet: Fleet, out: &mut W) -> ExitCode
where
    W: Write,
{
    for design in [Design::Parts, Design::Owner, Design::Even] {
        for scenario in &SCENARIOS {
            let line = measure(design, scenario, seed, fleet);
            let written = serde_json::to_string(&line).map(|text| writeln!(out, "{text}"));
            if !matches!(written, Ok(Ok(()))) {
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::SUCCESS
}

fn measure(design: Design, scenario: &Scenario, seed: u64, fleet: Fleet) -> Line {
    let mut world = World::open(setup(design, scenario, fleet), seed);
    world.run();
    let figures = &world.figures;
    let refused = figures.refused as f64 / figures.within.max(1) as f64;
    let unused = 1.0 - figures.granted as f64 / figures.ideal.max(1) as f64;
    let judged = if scenario.load > 1.0 { unused } else { refused };
    let overshoot = figures.overshoot();
    Line {
        experiment: "limits",
        seed,
        vms: fleet.vms,
        holders: fleet.holders,
        design,
        scenario: scenario.name,
        overshoot,
        refused,
        unused: unused.max(0.0),
        target: scenario.target,
        met: overshoot <= 1.0 && judged <= scenario.target,
        requests: figures.within,
        store_calls_per_second: figures.calls as f64 / figures.seconds(),
        messages_per_second_vm: figures.messages as f64 / figures.seconds() / fleet.vms as f64,
    }
}

fn setup(design: Design, scenario: &Scenario, fleet: Fleet) -> Setup {
    let Fleet { vms, holders } = fleet;
    let rate = if vms > 100 {
        TOKENS_PER_SECOND_LARGE
    } else {
        TOKENS_PER_SECOND
    };
    let share = Quota {
        rate: TokenRate::new(rate).unwrap_or_default(),
        burst: Tokens((rate * BURST_SECONDS) as u64),
    };
    Setup {
        design,
        vms,
        share,
        tuning: LimiterConfig {
            leases: LeaseTimes {
                batch: Duration::from_millis(500),
                life: Duration::from_secs(2),
            },
            store: StoreTimes {
                list_lag: Duration::from_secs(5),
                max_backoff: Duration::from_secs(10),
            },
            max_parts: holders,
        },
        load: scenario.load,
        traffic: scenario.traffic,
        fault: scenario.fault,
        fault_at: Duration::from_secs(FAULT_SECONDS),
        from: Duration::from_secs(scenario.from),
        until: Duration::from_secs(scenario.until),
    }
}

fn open_machine(design: Design, opening: Opening, vms: usize, now: Instant) -> Box<dyn Machine> {
    match design {
        Design::Parts => Box::new(Parts::open(opening, now)),
        Design::Owner => Box::new(Owner::open(opening, now)),
        Design::Even => Box::new(Even::open(&opening, vms, now)),
    }
}
