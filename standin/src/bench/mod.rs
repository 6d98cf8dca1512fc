//! Load on loopback and a bare pass-through to compare with.

pub mod load;
pub mod passthrough;
pub mod usage;
