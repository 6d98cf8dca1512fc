//! Experiments: short loops that drive the pure decisions with fakes and a virtual clock.

pub mod routes;
