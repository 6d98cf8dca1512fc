//! Buffers whose bytes are charged to a caller's connection until the last copy is dropped.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use thiserror::Error;

use super::{CallerSlot, Charge, NoRoom};

/// First capacity of a buffer for a body of undeclared length, in bytes; it doubles as it grows.
const FIRST_CAPACITY: usize = 16 * 1024;

/// Why the body of a request could not be read.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum BodyError {
    /// It is longer than allowed.
    #[error("the body is too long")]
    TooLong,
    /// There is no room for it, or it had to give way.
    #[error(transparent)]
    NoRoom(#[from] NoRoom),
    /// It ended early or is framed wrongly.
    #[error("the body is broken")]
    Broken,
}

/// Bytes and their charge.
#[derive(Debug)]
struct ChargedBytes {
    bytes: Vec<u8>,
    _charge: Charge,
}

impl AsRef<[u8]> for ChargedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// A buffer that grows only after its new capacity was charged.
#[derive(Debug, Default)]
pub struct ChargedBuffer {
    bytes: Vec<u8>,
    charge: Option<Charge>,
}

impl ChargedBuffer {
    /// Number of bytes in the buffer.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Capacity to add before `more` bytes fit, in bytes, where the whole may have `max`.
    pub fn missing(&self, more: usize, max: usize) -> usize {
        let capacity = self.bytes.capacity();
        let needed = self.bytes.len() + more;
        if needed <= capacity {
            return 0;
        }
        let doubled = (capacity * 2).max(FIRST_CAPACITY).min(max);
        needed.max(doubled) - capacity
    }

    /// Adds charged capacity.
    pub fn grow(&mut self, more: usize, charge: Charge) {
        let capacity = self.bytes.capacity() + more;
        self.bytes.reserve_exact(capacity - self.bytes.len());
        match &mut self.charge {
            Some(held) => held.absorb(charge),
            None => self.charge = Some(charge),
        }
    }

    /// Appends bytes that fit.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// The bytes, whose charge ends with their last copy.
    pub fn freeze(self) -> Bytes {
        let Some(charge) = self.charge else {
            return Bytes::new();
        };
        Bytes::from_owner(ChargedBytes {
            bytes: self.bytes,
            _charge: charge,
        })
    }
}

/// Reads the body of a request into one buffer. A declared length is judged before a byte is read.
///
/// # Errors
///
/// [`BodyError`].
pub async fn read_body(
    slot: &CallerSlot,
    mut body: Incoming,
    max_bytes: usize,
) -> Result<Bytes, BodyError> {
    let mut buffer = ChargedBuffer::default();
    if let Some(declared) = body.size_hint().exact() {
        let declared = usize::try_from(declared).unwrap_or(usize::MAX);
        if declared > max_bytes {
            return Err(BodyError::TooLong);
        }
        reserve(slot, &mut buffer, declared, declared).await?;
    }
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_broken| BodyError::Broken)?;
        // A frame without data holds trailers, which are not forwarded.
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        if bytes.len() > max_bytes - buffer.len() {
            return Err(BodyError::TooLong);
        }
        reserve(slot, &mut buffer, bytes.len(), max_bytes).await?;
        buffer.push(&bytes);
        slot.on_received(bytes.len());
    }
    Ok(buffer.freeze())
}

/// Makes room in the buffer for `more` bytes.
async fn reserve(
    slot: &CallerSlot,
    buffer: &mut ChargedBuffer,
    more: usize,
    max: usize,
) -> Result<(), NoRoom> {
    let missing = buffer.missing(more, max);
    if missing > 0 {
        let charge = slot.charge_body(missing as u64).await?;
        buffer.grow(missing, charge);
    }
    Ok(())
}
