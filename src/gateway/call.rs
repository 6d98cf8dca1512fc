//! A caller's request as the gateway sees it, decoded from whatever the platform's callers send.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http::{HeaderMap, Method, Uri};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ids::{AdapterId, ModelId, RequestId};
use crate::units::Tokens;

/// The head of a request.
#[derive(Clone, Debug)]
pub struct Call {
    /// The caller's id of this attempt.
    pub id: RequestId,
    /// Method, forwarded unchanged.
    pub method: Method,
    /// Path and query, forwarded unchanged.
    pub uri: Uri,
    /// Host that the caller addressed, without a port.
    pub host: CompactString,
    /// The key, as presented.
    pub key: Option<CompactString>,
    /// How long the caller waits.
    pub budget: Option<Duration>,
    /// The model asked for.
    pub target: Option<Target>,
    /// Prompt and greatest answer.
    pub size: Option<Size>,
    /// Parts of the prompt, in order, that engines may keep.
    pub parts: Vec<Part>,
    /// The event after which the caller resumes.
    pub resumed: Option<u64>,
    /// Headers that may be forwarded as they are.
    pub headers: HeaderMap,
}

/// A model, or an adapter of one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Target {
    /// Model.
    pub model: ModelId,
    /// Adapter of it.
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

/// The size of a generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Most tokens generated.
    pub answer: Tokens,
}

impl Size {
    /// Both together, the measure of rates.
    pub fn total(self) -> Tokens {
        self.prompt + self.answer
    }
}

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Its hash.
    pub hash: u64,
    /// Its length.
    pub tokens: Tokens,
}

/// Why a request's head cannot be used.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum CallFault {
    /// No id, or an unusable one.
    #[error("the request has no usable id")]
    Id,
    /// No host, or several.
    #[error("the request names no host")]
    Host,
    /// Two framings at once.
    #[error("the request has two framings")]
    Framing,
    /// A header of the system's has an unusable value.
    #[error("header {0} cannot be read")]
    Header(&'static str),
}

/// A request with its body, read whole so that it can be sent again.
#[derive(Clone, Debug)]
pub struct Whole {
    /// Head.
    pub call: Call,
    /// Body.
    pub body: Bytes,
}
