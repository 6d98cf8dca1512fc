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
pub enum EventError {
    /// An event exceeds the largest size accepted.
    #[error("an event is too large")]
    TooLarge,
    /// The event of this number does not follow the last one: some are missing or repeated.
    #[error("event {0} is out of order")]
    OutOfOrder(u64),
}

/// Splits the bytes of a stream into complete events and checks that their numbers are consecutive.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Number of the last complete event; absent before the first one that has a number.
    pub last_id: Option<u64>,
}

impl EventSplitter {
    /// Starts in front of a stream, or after event `last_id` where the stream is resumed.
    pub fn resume_after(last_id: Option<u64>) -> Self {
        Self {
            buffer: BytesMut::new(),
            last_id,
        }
    }

    /// Adds bytes and returns the events that they complete.
    ///
    /// # Errors
    ///
    /// [`EventError`]; nothing more may be forwarded then.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, EventError> {
        self.buffer.extend_from_slice(bytes);
        let mut end = 0;
        while let Some(length) = event_end(&self.buffer[end..]) {
            let event = &self.buffer[end..end + length];
            if let Some(id) = event_id(event) {
                if self.last_id.is_some_and(|last| id != last + 1) {
                    return Err(EventError::OutOfOrder(id));
                }
                self.last_id = Some(id);
            }
            end += length;
        }
        if self.buffer.len() - end > MAX_EVENT_BYTES {
            return Err(EventError::TooLarge);
        }
        Ok(self.buffer.split_to(end).freeze())
    }

    /// Whether the bytes so far end with a complete event.
    pub fn at_boundary(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Discards the bytes of an incomplete event.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
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
