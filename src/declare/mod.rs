//! Declarations: the accounts, models, adapters and routes that operators configure.
//!
//! [`validate`] checks a declaration: offline, on submission and whenever a VM reads one. A
//! [`Submitter`] stores it in chunks ([`chunk`]) and makes it the newest revision by one conditional
//! write of the head object. Each VM learns of a new revision from the store ([`ConfigWatcher`]) or
//! from another VM ([`config_sync`]). The request path reads the revision in force from
//! [`ActiveConfig`].

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
