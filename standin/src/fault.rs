//! Faults of a single request, on command.

use std::sync::Mutex;

use serde::{Deserialize, Serialize};

use crate::record::lock;

/// What goes wrong with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// The connection closes after the request was read, before it runs.
    CloseBeforeRun,
    /// The request runs, then the connection closes without an answer.
    CloseAfterRun,
    /// The request runs, and its answer is cut in the middle.
    CutAnswer,
    /// The request runs, and nothing is ever answered.
    Silence,
    /// The upstream says that the request did not run.
    NotRun,
    /// The upstream answers with an internal error after the run.
    Fail,
}

/// A fault and how many requests it meets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Planned {
    /// The fault.
    pub fault: Fault,
    /// Requests that meet it.
    pub times: u32,
}

/// The faults that the next requests meet, in order.
#[derive(Debug, Default)]
pub struct Plan {
    next: Mutex<Vec<Planned>>,
}

impl Plan {
    /// Replaces the plan.
    pub fn set(&self, faults: Vec<Planned>) {
        *lock(&self.next) = faults;
    }

    /// Takes the fault of the next request.
    pub fn take(&self) -> Option<Fault> {
        let mut next = lock(&self.next);
        next.retain(|planned| planned.times > 0);
        let planned = next.first_mut()?;
        planned.times -= 1;
        Some(planned.fault)
    }
}
