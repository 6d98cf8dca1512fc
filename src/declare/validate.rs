//! Checks of a declaration.
//!
//! The same checks run offline in the command line, when a change is submitted, and when a VM reads
//! a configuration.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use crate::ids::{AdapterId, CallerId, ClientAccount, KeyId, ModelId, RouteId};
use crate::schema::declaration::{Account, Declaration};

/// One fault in a declaration.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DeclarationFault {
    /// An account names a model that is not declared.
    NoModel(ClientAccount, ModelId),
    /// An account names an adapter that is not declared.
    NoAdapter(ClientAccount, AdapterId),
    /// An account may use an adapter but not the adapter's model.
    ModelNotReached(ClientAccount, AdapterId),
    /// An account names a route that is not declared.
    NoRoute(ClientAccount, RouteId),
    /// An adapter names a model that is not declared.
    AdapterModel(AdapterId),
    /// A model's minimum of replicas is above its maximum.
    Replicas(ModelId),
    /// A model has 0 slots, so that its replicas could serve no request.
    Slots(ModelId),
    /// A route's prefix does not begin with a slash, or is under `/v1/`, which the gateway itself
    /// serves.
    Prefix(RouteId),
    /// Two routes have the same prefix.
    SamePrefix(RouteId, RouteId),
    /// Two key names have the same hash, so that they are the same key.
    SameKey(KeyId, KeyId),
    /// Two keys have the same name.
    SameKeyName(KeyId),
    /// An account's name begins with an underscore, which is reserved for internal use.
    ReservedName(ClientAccount),
    /// An account's burst is 0, so that no request could ever run.
    ZeroBurst(ClientAccount),
    /// A caller's rate or burst is above its account's.
    CallerAboveAccount(ClientAccount, CallerId),
}

impl fmt::Display for DeclarationFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoModel(a, m) => write!(f, "account {a}: model {m} is not declared"),
            Self::NoAdapter(a, x) => write!(f, "account {a}: adapter {x} is not declared"),
            Self::ModelNotReached(a, x) => {
                write!(f, "account {a}: reaches adapter {x} but not its model")
            }
            Self::NoRoute(a, r) => write!(f, "account {a}: route {r} is not declared"),
            Self::AdapterModel(x) => write!(f, "adapter {x}: its model is not declared"),
            Self::Replicas(m) => write!(f, "model {m}: minimum is above maximum"),
            Self::Slots(m) => write!(f, "model {m}: slots must be at least 1"),
            Self::Prefix(r) => {
                write!(f, "route {r}: prefix must begin with / and not with /v1/")
            }
            Self::SamePrefix(r, s) => write!(f, "routes {r} and {s} have the same prefix"),
            Self::SameKey(k, l) => write!(f, "keys {k} and {l} are the same key"),
            Self::SameKeyName(k) => write!(f, "key name {k} is used twice"),
            Self::ReservedName(a) => write!(f, "account {a}: a name must not begin with _"),
            Self::ZeroBurst(a) => write!(f, "account {a}: burst must be at least 1"),
            Self::CallerAboveAccount(a, c) => {
                write!(
                    f,
                    "account {a}: caller {c} has a rate or burst above the account's"
                )
            }
        }
    }
}

/// Returns every fault of a declaration; it is valid if there are none.
pub fn validate(declaration: &Declaration) -> Vec<DeclarationFault> {
    let mut faults = Vec::new();
    check_models(declaration, &mut faults);
    check_routes(declaration, &mut faults);
    check_keys(declaration, &mut faults);
    for (name, account) in &declaration.accounts {
        check_account(declaration, name, account, &mut faults);
    }
    faults
}

fn check_models(declaration: &Declaration, faults: &mut Vec<DeclarationFault>) {
    for (name, model) in &declaration.models {
        if model.minimum > model.maximum {
            faults.push(DeclarationFault::Replicas(name.clone()));
        }
        if model.slots == 0 {
            faults.push(DeclarationFault::Slots(name.clone()));
        }
    }
    for (name, adapter) in &declaration.adapters {
        if !declaration.models.contains_key(&adapter.model) {
            faults.push(DeclarationFault::AdapterModel(name.clone()));
        }
    }
}

fn check_routes(declaration: &Declaration, faults: &mut Vec<DeclarationFault>) {
    let mut seen = BTreeMap::new();
    for (name, route) in &declaration.routes {
        if !route.prefix.starts_with('/') || route.prefix.starts_with("/v1/") {
            faults.push(DeclarationFault::Prefix(name.clone()));
        }
        if let Some(other) = seen.insert(&route.prefix, name) {
            faults.push(DeclarationFault::SamePrefix(other.clone(), name.clone()));
        }
    }
}

fn check_keys(declaration: &Declaration, faults: &mut Vec<DeclarationFault>) {
    let mut names = BTreeSet::new();
    let mut hashes = BTreeMap::new();
    let callers = declaration
        .accounts
        .values()
        .flat_map(|a| a.callers.values());
    for (name, hash) in callers.flat_map(|c| &c.keys) {
        if !names.insert(name) {
            faults.push(DeclarationFault::SameKeyName(name.clone()));
        }
        if let Some(other) = hashes.insert(hash, name) {
            faults.push(DeclarationFault::SameKey(other.clone(), name.clone()));
        }
    }
}

fn check_account(
    declaration: &Declaration,
    name: &ClientAccount,
    account: &Account,
    faults: &mut Vec<DeclarationFault>,
) {
    if name.as_str().starts_with('_') {
        faults.push(DeclarationFault::ReservedName(name.clone()));
    }
    if account.burst.0 == 0 {
        faults.push(DeclarationFault::ZeroBurst(name.clone()));
    }
    let models: BTreeSet<_> = account.models.iter().collect();
    for model in &models {
        if !declaration.models.contains_key(*model) {
            faults.push(DeclarationFault::NoModel(name.clone(), (*model).clone()));
        }
    }
    for adapter in &account.adapters {
        match declaration.adapters.get(adapter) {
            None => faults.push(DeclarationFault::NoAdapter(name.clone(), adapter.clone())),
            Some(found) if !models.contains(&found.model) => {
                faults.push(DeclarationFault::ModelNotReached(
                    name.clone(),
                    adapter.clone(),
                ));
            }
            Some(_) => {}
        }
    }
    for route in &account.routes {
        if !declaration.routes.contains_key(route) {
            faults.push(DeclarationFault::NoRoute(name.clone(), route.clone()));
        }
    }
    for (id, caller) in &account.callers {
        let rate = caller.rate.is_some_and(|rate| rate > account.rate);
        let burst = caller.burst.is_some_and(|burst| burst > account.burst);
        if rate || burst {
            faults.push(DeclarationFault::CallerAboveAccount(
                name.clone(),
                id.clone(),
            ));
        }
    }
}
