//! The bounds of a VM on what its callers hold, derived from its memory and its descriptors.

/// Descriptors that the platform reserves for files.
const FILES: usize = 200;
/// Sockets in sixteenths: those of callers, and those to upstreams. The rest is for the store,
/// reports, orders and the VM's other listeners.
const CALLER_SIXTEENTHS: usize = 9;
const UPSTREAM_SIXTEENTHS: usize = 5;
/// Requests that one VM handles at once, however many descriptors it has.
const MAX_REQUESTS: usize = 3000;

/// What one process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Memory, in bytes.
    pub memory: u64,
    /// Open descriptors.
    pub descriptors: usize,
}

/// Bounds on what callers hold at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimitBounds {
    /// Bytes of connections, requests, bodies and responses.
    pub bytes: u64,
    /// Part of the bytes that is not for small bodies alone.
    pub large_bytes: u64,
    /// Part of the bytes that responses may take.
    pub response_bytes: u64,
    /// Connections.
    pub connections: usize,
    /// Requests from their head to the end of their response.
    pub requests: usize,
}

impl From<ProcessLimits> for CallerLimitBounds {
    fn from(limits: ProcessLimits) -> Self {
        // The other half is for the program, its configuration and the buffers of sockets.
        let bytes = limits.memory / 2;
        let sockets = limits.descriptors.saturating_sub(FILES);
        let share = |sixteenths: usize| (sockets * sixteenths / 16).max(1);
        Self {
            bytes,
            large_bytes: bytes / 8 * 7,
            response_bytes: bytes / 2,
            connections: share(CALLER_SIXTEENTHS),
            requests: share(UPSTREAM_SIXTEENTHS).min(MAX_REQUESTS),
        }
    }
}
