//! Operators: health, metrics, status, and changes of configuration.
//!
//! Served on a listener of its own, which only operators, the balancer's health checks and the
//! metrics' scraper reach.

pub mod client;
mod message;
mod serve;

pub use message::{Accepted, Failed, FailedCode, StatusReport, Withdrawal};
pub use serve::{Ops, OpsParts, StatusSource};
