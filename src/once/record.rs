//! The record of a non-idempotent request, as it is written to the platform's store.
//!
//! A record is created before the request is dispatched and names the only attempt that may
//! dispatch it. The record is deleted if the request certainly did not run. Otherwise it stays, and
//! no later attempt may dispatch the request.

use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::{OnceKey, RecordedResponse};
use crate::ids::{Generation, IdError, ObjectKey, VmId};

/// Largest response body that is stored in a record.
pub const MAX_BODY_BYTES: usize = 128 << 10;

const KEY_CONTEXT: &str = "basilgw 2026 once record";

/// Record of one request, encoded as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Identifier of the attempt that may dispatch the request.
    pub attempt: CompactString,
    /// VM that makes the attempt.
    pub vm: VmId,
    /// Generation of that VM.
    pub generation: Generation,
    /// Start of the attempt in milliseconds since the Unix epoch, for operators and for the removal
    /// of old records; it decides nothing here.
    #[serde(rename = "wall")]
    pub started_ms: u64,
    /// Hash of the request, in hexadecimal.
    pub digest: CompactString,
    /// Progress or outcome of the attempt.
    pub state: RecordState,
}

/// Progress or outcome of the attempt that a record names.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordState {
    /// The request is being dispatched, or its VM stopped and no repeat has noticed it yet.
    InProgress,
    /// The request ran, with this response.
    Ran(StoredResponse),
    /// The request may have run: its outcome is unknown, or its VM stopped before it recorded one.
    Unknown,
}

/// A response as it is stored in a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Value of the `content-type` header; empty if the upstream sent none that is text.
    #[serde(rename = "media")]
    pub content_type: CompactString,
    /// Body, or its size if it is too large to store.
    pub body: StoredBody,
}

/// A response body as it is stored in a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoredBody {
    /// A body that is valid UTF-8.
    Text(String),
    /// Any other body.
    Bytes(Vec<u8>),
    /// A body larger than [`MAX_BODY_BYTES`], which is not stored; its size in bytes.
    Omitted(u64),
}

impl Record {
    /// Encodes the record as JSON.
    pub fn encode(&self) -> Option<Bytes> {
        serde_json::to_vec(self).ok().map(Bytes::from)
    }

    /// Decodes a record; `None` if the value is not a valid record.
    pub fn decode(value: &[u8]) -> Option<Self> {
        serde_json::from_slice(value).ok()
    }
}

impl StoredResponse {
    /// Converts a response for storage, without a body larger than [`MAX_BODY_BYTES`].
    pub fn new(response: &RecordedResponse) -> Self {
        Self {
            status: response.status,
            content_type: response.content_type.clone(),
            body: StoredBody::new(&response.body),
        }
    }

    /// Restores the response; `None` if its body was too large to store.
    pub fn to_response(&self) -> Option<RecordedResponse> {
        let body = match &self.body {
            StoredBody::Text(text) => Bytes::copy_from_slice(text.as_bytes()),
            StoredBody::Bytes(bytes) => Bytes::copy_from_slice(bytes),
            StoredBody::Omitted(_) => return None,
        };
        Some(RecordedResponse {
            status: self.status,
            content_type: self.content_type.clone(),
            body,
        })
    }
}

impl StoredBody {
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

/// Computes the store key of a request's record.
pub fn record_key(key: &OnceKey) -> Result<ObjectKey, IdError> {
    let mut hasher = blake3::Hasher::new_derive_key(KEY_CONTEXT);
    for part in [key.account.as_str(), key.route.as_str(), &key.key] {
        hasher.update(&(part.len() as u64).to_be_bytes());
        hasher.update(part.as_bytes());
    }
    let hash = hasher.finalize().to_hex();
    // An account name that makes the key too long is left out; the hash covers the account anyway.
    let named = format!("once/{}/{hash}", key.account).parse();
    named.or_else(|_| format!("once/{hash}").parse())
}

/// Formats the hash of a request in hexadecimal, as it is stored in its record.
pub fn format_digest(key: &OnceKey) -> CompactString {
    CompactString::from(blake3::Hash::from_bytes(key.digest).to_hex().as_str())
}
