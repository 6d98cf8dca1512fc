//! Encoding of frames.
//!
//! A frame is a CBOR map with one entry, whose key names the kind. Frames are bounded both ways,
//! and one that cannot be read is a typed error that ends its link.

use std::fmt;

use compact_str::CompactString;
use serde::de::{Error, IgnoredAny, MapAccess, Visitor};
use serde::{Deserialize, Deserializer};
use thiserror::Error;

use crate::schema::peer::{Frame, Hello};
use crate::units::Bytes;

/// Version of the peer protocol.
pub const PROTOCOL: u32 = 1;

/// Kind of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FrameKind {
    /// First message of a link.
    Hello,
    /// Soft state.
    Digest,
    /// Ask for a configuration.
    Fetch,
    /// Part of a configuration.
    Config,
    /// Ask for tokens.
    Ask,
    /// Answer with tokens.
    Grant,
    /// Ask for a replica.
    Wake,
    /// Answer to an ask for a replica.
    Woken,
}

impl FrameKind {
    /// All kinds of this protocol version.
    pub const ALL: [Self; 8] = [
        Self::Hello,
        Self::Digest,
        Self::Fetch,
        Self::Config,
        Self::Ask,
        Self::Grant,
        Self::Wake,
        Self::Woken,
    ];

    /// The kind of a frame.
    pub fn of(frame: &Frame) -> Self {
        match frame {
            Frame::Hello(_) => Self::Hello,
            Frame::Digest(_) => Self::Digest,
            Frame::Fetch(_) => Self::Fetch,
            Frame::Config(_) => Self::Config,
            Frame::Ask(_) => Self::Ask,
            Frame::Grant(_) => Self::Grant,
            Frame::Wake(_) => Self::Wake,
            Frame::Woken(_) => Self::Woken,
        }
    }

    /// The key that names the kind on the wire.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Hello => "hello",
            Self::Digest => "digest",
            Self::Fetch => "fetch",
            Self::Config => "config",
            Self::Ask => "ask",
            Self::Grant => "grant",
            Self::Wake => "wake",
            Self::Woken => "woken",
        }
    }
}

impl fmt::Display for FrameKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Why a frame was refused.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum FrameError {
    /// The frame exceeds the bound of the settings.
    #[error("a frame of {size} exceeds the bound of {bound}")]
    TooLarge {
        /// Its size.
        size: Bytes,
        /// The bound.
        bound: Bytes,
    },
    /// This protocol version has no such kind.
    #[error("frame kind {0:?} is not known")]
    UnknownKind(CompactString),
    /// The bytes are not a frame.
    #[error("the frame cannot be read")]
    Malformed,
    /// Bytes follow the frame.
    #[error("{0} bytes follow the frame")]
    TrailingBytes(usize),
    /// A text message came where only binary ones are sent.
    #[error("the message is not binary")]
    NotBinary,
    /// The peer speaks another version.
    #[error("protocol version {0} is not spoken here")]
    UnsupportedVersion(u32),
    /// The first frame was no `Hello`, or a later one was.
    #[error("a {0} frame is out of place")]
    UnexpectedKind(FrameKind),
}

/// Encodes a frame.
pub fn encode(frame: &Frame, bound: Bytes) -> Result<bytes::Bytes, FrameError> {
    let mut out = Vec::with_capacity(256);
    ciborium::into_writer(frame, &mut out).or(Err(FrameError::Malformed))?;
    check_size(out.len(), bound)?;
    Ok(out.into())
}

/// Decodes a frame.
pub fn decode(bytes: &[u8], bound: Bytes) -> Result<Frame, FrameError> {
    check_size(bytes.len(), bound)?;
    let mut rest = bytes;
    let Ok(frame) = ciborium::from_reader(&mut rest) else {
        return Err(diagnose(bytes));
    };
    if !rest.is_empty() {
        return Err(FrameError::TrailingBytes(rest.len()));
    }
    Ok(frame)
}

/// Decodes the first frame of a link.
pub fn decode_hello(bytes: &[u8], bound: Bytes) -> Result<Hello, FrameError> {
    check_size(bytes.len(), bound)?;
    if let Some(theirs) = protocol_of(bytes)
        && theirs != PROTOCOL
    {
        return Err(FrameError::UnsupportedVersion(theirs));
    }
    match decode(bytes, bound)? {
        Frame::Hello(hello) => Ok(hello),
        other => Err(FrameError::UnexpectedKind(FrameKind::of(&other))),
    }
}

/// Encoded size of a value.
pub(crate) fn encoded_size<T>(value: &T) -> usize
where
    T: serde::Serialize,
{
    let mut out = Vec::with_capacity(64);
    match ciborium::into_writer(value, &mut out) {
        Ok(()) => out.len(),
        Err(_) => usize::MAX,
    }
}

fn check_size(size: usize, bound: Bytes) -> Result<(), FrameError> {
    let size = Bytes(size as u64);
    if size > bound {
        return Err(FrameError::TooLarge { size, bound });
    }
    Ok(())
}

fn diagnose(bytes: &[u8]) -> FrameError {
    match ciborium::from_reader(bytes) {
        Ok(AnyKind(kind)) if FrameKind::ALL.iter().all(|k| k.as_str() != kind) => {
            FrameError::UnknownKind(kind)
        }
        _ => FrameError::Malformed,
    }
}

/// The kind of any frame, whatever its content.
struct AnyKind(CompactString);

impl<'de> Deserialize<'de> for AnyKind {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_map(AnyKindVisitor)
    }
}

struct AnyKindVisitor;

impl<'de> Visitor<'de> for AnyKindVisitor {
    type Value = AnyKind;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a map with one entry")
    }

    fn visit_map<A>(self, mut map: A) -> Result<AnyKind, A::Error>
    where
        A: MapAccess<'de>,
    {
        let entry = map.next_entry::<CompactString, IgnoredAny>()?;
        let (kind, _) = entry.ok_or_else(|| A::Error::invalid_length(0, &self))?;
        Ok(AnyKind(kind))
    }
}

#[derive(Deserialize)]
struct AnyHello {
    hello: AnyProtocol,
}

#[derive(Deserialize)]
struct AnyProtocol {
    protocol: u32,
}

// Reads the version alone, so that a later one with other fields is named rather than malformed.
fn protocol_of(bytes: &[u8]) -> Option<u32> {
    let hello: AnyHello = ciborium::from_reader(bytes).ok()?;
    Some(hello.hello.protocol)
}
