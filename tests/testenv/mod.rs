//! Environments of real VM processes, for tests.

use std::path::PathBuf;

/// The program under test.
pub fn program() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_basilgw"))
}
