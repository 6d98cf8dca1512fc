//! Histories of concurrent runs, and the checker that goes over them.
//!
//! Every party of a run records what it did and saw as [`Entry`] values, one JSON line each; the
//! lines of all parties joined are the history of the run. [`check`] replays a history for each
//! [`Point`] that must always hold. A point that a history has no cases of is not shown by it.

mod check;
mod engines;
mod event;
mod index;
mod keys;
mod lifecycle;
mod requests;
mod share;

pub use check::{Bounds, Findings, HistoryError, Point, Violation, check, parse};
pub use event::{Echo, Entry, Event, Micros, Outcome, Sent};
