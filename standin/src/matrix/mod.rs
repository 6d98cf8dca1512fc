//! The fault matrix: every fault at every step, each cell in an environment of its own.
//!
//! A cell runs traffic of all kinds, takes its step, and meets its fault at a moment drawn from the
//! seed; the joined history is then checked for all points.

mod cell;
mod fault;
mod step;
mod traffic;

use std::fmt;
use std::path::PathBuf;

use basilgw::ids::Text;

pub use cell::{Cell, Outcome, run_cell};
pub use fault::Fault;
pub use step::Step;

/// Cells that CI runs: each step and each fault at least once.
pub const SUBSET: [(Step, Fault); 12] = [
    (Step::Serving, Fault::Nothing),
    (Step::Serving, Fault::Silence),
    (Step::Loading, Fault::KillVm),
    (Step::Loading, Fault::LostAnswers),
    (Step::Leasing, Fault::PauseVm),
    (Step::Leasing, Fault::CutVm),
    (Step::Applying, Fault::SlowStore),
    (Step::Withdrawing, Fault::CutOneWay),
    (Step::Booking, Fault::CloseAfterRun),
    (Step::Booking, Fault::CutAnswers),
    (Step::Leaving, Fault::StaleList),
    (Step::Stopping, Fault::StoreDown),
];

/// All cells.
pub fn all() -> Vec<(Step, Fault)> {
    let pairs = Step::ALL.iter();
    let pairs = pairs.flat_map(|step| Fault::ALL.iter().map(move |fault| (*step, *fault)));
    pairs.collect()
}

/// What the whole matrix came to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Cells whose points all hold.
    pub passed: usize,
    /// Cells in which a point did not hold.
    pub failed: usize,
    /// Cells that could not be run to their end.
    pub broken: usize,
    /// Cells that were left out.
    pub left: usize,
}

impl Tally {
    /// Counts a cell.
    pub fn add(&mut self, cell: &Cell) {
        match &cell.outcome {
            Outcome::Checked(findings) if findings.violations.is_empty() => self.passed += 1,
            Outcome::Checked(_) => self.failed += 1,
            Outcome::Broken(_) => self.broken += 1,
        }
    }

    /// Whether every cell that was run passed.
    pub fn is_sound(self) -> bool {
        self.failed == 0 && self.broken == 0
    }
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let run = self.passed + self.failed + self.broken;
        write!(
            f,
            "cells run {run}, passed {}, failed {}, broken off {}, not run {}",
            self.passed, self.failed, self.broken, self.left
        )
    }
}

/// Runs cells one after another, telling of each as it ends.
pub async fn run<F>(
    binary: PathBuf,
    cells: &[(Step, Fault)],
    seed: u64,
    mut told: F,
) -> (Tally, Vec<Cell>)
where
    F: FnMut(&Cell),
{
    let mut tally = Tally {
        left: all().len().saturating_sub(cells.len()),
        ..Tally::default()
    };
    let mut done = Vec::new();
    for (step, fault) in cells {
        let cell = run_cell(binary.clone(), *step, *fault, seed).await;
        told(&cell);
        tally.add(&cell);
        done.push(cell);
    }
    (tally, done)
}

/// A table of steps by faults.
pub fn table(cells: &[Cell]) -> Text {
    let names = Fault::ALL.iter().map(|fault| format!("| {fault:?} "));
    let rule = Fault::ALL.iter().map(|_| "| --- ");
    let head: String = std::iter::once("| step ".to_owned()).chain(names).collect();
    let rule: String = std::iter::once("| --- ").chain(rule).collect();
    let rows = Step::ALL.iter().map(|step| {
        let marks = Fault::ALL.iter().map(|fault| {
            let cell = cells.iter().find(|c| c.step == *step && c.fault == *fault);
            format!(
                "| {} ",
                cell.map_or_else(|| "not run".to_owned(), Cell::mark)
            )
        });
        format!("| {step:?} {}|\n", marks.collect::<String>())
    });
    format!("{head}|\n{rule}|\n{}", rows.collect::<String>()).into()
}
