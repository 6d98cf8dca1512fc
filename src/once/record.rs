//! The record of a non-idempotent request, as kept in the platform's store.
//!
//! A record is created before the request is dispatched and names the attempt that may dispatch it.
//! It is deleted if the request surely did not run; in all other cases no later attempt may
//! run.

use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::{OnceKey, Recorded};
use crate::ids::{Generation, IdError, ObjectKey, VmId};

/// Largest body kept with a record, in bytes.
pub const MAX_BODY_BYTES: usize = 128 << 10;

const KEY_CONTEXT: &str = "basilgw 2026 once record";

/// A record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// The attempt that may dispatch the request.
    pub attempt: CompactString,
    /// Its VM.
    pub vm: VmId,
    /// The incarnation of its VM.
    pub generation: Generation,
    /// When it began, in milliseconds since the Unix epoch; for clean-up and people.
    pub wall: u64,
    /// Hash of the request, in hexadecimal.
    pub digest: CompactString,
    /// What became of it.
    pub state: State,
}

/// What became of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It may be dispatched, or was.
    InProgress,
    /// It ran, with this answer.
    Ran(Kept),
    /// Nobody knows.
    Unknown,
}

/// An answer as kept.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kept {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub media: CompactString,
    /// Body.
    pub body: KeptBody,
}

/// A body as kept.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeptBody {
    /// A body that is text.
    Text(String),
    /// Any other body.
    Bytes(Vec<u8>),
    /// A body too large to keep; its size in bytes.
    Omitted(u64),
}

impl Record {
    /// The record as the store keeps it.
    pub fn encode(&self) -> Option<Bytes> {
        serde_json::to_vec(self).ok().map(Bytes::from)
    }

    /// Reads a record.
    pub fn decode(value: &[u8]) -> Option<Self> {
        serde_json::from_slice(value).ok()
    }
}

impl Kept {
    /// Keeps an answer, without a body above [`MAX_BODY_BYTES`].
    pub fn new(answer: &Recorded) -> Self {
        Self {
            status: answer.status,
            media: answer.media.clone(),
            body: KeptBody::new(&answer.body),
        }
    }

    /// The answer; `None` where its body was not kept.
    pub fn answer(&self) -> Option<Recorded> {
        let body = match &self.body {
            KeptBody::Text(text) => Bytes::copy_from_slice(text.as_bytes()),
            KeptBody::Bytes(bytes) => Bytes::copy_from_slice(bytes),
            KeptBody::Omitted(_) => return None,
        };
        Some(Recorded {
            status: self.status,
            media: self.media.clone(),
            body,
        })
    }
}

impl KeptBody {
    fn new(body: &Bytes) -> Self {
        if body.len() > MAX_BODY_BYTES {
            return Self::Omitted(body.len() as u64);
        }
        match std::str::from_utf8(body) {
            Ok(text) => Self::Text(text.to_owned()),
            Err(_) => Self::Bytes(body.to_vec()),
        }
    }
}

/// The store's key of a request's record.
pub fn object_key(key: &OnceKey) -> Result<ObjectKey, IdError> {
    let mut hasher = blake3::Hasher::new_derive_key(KEY_CONTEXT);
    for part in [key.account.as_str(), key.route.as_str(), &key.key] {
        hasher.update(&(part.len() as u64).to_be_bytes());
        hasher.update(part.as_bytes());
    }
    let hash = hasher.finalize().to_hex();
    // The hash covers the account, so that a name too long for the key may be left out.
    let named = format!("once/{}/{hash}", key.account).parse();
    named.or_else(|_| format!("once/{hash}").parse())
}

/// The digest of a request, as kept.
pub fn digest_text(key: &OnceKey) -> CompactString {
    CompactString::from(blake3::Hash::from_bytes(key.digest).to_hex().as_str())
}
