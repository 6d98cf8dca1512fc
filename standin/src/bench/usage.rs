//! Processor time and memory of a process, read from the system.

use std::fs;
use std::io;
use std::time::Duration;

const TICKS_PER_SECOND: u64 = 100;
const PAGE_BYTES: u64 = 4096;
const USER_FIELD: usize = 11;

/// What a process has used.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// Processor time, user and system.
    pub cpu: Duration,
    /// Resident memory, in bytes.
    pub resident: u64,
}

/// Reads the usage of a process.
///
/// # Errors
///
/// Where there is no such process.
pub fn read(pid: u32) -> io::Result<Usage> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The name may hold spaces; what follows it does not.
    let rest = stat.rsplit(')').next().unwrap_or_default();
    let mut fields = rest.split_whitespace().skip(USER_FIELD);
    let mut ticks = || {
        fields
            .next()
            .and_then(|f| f.parse::<u64>().ok())
            .unwrap_or_default()
    };
    let spent = ticks() + ticks();
    let memory = fs::read_to_string(format!("/proc/{pid}/statm"))?;
    let pages = memory
        .split_whitespace()
        .nth(1)
        .and_then(|f| f.parse::<u64>().ok());
    Ok(Usage {
        cpu: Duration::from_millis(spent * 1000 / TICKS_PER_SECOND),
        resident: pages.unwrap_or_default() * PAGE_BYTES,
    })
}
