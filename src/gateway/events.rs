//! Splits a stream of server-sent events into complete events.
//!
//! An engine may fail in the middle of an event, or hand out a wrong number. Only complete events
//! whose numbers are no fault ([`super::event_numbers`]) are forwarded, so that another engine can
//! resume the stream after the last one. Their bytes are forwarded unchanged.

use bytes::{Bytes, BytesMut};
use thiserror::Error;

use super::event_numbers::{EventNumber, EventNumbers, Verdict};

/// Largest size of an event, and of the events held until their numbers are judged, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Bytes of the longest end of an event that an earlier read may have brought without its last one.
const END_BYTES: usize = 2;

/// Why the rest of a stream must not be forwarded.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum EventError {
    /// An event, or the events held with it, exceed the largest size accepted.
    #[error("an event is too large")]
    TooLarge,
    /// The number of an event does not rise above that of the event before it.
    #[error("event {0} is out of order")]
    OutOfOrder(u64),
    /// An event has no number, or one that cannot be read.
    #[error("an event has no readable number")]
    Unnumbered,
}

/// What bytes of a stream have completed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Completed {
    /// Events that may be forwarded.
    pub events: Bytes,
    /// Whether an event was completed, also one that is not forwarded.
    pub any: bool,
    /// Why nothing after these events may be forwarded.
    pub fault: Option<EventError>,
}

/// Splits the bytes of a stream into complete events and judges their numbers.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// Events that are held, then the beginning of the next one.
    buffer: BytesMut,
    /// Length of the events that are held.
    held: usize,
    /// Length of the beginning that has no end of an event in it.
    scanned: usize,
    /// Numbers of the events so far.
    numbers: EventNumbers,
}

impl EventSplitter {
    /// Starts in front of a stream, or after event `last_id` where the stream is resumed.
    pub fn resume_after(last_id: Option<u64>) -> Self {
        Self {
            numbers: EventNumbers::resume_after(last_id),
            ..Self::default()
        }
    }

    /// Starts in front of a stream that nobody resumes.
    pub fn unresumable() -> Self {
        Self {
            numbers: EventNumbers::unresumable(),
            ..Self::default()
        }
    }

    /// Number of the last event that the caller has; absent before the first one that has a number.
    pub fn last_id(&self) -> Option<u64> {
        self.numbers.last()
    }

    /// Whether another engine may go on after that event: nothing shows that its number may be wrong.
    pub fn is_certain(&self) -> bool {
        self.numbers.is_certain()
    }

    /// Whether no event has been forwarded, at most comments.
    pub fn is_fresh(&self) -> bool {
        self.numbers.is_fresh()
    }

    /// Adds bytes and returns the events that may be forwarded now. After a fault nothing more may
    /// be added before [`Self::on_resumed`].
    pub fn push(&mut self, bytes: &[u8]) -> Completed {
        self.buffer.extend_from_slice(bytes);
        let mut completed = Completed::default();
        let mut ready = 0;
        let mut end = self.held;
        let mut scanned = self.scanned.saturating_sub(END_BYTES).max(end);
        while let Some(found) = event_end(&self.buffer[scanned..]) {
            let length = scanned + found - end;
            let event = Event::read(&self.buffer[end..end + length]);
            let verdict = match event {
                Event::Comment if end == ready => Verdict::Forward,
                Event::Comment => Verdict::Hold,
                Event::Data(number) => {
                    completed.any = true;
                    self.numbers.on_event(number)
                }
            };
            let begin = end;
            end += length;
            scanned = end;
            match verdict {
                Verdict::Forward => ready = end,
                Verdict::Replace => ready = begin,
                Verdict::Hold => {}
                Verdict::Fault => {
                    completed.fault = Some(event.fault());
                    break;
                }
            }
        }
        completed.events = self.buffer.split_to(ready).freeze();
        self.held = end - ready;
        self.scanned = self.buffer.len();
        if completed.fault.is_none() && self.buffer.len() > MAX_EVENT_BYTES {
            completed.fault = Some(EventError::TooLarge);
        }
        completed
    }

    /// Ends the stream of this engine and returns the events that were held.
    pub fn finish(&mut self) -> Bytes {
        self.numbers.on_end();
        let held = std::mem::take(&mut self.held);
        self.scanned = 0;
        self.buffer.split_to(held).freeze()
    }

    /// Whether the bytes so far end with a complete event.
    pub fn at_boundary(&self) -> bool {
        self.buffer.len() == self.held
    }

    /// Bytes of memory that what was not forwarded takes.
    pub fn held_bytes(&self) -> usize {
        self.buffer.capacity()
    }

    /// Discards what was not forwarded, as another engine sends it again.
    pub fn on_resumed(&mut self) {
        self.buffer = BytesMut::new();
        self.held = 0;
        self.scanned = 0;
        self.numbers.discard_held();
    }
}

/// What the splitter reads of one event.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// It has neither data nor a number, and is no event for the caller.
    Comment,
    /// It has a number, or should have one.
    Data(EventNumber),
}

impl Event {
    fn read(bytes: &[u8]) -> Self {
        let lines = bytes.split(|byte| *byte == b'\n');
        let mut ids = lines.clone().filter_map(|line| line.strip_prefix(b"id:"));
        match (ids.next(), ids.next()) {
            (Some(_), None) if hides_event(lines.clone()) => Self::Data(EventNumber::Unreadable),
            (Some(id), None) => Self::Data(read_number(id)),
            (Some(_), Some(_)) => Self::Data(EventNumber::Unreadable),
            _ if lines.clone().any(|line| line.starts_with(b"data")) => {
                Self::Data(EventNumber::Absent)
            }
            _ => Self::Comment,
        }
    }

    fn fault(self) -> EventError {
        match self {
            Self::Data(EventNumber::Number(number)) => EventError::OutOfOrder(number),
            _ => EventError::Unnumbered,
        }
    }
}

/// Whether the lines are those of two events, of which a wrong byte in place of the empty line between
/// them has made one: a number follows data behind one more byte, and is itself followed by data.
fn hides_event<'a, L>(lines: L) -> bool
where
    L: Iterator<Item = &'a [u8]>,
{
    let is_data = |line: &&[u8]| line.starts_with(b"data");
    let mut after_data = lines.skip_while(|line| !is_data(line));
    let is_hidden = |line: &[u8]| line.get(1..).is_some_and(|line| line.starts_with(b"id:"));
    after_data.any(is_hidden) && after_data.any(|line| is_data(&line))
}

fn read_number(bytes: &[u8]) -> EventNumber {
    let text = bytes.trim_ascii();
    let digits = !text.is_empty() && text.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(text).ok().filter(|_| digits);
    let number = text.and_then(|text| text.parse().ok());
    number.map_or(EventNumber::Unreadable, EventNumber::Number)
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
