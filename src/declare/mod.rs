//! Declarations: what operators ask for, and the revision in force.

mod key;

pub use key::{Key, KeyHash};
