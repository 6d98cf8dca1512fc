//! Authenticates requests by the key that they carry.
//!
//! The account of a request is determined here, once, from its key. Later steps receive it as a
//! [`Principal`] and never read it from the request again.

use std::fmt::Debug;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::header::AUTHORIZATION;

use crate::declare::{ActiveConfig, Key, KeyHash, KeyOwner};
use crate::outcome::{Reason, Refusal};

/// Prefix of the `Authorization` header's value, before the key.
const SCHEME: &str = "Bearer ";
/// Sent to callers as the time to wait before a retry while this VM is not ready.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Interval at which a key is checked again if no new configuration arrives.
const RECHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Decides whether this VM may rely on the keys in its configuration.
pub trait KeyTrust: Send + Sync + Debug {
    /// Whether a key in the configuration may be accepted. `false` if a withdrawal may have missed
    /// this VM, for example because it is isolated from all other VMs.
    fn keys_trusted(&self) -> bool;
}

/// Always trusts the configuration, for a single VM.
#[derive(Clone, Copy, Debug, Default)]
pub struct AlwaysTrusted;

impl KeyTrust for AlwaysTrusted {
    fn keys_trusted(&self) -> bool {
        true
    }
}

/// The authenticated sender of a request.
#[derive(Clone, Debug)]
pub struct Principal {
    /// Account and caller that own the key.
    pub owner: KeyOwner,
    hash: KeyHash,
    active_config: Arc<ActiveConfig>,
    key_trust: Arc<dyn KeyTrust>,
}

impl Principal {
    /// Whether the key is still in the configuration and this VM may rely on it.
    pub fn is_key_valid(&self) -> bool {
        self.key_trust.keys_trusted() && self.active_config.current().has_key(&self.hash)
    }

    /// Waits until the key is no longer valid.
    pub async fn wait_withdrawn(&self) {
        let mut revisions = self.active_config.subscribe();
        while self.is_key_valid() {
            // An isolated VM receives no new revision, but stops trusting its keys after a while;
            // the timeout makes this loop check that too.
            let changed = tokio::time::timeout(RECHECK_INTERVAL, revisions.changed()).await;
            if matches!(changed, Ok(Err(_))) {
                return;
            }
        }
    }
}

/// Determines the sender of a request from the key that the request carries.
///
/// # Errors
///
/// [`Reason::Unauthorized`] if the request carries no valid key; [`Reason::NotReady`] if this VM has
/// no configuration yet or may not rely on the keys in it.
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
    let key = bearer_key(headers).ok_or_else(unauthorized)?;
    let hash = key.hash();
    let owner = current.key_owner(&hash).ok_or_else(unauthorized)?;
    Ok(Principal {
        owner: owner.clone(),
        hash,
        active_config: Arc::clone(active_config),
        key_trust: Arc::clone(key_trust),
    })
}

/// Reads the key from the `Authorization` header; `None` if there is no well-formed key.
pub fn bearer_key(headers: &HeaderMap) -> Option<Key> {
    let text = headers.get(AUTHORIZATION)?.to_str().ok()?;
    text.strip_prefix(SCHEME)?.trim().parse().ok()
}
