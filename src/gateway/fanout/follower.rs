//! The requests of a follower: which reader they go to, and since when a response holds.

use crate::clock::BootTime;
use crate::ids::VmId;

/// Number of a request, which its response repeats.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct FollowId(pub u64);

/// A request without a response yet.
#[derive(Clone, Copy, Debug)]
struct Pending {
    id: FollowId,
    sent: BootTime,
}

/// Asks one reader at a time, and the next one if it does not respond.
#[derive(Clone, Debug, Default)]
pub struct Follower {
    last: FollowId,
    pending: Option<Pending>,
    /// Position of the reader asked, among those of the role.
    position: usize,
}

impl Follower {
    /// The next request and the reader that it goes to; `None` if there are no readers. A reader
    /// that has not responded to the request before is passed over.
    pub fn next_request<'a>(
        &mut self,
        readers: &'a [VmId],
        now: BootTime,
    ) -> Option<(&'a VmId, FollowId)> {
        if self.pending.is_some() {
            self.position += 1;
        }
        if readers.is_empty() {
            self.pending = None;
            return None;
        }
        self.position %= readers.len();
        self.last = FollowId(self.last.0 + 1);
        self.pending = Some(Pending {
            id: self.last,
            sent: now,
        });
        Some((&readers[self.position], self.last))
    }

    /// Records the response to a request, and returns when that was sent. Responses to earlier
    /// requests, and second copies of a response, return `None`.
    pub fn on_response(&mut self, id: FollowId) -> Option<BootTime> {
        let pending = self.pending.filter(|pending| pending.id == id)?;
        self.pending = None;
        Some(pending.sent)
    }

    /// Turns to the next reader, because the responses of this one are too old.
    pub fn pass_over(&mut self) {
        self.position += 1;
    }
}
