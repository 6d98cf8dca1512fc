//! The stand-in for a model engine.
//!
//! [`memory`] decides what is loaded; [`answer`] makes answers that tell which request, model and
//! prompt they belong to; `api` serves both with faults on command.

pub mod answer;
mod api;
mod cache;
pub mod memory;

pub(crate) use api::cut_whole;
pub use api::{Engine, EngineSettings};
