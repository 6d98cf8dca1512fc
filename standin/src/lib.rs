//! Stand-ins for what basilgw meets outside, and the checks that go over what they saw.
//!
//! Each stand-in is a small server or client with faults on command: [`platform`] is the object
//! store and the VM list, [`engine`] a model engine, [`service`] a plain service, [`caller`] a
//! caller that verifies its answers. Every one records a [`history`], which the checker joins.
//! [`env`](mod@env) puts them around real VM processes, and [`matrix`] meets each step there with each fault.

pub mod bench;
pub mod caller;
pub mod engine;
pub mod env;
pub mod experiment;
pub mod fault;
pub mod gate;
pub mod history;
pub mod http;
pub mod matrix;
pub mod platform;
pub mod record;
pub mod service;
