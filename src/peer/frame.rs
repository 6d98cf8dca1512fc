//! Encoding and decoding of frames.
//!
//! A frame is a CBOR map with one entry, whose key names the kind of the frame. Frames that are
//! sent and frames that are received are limited in size. A frame that cannot be decoded yields a
//! [`FrameError`], which ends the link it came from.

use std::fmt;

use compact_str::CompactString;
use serde::de::{Error, IgnoredAny, MapAccess, Visitor};
use serde::{Deserialize, Deserializer};
use thiserror::Error;

use crate::schema::peer::{Frame, Hello};
use crate::units::Bytes;

/// Version of the peer protocol, sent in `Hello`; links need the same version on both sides.
pub const PROTOCOL: u32 = 1;

/// Kind of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FrameKind {
    /// First frame that each side sends on a link.
    Hello,
    /// Soft state of the sender and what it knows of other VMs and of upstreams.
    Digest,
    /// Request for a configuration.
    Fetch,
    /// Part of a configuration, in response to `Fetch`.
    Config,
    /// Request for a lease of tokens.
    Ask,
    /// Response to `Ask`.
    Grant,
    /// Request for a replica of a model.
    Wake,
    /// Response to `Wake`.
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

/// Why a frame was not encoded or decoded.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum FrameError {
    /// The frame is larger than the limit in the settings.
    #[error("a frame of {size} exceeds the limit of {bound}")]
    TooLarge {
        /// Size of the frame.
        size: Bytes,
        /// Largest allowed frame.
        bound: Bytes,
    },
    /// This protocol version has no frame of this kind.
    #[error("unknown frame kind {0:?}")]
    UnknownKind(CompactString),
    /// The bytes do not decode to a frame.
    #[error("malformed frame")]
    Malformed,
    /// The message holds further bytes after the frame; their count.
    #[error("{0} trailing bytes after the frame")]
    TrailingBytes(usize),
    /// A WebSocket text message was received; frames are sent as binary messages.
    #[error("the WebSocket message is not binary")]
    NotBinary,
    /// The other side uses another protocol version.
    #[error("unsupported protocol version {0}")]
    UnsupportedVersion(u32),
    /// The first frame of a link was not `Hello`, or a later frame was.
    #[error("unexpected {0} frame")]
    UnexpectedKind(FrameKind),
}

/// Encodes a frame of at most `bound` bytes.
pub fn encode(frame: &Frame, bound: Bytes) -> Result<bytes::Bytes, FrameError> {
    let mut out = Vec::with_capacity(256);
    ciborium::into_writer(frame, &mut out).or(Err(FrameError::Malformed))?;
    check_size(out.len(), bound)?;
    Ok(out.into())
}

/// Decodes a frame of at most `bound` bytes.
pub fn decode(bytes: &[u8], bound: Bytes) -> Result<Frame, FrameError> {
    check_size(bytes.len(), bound)?;
    let mut rest = bytes;
    let Ok(frame) = ciborium::from_reader(&mut rest) else {
        return Err(decode_error(bytes));
    };
    if !rest.is_empty() {
        return Err(FrameError::TrailingBytes(rest.len()));
    }
    Ok(frame)
}

/// Decodes the first frame of a link, which must be `Hello` of this protocol version.
pub fn decode_hello(bytes: &[u8], bound: Bytes) -> Result<Hello, FrameError> {
    check_size(bytes.len(), bound)?;
    if let Some(version) = protocol_version(bytes)
        && version != PROTOCOL
    {
        return Err(FrameError::UnsupportedVersion(version));
    }
    match decode(bytes, bound)? {
        Frame::Hello(hello) => Ok(hello),
        other => Err(FrameError::UnexpectedKind(FrameKind::of(&other))),
    }
}

/// Size of a value encoded as CBOR, in bytes; `usize::MAX` if it cannot be encoded.
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

// Distinguishes a frame of an unknown kind from a malformed frame.
fn decode_error(bytes: &[u8]) -> FrameError {
    match ciborium::from_reader(bytes) {
        Ok(KindKey(kind)) if FrameKind::ALL.iter().all(|k| k.as_str() != kind) => {
            FrameError::UnknownKind(kind)
        }
        _ => FrameError::Malformed,
    }
}

/// Key of a frame's only entry; its value is skipped.
struct KindKey(CompactString);

impl<'de> Deserialize<'de> for KindKey {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_map(KindKeyVisitor)
    }
}

struct KindKeyVisitor;

impl<'de> Visitor<'de> for KindKeyVisitor {
    type Value = KindKey;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a map with one entry")
    }

    fn visit_map<A>(self, mut map: A) -> Result<KindKey, A::Error>
    where
        A: MapAccess<'de>,
    {
        let entry = map.next_entry::<CompactString, IgnoredAny>()?;
        let (kind, _) = entry.ok_or_else(|| A::Error::invalid_length(0, &self))?;
        Ok(KindKey(kind))
    }
}

#[derive(Deserialize)]
struct HelloVersion {
    hello: VersionField,
}

#[derive(Deserialize)]
struct VersionField {
    protocol: u32,
}

// Decodes only the version, so that a `Hello` of a later version, whose fields may differ, yields
// `UnsupportedVersion` and not `Malformed`.
fn protocol_version(bytes: &[u8]) -> Option<u32> {
    let hello: HelloVersion = ciborium::from_reader(bytes).ok()?;
    Some(hello.hello.protocol)
}
