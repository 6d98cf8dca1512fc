//! The questions of a follower: which reader it asks, and since when an answer holds.

use crate::clock::BootTime;
use crate::ids::VmId;

/// Number of a question, which its answer repeats.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct QuestionId(pub u64);

/// A question without an answer yet.
#[derive(Clone, Copy, Debug)]
struct Pending {
    id: QuestionId,
    sent: BootTime,
}

/// Asks one reader at a time, and the next one if it does not answer.
#[derive(Clone, Debug, Default)]
pub struct Follower {
    last: QuestionId,
    pending: Option<Pending>,
    /// Position of the reader asked, among those of the role.
    position: usize,
}

impl Follower {
    /// The next question and the reader that it goes to; `None` if there are no readers. A reader
    /// that has not answered the question before is passed over.
    pub fn ask<'a>(
        &mut self,
        readers: &'a [VmId],
        now: BootTime,
    ) -> Option<(&'a VmId, QuestionId)> {
        if self.pending.is_some() {
            self.position += 1;
        }
        if readers.is_empty() {
            self.pending = None;
            return None;
        }
        self.position %= readers.len();
        self.last = QuestionId(self.last.0 + 1);
        self.pending = Some(Pending {
            id: self.last,
            sent: now,
        });
        Some((&readers[self.position], self.last))
    }

    /// Records the answer to a question, and returns when that was sent. Answers to earlier
    /// questions, and second copies of an answer, return `None`.
    pub fn on_answer(&mut self, id: QuestionId) -> Option<BootTime> {
        let pending = self.pending.filter(|pending| pending.id == id)?;
        self.pending = None;
        Some(pending.sent)
    }

    /// Turns to the next reader, because the answers of this one are too old.
    pub fn pass_over(&mut self) {
        self.position += 1;
    }
}
