//! The configuration in force: routes, services, client accounts and bounds on callers.
//!
//! A table is immutable; a new configuration replaces it whole.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;

use crate::ids::{ClientAccount, ModelId, RouteId, ServiceId};
use crate::units::{TokenRate, Tokens};

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    Mutating,
    /// Answers with events; runs at most once unless it may be resumed.
    Streaming {
        /// Whether another engine may go on after an event.
        resumable: bool,
        /// Longest pause between events that still counts as on time.
        gap: Duration,
    },
}

impl RouteKind {
    /// Whether a request that may have run may be sent again.
    pub fn retryable(self) -> bool {
        matches!(
            self,
            Self::Idempotent
                | Self::Streaming {
                    resumable: true,
                    ..
                }
        )
    }
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name.
    pub name: RouteId,
    /// Prefix of the path, with a slash at both ends.
    pub prefix: CompactString,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a request is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is on time.
    pub goal: Duration,
    /// Most engines that one request may be sent to.
    pub attempts: u32,
    /// Rank; 0 goes first.
    pub priority: u8,
    /// Whether it needs no key.
    pub public: bool,
    /// Services with their weights.
    pub targets: Vec<(ServiceId, u32)>,
}

impl Route {
    /// The service for a request, spread by `draw` in proportion to the weights.
    pub fn service(&self, draw: u64) -> Option<&ServiceId> {
        let total: u64 = self.targets.iter().map(|(_, w)| u64::from(*w)).sum();
        if total == 0 {
            return self.targets.first().map(|(service, _)| service);
        }
        let mut left = draw % total;
        for (service, weight) in &self.targets {
            let weight = u64::from(*weight);
            if left < weight {
                return Some(service);
            }
            left -= weight;
        }
        None
    }
}

/// A model that engines of a service may load.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Size of the weights, in megabytes.
    pub size_mb: f64,
    /// Number of adapters.
    pub adapters: u32,
    /// Size of one adapter, in megabytes.
    pub adapter_mb: f64,
    /// Load from the weight store.
    pub remote_time: Duration,
    /// Load from the engine's disk.
    pub disk_time: Duration,
    /// Load from the engine's memory.
    pub memory_time: Duration,
}

/// What the engines of a service can hold.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Models by name.
    pub models: BTreeMap<ModelId, Model>,
    /// Room for weights and adapters, in megabytes.
    pub capacity_mb: f64,
    /// Adapters that an engine may hold.
    pub adapter_slots: usize,
    /// Loads from the weight store a second, over all engines.
    pub remote_rate: f64,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its engines, where it serves models.
    pub engines: Option<Arc<EngineSpec>>,
}

/// A client account.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Name.
    pub name: ClientAccount,
    /// Rank that goes before the route's.
    pub priority: Option<u8>,
    /// Tokens a second; none where there is no limit.
    pub rate: Option<TokenRate>,
    /// What may be used at once.
    pub burst: Tokens,
    /// What rate and burst count.
    pub unit: RateUnit,
}

/// What an account's rate counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateUnit {
    /// Tokens; a request that does not tell its size counts `plain`.
    Tokens {
        /// Tokens of such a request.
        default_cost: Tokens,
    },
    /// Requests.
    Requests,
}

impl Account {
    /// What a request counts.
    pub fn cost(&self, size: Option<Tokens>) -> Tokens {
        match self.unit {
            RateUnit::Tokens { default_cost } => size.unwrap_or(default_cost),
            RateUnit::Requests => Tokens(1),
        }
    }
}

/// Bounds on what a caller may send and how long it may idle.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallerBounds {
    /// Greatest head, in bytes.
    pub head_bytes: usize,
    /// Greatest body, in bytes.
    pub body_bytes: usize,
    /// Longest time for a head to arrive.
    pub head_time: Duration,
    /// Longest time that a connection may idle.
    pub idle_time: Duration,
}

/// The configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// Its number; only ever grows.
    pub version: u64,
    /// Routes by host, the longest prefix first.
    pub routes: BTreeMap<CompactString, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// Accounts by key; none where no keys are asked for.
    pub keys: Option<BTreeMap<CompactString, Arc<Account>>>,
    /// Bounds on callers.
    pub bounds: CallerBounds,
}

impl Configuration {
    /// The route of a host and path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// The account that holds a key.
    pub fn account(&self, key: &str) -> Option<&Arc<Account>> {
        self.keys.as_ref()?.get(key)
    }

    /// Every account once.
    pub fn accounts(&self) -> BTreeMap<&ClientAccount, &Arc<Account>> {
        let keys = self.keys.iter().flat_map(BTreeMap::values);
        keys.map(|account| (&account.name, account)).collect()
    }

    /// What the engines of a service can hold.
    pub fn engine_spec(&self, service: &ServiceId) -> Option<&Arc<EngineSpec>> {
        self.services.get(service)?.engines.as_ref()
    }
}
