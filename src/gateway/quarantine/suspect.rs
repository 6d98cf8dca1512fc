//! What may crash an upstream: a part of a prompt, or a whole request.

use std::fmt;
use std::time::Instant;

use serde::{Deserialize, Serialize};

use crate::ids::{PartHash, RequestDigest};

use super::crashes::Written;

/// An input that may be the cause of crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Suspect {
    /// A part that many prompts may share.
    Part(PartHash),
    /// A whole request, known by its digest.
    Request(RequestDigest),
}

impl From<PartHash> for Suspect {
    fn from(part: PartHash) -> Self {
        Self::Part(part)
    }
}

impl From<RequestDigest> for Suspect {
    fn from(request: RequestDigest) -> Self {
        Self::Request(request)
    }
}

impl fmt::Display for Suspect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part(part) => write!(f, "part {part}"),
            Self::Request(request) => write!(f, "request {request}"),
        }
    }
}

/// A request whose response an engine broke off.
#[derive(Clone, Debug)]
pub struct BrokenRequest {
    /// Shared parts of its prompt.
    pub parts: Vec<PartHash>,
    /// Its digest.
    pub digest: RequestDigest,
    /// When it was sent to the engine.
    pub sent: Instant,
    /// How far the engine had come.
    pub written: Written,
}
