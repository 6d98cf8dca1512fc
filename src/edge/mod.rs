//! The HTTP service for callers.
//!
//! The `listener` accepts a connection once a complete request head has arrived on it. Each
//! request is then counted as running (`request_tracker`), authenticated by its key, which
//! decides the client account (`auth`), and parsed within limits (`parse`). Its cost is
//! reserved, a replica or a service instance is selected, and the response is passed on, streamed
//! responses by `relay`. If a request ends early at any step, its cost is settled and its slot is
//! freed, because both are held by guards that do this on drop.

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
