//! Declarations: what operators ask for, and the revision in force.
//!
//! A declaration is validated the same way offline, on submission and on reading, stored in parts
//! ([`chunk`]), accepted by one conditional write ([`Submitter`]), followed by every VM ([`Feed`])
//! and read on the request path from the [`Board`].

pub mod audit;
pub mod chunk;
pub mod config_sync;

mod apply;
mod board;
mod feed;
mod holder;
mod key;
mod summary;
mod validate;

pub use apply::{ApplyError, Change, Submitter, head_key};
pub use board::{Board, Holder, InForce, OfferError, Reach};
pub use feed::{Feed, FeedBounds, FeedError, Heard};
pub use holder::BoardHolder;
pub use key::{Key, KeyError, KeyHash};
pub use validate::{DeclarationFault, validate};
