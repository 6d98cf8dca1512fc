//! Callers: accept, authenticate, admit, dispatch, answer.
//!
//! A request passes these steps in order: it is counted as running ([`running`]), its key chooses
//! the account once ([`auth`]), it is parsed within bounds ([`parse`]), its cost is reserved, a
//! replica or instance is found, and the answer is relayed ([`relay`]). Whatever ends a request
//! early settles its cost and frees its slot, because both are held by values that do so on drop.

mod answer;
mod auth;
mod gate;
mod models;
mod parse;
mod plain;
mod relay;
mod running;
mod serve;

pub use answer::{json, refuse};
pub use auth::{Principal, Standing, Steady};
pub use gate::Gate;
pub use relay::Watch;
pub use running::{Running, Token};
pub use serve::{Edge, EdgeParts};
