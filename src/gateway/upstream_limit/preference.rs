//! Which upstreams a request tries first while some of them are warming up.

use std::time::Duration;

/// Goal of a route from which its requests are patient: an upstream that warms up may take longer.
const MIN_PATIENT_GOAL: Duration = Duration::from_secs(2);

/// Some of the upstreams that can serve a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pool {
    /// All of them.
    All,
    /// Those that are not warming up.
    Warm,
    /// Those that are warming up.
    WarmingUp,
}

/// One upstream that can serve a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Whether it is warming up.
    pub warming_up: bool,
    /// Whether it has a free slot.
    pub free: bool,
}

/// The pools that a request on a route with `goal` tries, one after the other. A patient request
/// goes first to an upstream that warms up, and any other to a warm one with a free slot.
pub fn pools<I>(choices: I, goal: Duration) -> Vec<Pool>
where
    I: Iterator<Item = Choice>,
{
    let (mut any_warm, mut warm_free, mut warming_up) = (false, false, false);
    for choice in choices {
        any_warm |= !choice.warming_up;
        warm_free |= !choice.warming_up && choice.free;
        warming_up |= choice.warming_up;
    }
    if !any_warm || !warming_up {
        return vec![Pool::All];
    }
    if goal >= MIN_PATIENT_GOAL {
        return vec![Pool::WarmingUp, Pool::All];
    }
    if warm_free {
        return vec![Pool::Warm, Pool::All];
    }
    vec![Pool::All]
}
