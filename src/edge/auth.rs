//! Who a request runs for.
//!
//! The key chooses the account here, once; from then on the account travels as a typed value and
//! is never read from the request again.

use std::fmt::Debug;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::header::AUTHORIZATION;

use crate::declare::{ActiveConfig, Key, KeyHash, KeyOwner};
use crate::outcome::{Reason, Refusal};

const SCHEME: &str = "Bearer ";
const RETRY_AFTER: Duration = Duration::from_secs(1);
const RECHECK: Duration = Duration::from_secs(1);

/// Says whether this VM may still trust the keys it knows.
pub trait KeyTrust: Send + Sync + Debug {
    /// False once this VM has been cut off alone for longer than the bound.
    fn keys_trusted(&self) -> bool;
}

/// A VM that always trusts its keys; for a fleet of one.
#[derive(Clone, Copy, Debug, Default)]
pub struct AlwaysTrusted;

impl KeyTrust for AlwaysTrusted {
    fn keys_trusted(&self) -> bool {
        true
    }
}

/// The authenticated holder of a key.
#[derive(Clone, Debug)]
pub struct Principal {
    /// Who holds the key.
    pub owner: KeyOwner,
    hash: KeyHash,
    active_config: Arc<ActiveConfig>,
    key_trust: Arc<dyn KeyTrust>,
}

impl Principal {
    /// Whether the key is still in force.
    pub fn in_force(&self) -> bool {
        self.key_trust.keys_trusted() && self.active_config.current().has_key(&self.hash)
    }

    /// Completes once the key is no longer in force.
    pub async fn withdrawn(&self) {
        let mut news = self.active_config.subscribe();
        while self.in_force() {
            // The timer covers a VM that is cut off, which no news reaches.
            let changed = tokio::time::timeout(RECHECK, news.changed()).await;
            if matches!(changed, Ok(Err(_))) {
                return;
            }
        }
    }
}

/// Finds the holder of the key that a request carries.
///
/// # Errors
///
/// [`Reason::Unauthorized`] without a key in force; [`Reason::NotReady`] without a configuration
/// or where this VM no longer trusts its keys.
pub fn authenticate(
    headers: &HeaderMap,
    active_config: &Arc<ActiveConfig>,
    key_trust: &Arc<dyn KeyTrust>,
) -> Result<Principal, Refusal> {
    let current = active_config.current();
    if current.head.is_none() || !key_trust.keys_trusted() {
        return Err(Refusal::not_run(Reason::NotReady).retry_after(RETRY_AFTER));
    }
    let unauthorized = || Refusal::not_run(Reason::Unauthorized);
    let key = bearer(headers).ok_or_else(unauthorized)?;
    let hash = key.hash();
    let owner = current.key_owner(&hash).ok_or_else(unauthorized)?;
    Ok(Principal {
        owner: owner.clone(),
        hash,
        active_config: Arc::clone(active_config),
        key_trust: Arc::clone(key_trust),
    })
}

/// The key that a request carries, if it carries one.
pub fn bearer(headers: &HeaderMap) -> Option<Key> {
    let text = headers.get(AUTHORIZATION)?.to_str().ok()?;
    text.strip_prefix(SCHEME)?.trim().parse().ok()
}
