//! Faults that steps meet.

use crate::env::{EnvError, Environment};
use crate::fault::{Fault as RequestFault, Planned};
use crate::gate::Mode;
use crate::platform::Faults;

/// Requests that a request's fault meets at each upstream.
const FAULTY_REQUESTS: u32 = 15;

/// Pause before each answer of a slow store, in milliseconds.
const SLOW_MS: u64 = 300;

/// Writes whose answers a store loses.
const LOST_WRITES: u32 = 5;

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// None, for comparison.
    Nothing,
    /// A VM is killed, and comes back.
    KillVm,
    /// A VM is paused.
    PauseVm,
    /// A VM's calls to the store are lost both ways, and its peers cannot reach it.
    CutVm,
    /// The store's answers to a VM are lost.
    CutOneWay,
    /// Open connections to upstreams lose everything; new ones work.
    Silence,
    /// The store is down.
    StoreDown,
    /// The store is slow.
    SlowStore,
    /// The store's answers to writes are lost after the writes took effect.
    LostAnswers,
    /// The VM list does not change, and plain reads are stale.
    StaleList,
    /// Upstreams close connections after they ran a request.
    CloseAfterRun,
    /// Upstreams cut their answers.
    CutAnswers,
    /// An engine and a service go down, and come back.
    UpstreamDown,
}

impl Fault {
    /// All faults.
    pub const ALL: [Self; 13] = [
        Self::Nothing,
        Self::KillVm,
        Self::PauseVm,
        Self::CutVm,
        Self::CutOneWay,
        Self::Silence,
        Self::StoreDown,
        Self::SlowStore,
        Self::LostAnswers,
        Self::StaleList,
        Self::CloseAfterRun,
        Self::CutAnswers,
        Self::UpstreamDown,
    ];

    /// Brings the fault about, at a VM where it meets one.
    pub(super) fn begin(self, env: &Environment, vm: usize) -> Result<(), EnvError> {
        let vm = &env.vms[vm];
        match self {
            Self::Nothing => {}
            Self::KillVm => vm.kill()?,
            Self::PauseVm => vm.pause()?,
            Self::CutVm => vm.cut(Mode::LoseAll, Mode::LoseAll),
            Self::CutOneWay => vm.cut(Mode::LoseAnswers, Mode::Pass),
            Self::Silence => upstreams(env, Mode::LoseOpen),
            Self::StoreDown => env.platform.set_gate(Mode::Down),
            Self::SlowStore => store(env, |faults| faults.slow = SLOW_MS),
            Self::LostAnswers => store(env, |faults| faults.lost = LOST_WRITES),
            Self::StaleList => store(env, |faults| {
                faults.frozen = true;
                faults.stale = true;
            }),
            Self::CloseAfterRun => requests(env, RequestFault::CloseAfterRun),
            Self::CutAnswers => requests(env, RequestFault::CutAnswer),
            Self::UpstreamDown => {
                env.engines[1].set_gate(Mode::Down);
                env.services[1].set_gate(Mode::Down);
            }
        }
        Ok(())
    }

    /// Ends the fault.
    pub(super) async fn end(self, env: &Environment, vm: usize) -> Result<(), EnvError> {
        let vm = &env.vms[vm];
        match self {
            Self::KillVm => {
                vm.restart().await?;
                env.register()?;
                env.ready(vm).await?;
                vm.record_started();
            }
            Self::PauseVm => vm.resume()?,
            Self::CutVm | Self::CutOneWay => vm.cut(Mode::Pass, Mode::Pass),
            _ => {
                env.platform.set_gate(Mode::Pass);
                env.platform.set_faults(Faults::default());
                upstreams(env, Mode::Pass);
                env.engines.iter().for_each(|e| e.set_faults(Vec::new()));
                env.services.iter().for_each(|s| s.set_faults(Vec::new()));
            }
        }
        Ok(())
    }
}

fn upstreams(env: &Environment, mode: Mode) {
    env.engines.iter().for_each(|engine| engine.set_gate(mode));
    env.services
        .iter()
        .for_each(|service| service.set_gate(mode));
}

fn store<F>(env: &Environment, change: F)
where
    F: FnOnce(&mut Faults),
{
    let mut faults = Faults::default();
    change(&mut faults);
    env.platform.set_faults(faults);
}

fn requests(env: &Environment, fault: RequestFault) {
    let times = FAULTY_REQUESTS;
    let planned = vec![Planned { fault, times }];
    for engine in &env.engines {
        engine.set_faults(planned.clone());
    }
    for service in &env.services {
        service.set_faults(planned.clone());
    }
}
