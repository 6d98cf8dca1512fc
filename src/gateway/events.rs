//! A stream of events, cut at whole events.
//!
//! An engine may stop in the middle of an event; what is forwarded must end with a whole one, so
//! that another engine can go on after it. Events are forwarded byte for byte.

use bytes::{Bytes, BytesMut};
use thiserror::Error;

/// Greatest size of one event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Why a stream cannot be forwarded further.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum EventFault {
    /// An event is larger than this VM keeps.
    #[error("an event is too large")]
    TooLarge,
    /// An event is missing or comes out of order.
    #[error("event {0} does not follow")]
    Order(u64),
}

/// Cuts a stream into whole events and follows their numbers.
#[derive(Debug, Default)]
pub struct Events {
    held: BytesMut,
    /// Number of the last event forwarded.
    pub last: Option<u64>,
}

impl Events {
    /// A stream that goes on after `last`.
    pub fn after(last: Option<u64>) -> Self {
        Self {
            held: BytesMut::new(),
            last,
        }
    }

    /// Takes bytes and gives back the whole events among them.
    ///
    /// # Errors
    ///
    /// [`EventFault`]; nothing more may be forwarded then.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, EventFault> {
        self.held.extend_from_slice(bytes);
        let mut end = 0;
        while let Some(length) = event_end(&self.held[end..]) {
            let event = &self.held[end..end + length];
            if let Some(id) = event_id(event) {
                if self.last.is_some_and(|last| id != last + 1) {
                    return Err(EventFault::Order(id));
                }
                self.last = Some(id);
            }
            end += length;
        }
        if self.held.len() - end > MAX_EVENT_BYTES {
            return Err(EventFault::TooLarge);
        }
        Ok(self.held.split_to(end).freeze())
    }

    /// Whether the stream stands between two events.
    pub fn whole(&self) -> bool {
        self.held.is_empty()
    }

    /// Drops what is left of an event that was cut.
    pub fn drop_rest(&mut self) {
        self.held.clear();
    }
}

/// Length of the first event with the empty line that ends it.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let mut from = 0;
    while let Some(at) = bytes[from..].iter().position(|b| *b == b'\n') {
        let next = from + at + 1;
        match bytes.get(next..) {
            Some([b'\n', ..]) => return Some(next + 1),
            Some([b'\r', b'\n', ..]) => return Some(next + 2),
            _ => from = next,
        }
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    let line = event
        .split(|b| *b == b'\n')
        .find(|line| line.starts_with(b"id:"))?;
    let text = std::str::from_utf8(&line[3..]).ok()?;
    text.trim().parse().ok()
}
