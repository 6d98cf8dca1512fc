//! The configuration in force: routes, services, client accounts and limits on callers.
//!
//! A [`Configuration`] is immutable; a newer one replaces it as a whole. Its entries are read one
//! by one. What an unreadable entry would have decided is not decided by the others in its place:
//! requests under such a route, and those with a key of such an account, are refused as not ready.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;

use crate::ids::{ClientAccount, ModelId, RouteId, ServiceId};
use crate::units::{RequestRate, TokenRate, Tokens};

/// Kind of the requests on a route, which decides whether they may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    Mutating,
    /// The response is a stream of events; a request runs at most once unless it is resumable.
    Streaming {
        /// Whether another engine can continue the stream after any event.
        resumable: bool,
        /// Objective for the time between two events.
        gap: Duration,
    },
}

impl RouteKind {
    /// Name in the log.
    pub fn label(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::Mutating => "mutating",
            Self::Streaming {
                resumable: true, ..
            } => "resumable",
            Self::Streaming { .. } => "streaming",
        }
    }

    /// Whether a request that may have run already may be sent again.
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

/// Identifies a route over configurations by the requests that it serves; its name may move to other
/// requests.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RouteKey {
    /// Host of its requests, in lowercase.
    pub host: CompactString,
    /// Prefix of their paths.
    pub prefix: CompactString,
}

/// Requests of one path prefix on one host, and how they are served.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name in the operators' configuration.
    pub name: RouteId,
    /// Prefix of the path, with a slash at both ends.
    pub prefix: CompactString,
    /// Whether requests may be retried, and whether responses are streams.
    pub kind: RouteKind,
    /// Longest time until a request is answered or refused; a caller may ask for less.
    pub timeout: Duration,
    /// Objective for the time until the response, or the first event of a stream, begins.
    pub goal: Duration,
    /// Greatest number of upstreams that one request is sent to, the first included.
    pub attempts: u32,
    /// Priority of the requests at the engine, where the account sets none; 0 is served first.
    pub priority: u8,
    /// Whether requests need no key.
    pub public: bool,
    /// Services that share the requests, with their weights.
    pub targets: Vec<(ServiceId, u32)>,
}

impl Route {
    /// Chooses a service in proportion to the weights; `hash` is a hash of the request's id.
    /// Returns `None` if the route has no services.
    pub fn service(&self, hash: u64) -> Option<&ServiceId> {
        let total: u64 = self.targets.iter().map(|(_, w)| u64::from(*w)).sum();
        if total == 0 {
            return self.targets.first().map(|(service, _)| service);
        }
        let mut rest = hash % total;
        for (service, weight) in &self.targets {
            let weight = u64::from(*weight);
            if rest < weight {
                return Some(service);
            }
            rest -= weight;
        }
        None
    }
}

/// A model that engines of a service may load.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Size of the weights, in megabytes.
    pub size_mb: f64,
    /// Number of adapters of the model.
    pub adapters: u32,
    /// Size of one adapter, in megabytes.
    pub adapter_mb: f64,
    /// Time to load the weights from the weight store.
    pub remote_time: Duration,
    /// Time to load the weights from the engine's disk.
    pub disk_time: Duration,
    /// Time to load the weights from the engine's memory.
    pub memory_time: Duration,
}

/// What the engines of a service can hold; all engines of a service are alike.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Models that the engines may load, by name.
    pub models: BTreeMap<ModelId, Model>,
    /// Space of one engine for weights and adapters together, in megabytes.
    pub capacity_mb: f64,
    /// Greatest number of adapters on one engine.
    pub adapter_slots: usize,
    /// Greatest rate of loads from the weight store, in loads a second over all engines.
    pub remote_rate: f64,
}

/// How the upstreams of a service warm up after their start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStart {
    /// How long that takes.
    pub length: Duration,
    /// Requests a second that such an upstream takes from all VMs together.
    pub rate: RequestRate,
}

/// A group of interchangeable upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// What its upstreams can hold, if they are engines; `None` for a plain service.
    pub engines: Option<Arc<EngineSpec>>,
    /// How its upstreams warm up; `None` where they need not.
    pub slow_start: Option<SlowStart>,
}

/// A client account and its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Name in the operators' configuration.
    pub name: ClientAccount,
    /// Priority of the account's requests in place of the route's; 0 is served first.
    pub priority: Option<u8>,
    /// Rate of the quota, in `unit`s a second; `None` where there is no limit.
    pub rate: Option<TokenRate>,
    /// Burst of the quota, in `unit`s.
    pub burst: Tokens,
    /// Unit of the rate and the burst.
    pub unit: RateUnit,
}

/// Unit of an account's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateUnit {
    /// Tokens of the prompt and of the longest response asked for.
    Tokens {
        /// Cost of a request that does not state its size.
        default_cost: Tokens,
    },
    /// Requests.
    Requests,
}

impl Account {
    /// Cost of a request in the account's unit; `size` is its tokens, where it states them.
    pub fn cost(&self, size: Option<Tokens>) -> Tokens {
        match self.unit {
            RateUnit::Tokens { default_cost } => size.unwrap_or(default_cost),
            RateUnit::Requests => Tokens(1),
        }
    }
}

