//! Callers: accept, authenticate, admit, dispatch, answer.
//!
//! A request passes these steps in order: it is counted as running ([`request_tracker`]), its key chooses
//! the account once ([`auth`]), it is parsed within bounds ([`parse`]), its cost is reserved, a
//! replica or instance is found, and the answer is relayed ([`relay`]). Whatever ends a request
//! early settles its cost and frees its slot, because both are held by values that do so on drop.

mod auth;
mod completion;
mod listener;
mod parse;
mod relay;
mod request_tracker;
mod response;
mod serve;
mod service;

pub use auth::{AlwaysTrusted, KeyTrust, Principal};
pub use listener::CallerListener;
pub use relay::StreamMonitor;
pub use request_tracker::{RequestGuard, RequestTracker};
pub use response::{json_response, refusal_response};
pub use serve::{Edge, EdgeDeps};
