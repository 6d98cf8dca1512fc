//! A caller's request, decoded from the platform's HTTP headers.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use std::{fmt, mem};

use bytes::Bytes;
use compact_str::CompactString;
use http::{HeaderMap, Method, Uri};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ids::{AdapterId, ModelId, PartHash, RequestId};
use crate::units::Tokens;

/// The decoded head of a caller's request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Request id chosen by the caller; a caller that tries again sends a new one.
    pub id: RequestId,
    /// Method, forwarded unchanged.
    pub method: Method,
    /// Path and query, forwarded unchanged.
    pub uri: Uri,
    /// Host that the caller addressed, in lower case and without a port.
    pub host: CompactString,
    /// API key as the caller sent it, not yet checked.
    pub key: Option<CompactString>,
    /// How long the caller waits for the response; absent where it sets no bound.
    pub max_wait: Option<Duration>,
    /// Model or adapter asked for; absent for plain services.
    pub target: Option<Target>,
    /// Size in tokens, where the caller declares it.
    pub size: Option<Size>,
    /// Parts of the prompt, in order, that engines may have cached.
    pub prompt_parts: Vec<PromptPart>,
    /// Number of the last event that the caller received, where it resumes a stream.
    pub last_event: Option<u64>,
    /// Headers that are forwarded unchanged.
    pub headers: HeaderMap,
}

impl RequestHead {
    /// The parts of the prompt that other requests may share: all but the last one, which belongs
    /// to the request itself or to its session.
    pub fn shared_parts(&self) -> SharedParts<'_> {
        let parts = &self.prompt_parts;
        SharedParts(&parts[..parts.len().saturating_sub(1)])
    }
}

/// The shared parts of a prompt, in order; displayed as their hashes, separated by commas.
#[derive(Clone, Copy, Debug, Default)]
pub struct SharedParts<'a>(&'a [PromptPart]);

impl<'a> SharedParts<'a> {
    /// Hashes of the parts.
    pub fn hashes(self) -> impl Iterator<Item = PartHash> + Clone + use<'a> {
        self.0.iter().map(|part| part.hash)
    }
}

impl fmt::Display for SharedParts<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, part) in self.0.iter().enumerate() {
            let separator = if n == 0 { "" } else { "," };
            write!(f, "{separator}{}", part.hash)?;
        }
        Ok(())
    }
}

/// A model, or an adapter of one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Target {
    /// Name of the model.
    pub model: ModelId,
    /// Adapter of the model; absent for the model alone.
    pub adapter: Option<AdapterId>,
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.adapter {
            Some(adapter) => write!(f, "{}/{adapter}", self.model),
            None => write!(f, "{}", self.model),
        }
    }
}

/// Size of a generation, in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Length of the prompt.
    pub prompt: Tokens,
    /// Upper bound on the tokens generated.
    pub max_answer: Tokens,
}

impl Size {
    /// Prompt and generated tokens together, which count towards an account's quota.
    pub fn total(self) -> Tokens {
        self.prompt + self.max_answer
    }
}

/// A part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Hash of the part's content.
    pub hash: PartHash,
    /// Length of the part.
    pub tokens: Tokens,
}

/// Why the head of a request is rejected.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum HeadError {
    /// The request id is missing, repeated or invalid.
    #[error("the request id is missing or invalid")]
    Id,
    /// The host is missing or repeated.
    #[error("the host is missing or repeated")]
    Host,
    /// A header that the gateway interprets is repeated or has an invalid value.
    #[error("header {0} is repeated or invalid")]
    Header(&'static str),
}

/// A request whose body was read completely, so that it can be sent more than once.
#[derive(Debug)]
pub struct BufferedRequest {
    /// Head, decoded from the HTTP headers.
    pub head: RequestHead,
    /// Body, read to its end.
    pub body: KeptBody,
}

/// The body of a request, kept as long as it may have to be sent once more.
#[derive(Debug, Default)]
pub struct KeptBody(Mutex<Bytes>);

impl KeptBody {
    /// Keeps a body.
    pub fn new(bytes: Bytes) -> Self {
        Self(Mutex::new(bytes))
    }

    /// The body; empty once it was released.
    pub fn bytes(&self) -> Bytes {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Drops the body, which must not be sent any more.
    pub fn release(&self) {
        let bytes = mem::take(&mut *self.0.lock().unwrap_or_else(PoisonError::into_inner));
        drop(bytes);
    }
}
