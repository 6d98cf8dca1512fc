//! Histories of concurrent runs.
//!
//! Every party of a run records what it did and saw as [`Entry`] values, one JSON line each; the
//! lines of all parties joined are the history of the run.

mod event;

pub use event::{Echo, Entry, Event, Micros, Outcome};
