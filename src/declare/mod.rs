//! Declarations: what operators ask for, and the revision in force.

mod key;
pub mod spread;

pub use key::{Key, KeyHash};
