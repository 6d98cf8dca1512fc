//! Splits a stream of server-sent events into complete events.
//!
//! An engine may fail in the middle of an event. Only complete events are forwarded, so that
//! another engine can resume the stream after the last one. Their bytes are forwarded unchanged.

use bytes::{Bytes, BytesMut};
use thiserror::Error;

/// Largest event accepted, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Why the rest of a stream must not be forwarded.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum EventFault {
    /// An event exceeds the largest size accepted.
    #[error("an event is too large")]
    TooLarge,
    /// The event of this number does not follow the last one: some are missing or repeated.
    #[error("event {0} is out of order")]
    Order(u64),
}

/// Splits the bytes of a stream into complete events and checks that their numbers are consecutive.
#[derive(Debug, Default)]
pub struct Events {
    held: BytesMut,
    /// Number of the last complete event; absent before the first one that has a number.
    pub last: Option<u64>,
}

impl Events {
    /// A stream that resumes after event `last`.
    pub fn after(last: Option<u64>) -> Self {
        Self {
            held: BytesMut::new(),
            last,
        }
    }

    /// Adds bytes and returns the events that they complete.
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

    /// Whether the bytes so far end with a complete event.
    pub fn whole(&self) -> bool {
        self.held.is_empty()
    }

    /// Discards the bytes of an incomplete event.
    pub fn drop_rest(&mut self) {
        self.held.clear();
    }
}

/// Length of the first event, including the empty line that ends it.
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
