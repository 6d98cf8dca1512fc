//! What became of a request.
//!
//! A refusal names its reason, whether the request ran, and when to come back. [`Ran::No`] is a
//! promise: no byte of the request left for an upstream, or the upstream itself said that it did
//! not run. Once a byte has left, a failure is [`Ran::Unknown`] until an answer says otherwise.

use std::time::Duration;

use thiserror::Error;

pub use crate::schema::caller::{ErrorCode, Ran};

/// Why a request was refused or failed.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// The request cannot be parsed, or a field has the wrong type.
    #[error("the request is malformed")]
    Malformed,
    /// The body exceeds the bound of the settings.
    #[error("the request body is too large")]
    TooLarge,
    /// The head exceeds the bound of the settings.
    #[error("the request head is too large")]
    HeaderTooLarge,
    /// No key, or one that no account holds.
    #[error("a valid key is required")]
    Unauthorized,
    /// The key was withdrawn while the request ran.
    #[error("the key was withdrawn")]
    Withdrawn,
    /// The account may not reach what was asked for.
    #[error("the key does not reach this model, adapter or route")]
    Forbidden,
    /// No such model or adapter, as far as this key can see.
    #[error("the model or adapter is not known")]
    UnknownModel,
    /// No such route.
    #[error("the route is not known")]
    UnknownRoute,
    /// The account's or the caller's rate and burst are used up.
    #[error("the rate and burst are used up")]
    OverRate,
    /// The request, or a part of its prompt, crashes upstreams.
    #[error("the request or a part of its prompt crashes upstreams and is held back")]
    Quarantined,
    /// The answer cannot be there by the deadline.
    #[error("the deadline cannot be met")]
    Deadline,
    /// A queue or a memory bound is reached.
    #[error("no capacity is free")]
    Capacity,
    /// This VM holds no configuration yet, or was cut off alone.
    #[error("this VM is not ready")]
    NotReady,
    /// This VM shuts down.
    #[error("this VM shuts down")]
    ShuttingDown,
    /// The upstream answered with a failure, or cut its answer short.
    #[error("the upstream failed")]
    UpstreamFailed,
    /// The upstream said nothing for longer than the bound.
    #[error("the upstream went silent")]
    UpstreamSilent,
    /// The same idempotency key is being served.
    #[error("a request with this idempotency key is in progress")]
    InProgress,
    /// The idempotency key was used for another request.
    #[error("the idempotency key belongs to another request")]
    Conflict,
    /// The platform's store cannot record what must be recorded first.
    #[error("the platform's store is not available")]
    StoreUnavailable,
    /// The caller sent its request too slowly.
    #[error("the request took too long to arrive")]
    Timeout,
    /// A fault of this program.
    #[error("internal error")]
    Internal,
}

impl Reason {
    /// The stable code callers see.
    pub fn code(self) -> ErrorCode {
        match self {
            Self::Malformed => ErrorCode::Malformed,
            Self::TooLarge => ErrorCode::TooLarge,
            Self::HeaderTooLarge => ErrorCode::HeaderTooLarge,
            Self::Unauthorized => ErrorCode::Unauthorized,
            Self::Withdrawn => ErrorCode::Withdrawn,
            Self::Forbidden => ErrorCode::Forbidden,
            Self::UnknownModel => ErrorCode::UnknownModel,
            Self::UnknownRoute => ErrorCode::UnknownRoute,
            Self::OverRate => ErrorCode::OverRate,
            Self::Quarantined => ErrorCode::Quarantined,
            Self::Deadline => ErrorCode::Deadline,
            Self::Capacity => ErrorCode::Capacity,
            Self::NotReady => ErrorCode::NotReady,
            Self::ShuttingDown => ErrorCode::ShuttingDown,
            Self::UpstreamFailed => ErrorCode::UpstreamFailed,
            Self::UpstreamSilent => ErrorCode::UpstreamSilent,
            Self::InProgress => ErrorCode::InProgress,
            Self::Conflict => ErrorCode::Conflict,
            Self::StoreUnavailable => ErrorCode::StoreUnavailable,
            Self::Timeout => ErrorCode::Timeout,
            Self::Internal => ErrorCode::Internal,
        }
    }

    /// The HTTP status callers see.
    pub fn status(self) -> u16 {
        match self {
            Self::Malformed => 400,
            Self::Unauthorized | Self::Withdrawn => 401,
            Self::Forbidden => 403,
            Self::UnknownModel | Self::UnknownRoute => 404,
            Self::Timeout => 408,
            Self::InProgress | Self::Conflict => 409,
            Self::TooLarge => 413,
            Self::OverRate => 429,
            Self::HeaderTooLarge => 431,
            Self::Internal => 500,
            Self::UpstreamFailed => 502,
            Self::Capacity
            | Self::NotReady
            | Self::Quarantined
            | Self::ShuttingDown
            | Self::StoreUnavailable => 503,
            Self::Deadline | Self::UpstreamSilent => 504,
        }
    }
}

/// A request that was refused or failed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{reason}")]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// Whether the request ran.
    pub ran: Ran,
    /// When to come back, where that may help.
    pub retry: Option<Duration>,
}

impl Refusal {
    /// A refusal of a request that did not run.
    pub fn not_run(reason: Reason) -> Self {
        Self {
            reason,
            ran: Ran::No,
            retry: None,
        }
    }

    /// A failure after which nobody knows whether the request ran.
    pub fn unknown(reason: Reason) -> Self {
        Self {
            reason,
            ran: Ran::Unknown,
            retry: None,
        }
    }

    /// A failure of a request that ran.
    pub fn ran(reason: Reason) -> Self {
        Self {
            reason,
            ran: Ran::Yes,
            retry: None,
        }
    }

    /// The same, with the time after which to come back.
    #[must_use]
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry = Some(wait);
        self
    }
}