/// Limits on what a caller may send and on how long its connection may be idle.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallerBounds {
    /// Greatest size of a request's head, in bytes.
    pub head_bytes: usize,
    /// Greatest size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Longest time that a request's head may take to arrive.
    pub head_time: Duration,
    /// Longest time that a connection may be idle.
    pub idle_time: Duration,
}

/// Host and prefix of a route that could not be read; each is absent where it could not be read
/// either.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UnreadableRoute {
    /// Host of its requests, in lowercase.
    pub host: Option<CompactString>,
    /// Prefix of their paths.
    pub prefix: Option<CompactString>,
}

impl UnreadableRoute {
    /// Length of its prefix, 0 if that is not known, where it may be the request's route.
    fn match_length(&self, host: &str, path: &str) -> Option<usize> {
        let prefix = self.prefix.as_deref().unwrap_or_default();
        let same_host = self.host.as_deref().is_none_or(|own| own == host);
        (same_host && path.starts_with(prefix)).then_some(prefix.len())
    }
}

/// Why an entry of a configuration could not be read, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryFault {
    /// Section, position and, where it can be read, the name of the entry.
    pub entry: CompactString,
    /// What is wrong.
    pub error: CompactString,
}

/// Entries of a configuration that could not be read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UnreadableEntries {
    /// Routes among them.
    pub routes: Vec<UnreadableRoute>,
    /// Keys of the client accounts among them.
    pub keys: BTreeSet<CompactString>,
    /// Whether these accounts may have keys that could not be read either.
    pub more_keys: bool,
    /// What was wrong with each entry.
    pub faults: Vec<EntryFault>,
}

/// Why the configuration names no route or account for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Missing {
    /// There is none.
    Unknown,
    /// An entry that could not be read may name one.
    Unreadable,
}

/// A version of the operators' configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// Version number; a newer configuration has a greater one.
    pub version: u64,
    /// Routes by host, those with the longest prefix first.
    pub routes: BTreeMap<CompactString, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// Client accounts by key; `None` where requests need no keys.
    pub keys: Option<BTreeMap<CompactString, Arc<Account>>>,
    /// Limits on callers.
    pub bounds: CallerBounds,
    /// Entries that could not be read.
    pub unreadable: UnreadableEntries,
}

impl CallerBounds {
    /// Bounds before a configuration is known, and in place of those that cannot be read.
    pub const DEFAULT: Self = Self {
        head_bytes: 16 << 10,
        body_bytes: 4 << 20,
        head_time: Duration::from_secs(3),
        idle_time: Duration::from_secs(15),
    };
}

impl Configuration {
    /// Finds the route with the longest prefix that matches the host and the path.
    ///
    /// # Errors
    ///
    /// [`Missing`], also where an unreadable route has a prefix at least as long.
    pub fn route(&self, host: &str, path: &str) -> Result<&Arc<Route>, Missing> {
        let routes = self.routes.get(host).into_iter().flatten();
        let found = routes
            .into_iter()
            .find(|route| path.starts_with(&*route.prefix));
        let unreadable = self.unreadable.routes.iter();
        let longest = unreadable.filter_map(|r| r.match_length(host, path)).max();
        match (found, longest) {
            (Some(route), Some(length)) if length >= route.prefix.len() => Err(Missing::Unreadable),
            (Some(route), _) => Ok(route),
            (None, Some(_)) => Err(Missing::Unreadable),
            (None, None) => Err(Missing::Unknown),
        }
    }

    /// Finds the route for the requests of another configuration's route.
    pub fn route_of(&self, key: &RouteKey) -> Option<&Arc<Route>> {
        let mut routes = self.routes.get(&key.host)?.iter();
        routes.find(|route| route.prefix == key.prefix)
    }

    /// Finds the client account that owns a key.
    ///
    /// # Errors
    ///
    /// [`Missing`], also where an unreadable account has the key as well.
    pub fn account(&self, key: &str) -> Result<&Arc<Account>, Missing> {
        if self.unreadable.keys.contains(key) {
            return Err(Missing::Unreadable);
        }
        let found = self.keys.as_ref().and_then(|keys| keys.get(key));
        let missing = if self.unreadable.more_keys {
            Missing::Unreadable
        } else {
            Missing::Unknown
        };
        found.ok_or(missing)
    }

    /// All client accounts by name; an account with several keys is listed once.
    pub fn accounts(&self) -> BTreeMap<&ClientAccount, &Arc<Account>> {
        let keys = self.keys.iter().flat_map(BTreeMap::values);
        keys.map(|account| (&account.name, account)).collect()
    }

    /// What the engines of a service can hold; `None` if the service is unknown or has no engines.
    pub fn engine_spec(&self, service: &ServiceId) -> Option<&Arc<EngineSpec>> {
        self.services.get(service)?.engines.as_ref()
    }

    /// How upstreams warm up, for each service whose upstreams need it.
    pub fn slow_starts(&self) -> BTreeMap<&ServiceId, SlowStart> {
        let services = self.services.iter();
        services
            .filter_map(|(name, service)| Some((name, service.slow_start?)))
            .collect()
    }

    /// How the upstreams of a service warm up; `None` if they need not.
    pub fn slow_start(&self, service: &ServiceId) -> Option<SlowStart> {
        self.services.get(service)?.slow_start
    }
}
