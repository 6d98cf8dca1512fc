//! Declarations: what operators ask for, and the revision in force.
//!
//! A declaration is validated the same way offline, on submission and on reading, stored in parts
//! ([`chunk`]), accepted by one conditional write ([`Submitter`]), followed by every VM ([`ConfigWatcher`])
//! and read on the request path from the [`ActiveConfig`].

pub mod audit;
pub mod chunk;
pub mod config_sync;

mod active;
mod apply;
mod holder;
mod key;
mod summary;
mod validate;
mod watcher;

pub use active::{AccountAccess, ActivationError, ActiveConfig, ConfigSnapshot, KeyOwner};
pub use apply::{ApplyError, Change, Submitter, head_key};
pub use holder::ActiveConfigHolder;
pub use key::{Key, KeyError, KeyHash};
pub use validate::{DeclarationFault, validate};
pub use watcher::{ConfigWatcher, LastResponse, WatchBounds, WatchError};
