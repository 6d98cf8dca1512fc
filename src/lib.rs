//! A serving gateway for rarely used models.
//!
//! The binary only wires what is here; tests and experiments drive the same code. Decisions are
//! pure state machines, (state, event, now) to (state, actions); thin asynchronous shells carry
//! them out. docs/DESIGN.md says which module carries which promise.

// Generated code names this crate's types by its public path.
extern crate self as basilgw;

pub mod cli;
pub mod clock;
pub mod commands;
pub mod config;
pub mod declare;
pub mod edge;
pub mod engine;
pub mod error;
pub mod exit_codes;
pub mod final_status;
pub mod gateway;
pub mod ids;
pub mod limit;
pub mod listen;
pub mod log;
pub mod metrics;
pub mod model;
pub mod once;
pub mod ops;
pub mod outcome;
pub mod peer;
pub mod route;
pub mod run;
pub mod schema;
pub mod settings;
pub mod store;
pub mod units;
