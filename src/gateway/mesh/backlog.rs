//! Datagrams that have waited in the socket while this VM stood still.
//!
//! A VM that was suspended reads what arrived meanwhile as if it were new. For itself that is soon
//! corrected, but it must not pass such messages on to others, who have heard newer ones.

use std::time::Duration;

use crate::clock::BootTime;

/// Time without a datagram after which this VM may have stood still; among many VMs dozens arrive
/// each second.
const STANDSTILL: Duration = Duration::from_millis(300);
/// Time in which the datagrams that waited are read.
const CATCH_UP_TIME: Duration = Duration::from_millis(200);

/// When datagrams were read.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backlog {
    last_read: Option<BootTime>,
    /// Until when those that are read may be old.
    old_until: Option<BootTime>,
}

impl Backlog {
    /// Records that a datagram was read.
    pub fn on_read(&mut self, now: BootTime) {
        if self.last_read.is_some_and(|at| now.since(at) > STANDSTILL) {
            self.old_until = Some(now.plus(CATCH_UP_TIME));
        }
        self.last_read = Some(now);
    }

    /// Whether what is read now may have waited for long.
    pub fn may_be_old(&self, now: BootTime) -> bool {
        self.old_until.is_some_and(|until| now < until)
    }
}
