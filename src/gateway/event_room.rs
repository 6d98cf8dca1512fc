//! Room for the part of a stream that waits for the end of its event.
//!
//! An engine that never ends an event would fill this VM's memory, one stream at a time. What a
//! stream holds beyond a few kilobytes is charged to its caller, as the responses that are
//! buffered are.

use super::caller_limit::{CallerSlot, Charge};

/// Bytes that a stream may hold uncharged; they are part of what each request is charged.
const FREE_BYTES: usize = 16 * 1024;

/// What one stream holds.
#[derive(Debug, Default)]
pub struct EventRoom {
    charge: Option<Charge>,
    /// Bytes charged.
    charged: u64,
}

impl EventRoom {
    /// Charges the caller for `held` bytes beyond the first [`FREE_BYTES`]; false if there is no room.
    /// The charge is released as a whole, once `held` is at most that.
    pub fn fit(&mut self, slot: &CallerSlot, held: usize) -> bool {
        let needed = held.saturating_sub(FREE_BYTES) as u64;
        if needed == 0 {
            *self = Self::default();
            return true;
        }
        let missing = needed.saturating_sub(self.charged);
        if missing == 0 {
            return true;
        }
        let Some(more) = slot.charge_response(missing) else {
            return false;
        };
        match &mut self.charge {
            Some(charge) => charge.absorb(more),
            None => self.charge = Some(more),
        }
        self.charged = needed;
        true
    }
}
