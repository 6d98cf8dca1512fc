//! Constructors of test values, shared by the tests of the gateway.
#![allow(dead_code, reason = "each test file uses a part")]

pub mod limited;
pub mod outbreak;
pub mod quota;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;
use std::str::FromStr;
use std::time::Duration;

use basilgw::gateway::request::{RequestHead, Target};
use basilgw::gateway::upstream::{ModelInventory, Registration};
use basilgw::units::TokenRate;
use http::{HeaderMap, Method, Uri};

/// Parses an id of any type.
pub fn id<T>(text: &str) -> T
where
    T: FromStr,
    T::Err: Debug,
{
    text.parse().expect("an id")
}

/// A duration in milliseconds.
pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A model, or an adapter of that model.
pub fn target(model: &str, adapter: Option<&str>) -> Target {
    Target {
        model: id(model),
        adapter: adapter.map(id),
    }
}

/// Models loaded without adapters, whose weights are also in the engine's memory and on its disk.
pub fn inventory(models: &[&str]) -> ModelInventory {
    ModelInventory {
        loaded: models
            .iter()
            .map(|m| (id(m), BTreeSet::default()))
            .collect::<BTreeMap<_, _>>(),
        in_memory: models.iter().map(|m| id(m)).collect(),
        on_disk: models.iter().map(|m| id(m)).collect(),
    }
}

/// Registration of an engine with eight slots and no models.
pub fn registration(name: &str, started_ms: u64) -> Registration {
    Registration {
        id: id(name),
        started_ms,
        service: id("svc"),
        address: "127.0.0.1:1".parse().expect("an address"),
        centre: id("dc1"),
        slots: 8,
        leaving: false,
        inventory: ModelInventory::default(),
        warm_up_ms: None,
    }
}

/// Head of a request for a model, or for a plain service.
pub fn request_head(name: &str, target: Option<Target>) -> RequestHead {
    RequestHead {
        id: id(name),
        method: Method::POST,
        uri: Uri::from_static("/a/"),
        host: "h".into(),
        key: None,
        max_wait: None,
        target,
        size: None,
        prompt_parts: Vec::new(),
        last_event: None,
        headers: HeaderMap::new(),
    }
}

/// A rate in tokens per second.
pub fn rate(per_second: f64) -> TokenRate {
    TokenRate::new(per_second).expect("a rate")
}
