//! Exit codes, as documented in docs/OPERATIONS.md.

use std::process;

/// What a command's exit code says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCode {
    /// Done.
    Success,
    /// A failure without a code of its own.
    General,
    /// A file cannot be read.
    Input,
    /// The settings have faults.
    Settings,
    /// The declaration has faults.
    Declaration,
    /// Another change came first.
    Conflict,
    /// The VM or the platform cannot be reached.
    Unavailable,
}

impl From<ExitCode> for process::ExitCode {
    fn from(code: ExitCode) -> Self {
        Self::from(match code {
            ExitCode::Success => 0,
            ExitCode::General => 1,
            ExitCode::Input => 3,
            ExitCode::Settings => 4,
            ExitCode::Declaration => 5,
            ExitCode::Conflict => 6,
            ExitCode::Unavailable => 7,
        })
    }
}
