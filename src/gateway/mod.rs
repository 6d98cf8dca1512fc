//! The gateway: routes callers' requests to the engines and services of a platform.
//!
//! A request passes through these modules: [`serve`] accepts it; [`relay`] decodes its head with
//! the platform's [`platform_api::Dialect`], looks up the route and the client account in the
//! [`configuration`], checks that the configuration is fresh enough to trust keys ([`freshness`])
//! and charges the request to the account's quota ([`allowance`]). Then [`balancer`] chooses one of
//! the upstreams in use ([`fleet`]); if no engine holds the model, the request waits for it to be
//! loaded (`model_wait`, [`demand`]). A request that crashes engines, as such or by a part of its prompt, is
//! not sent ([`quarantine`]). An upstream that names a limit gets no more requests from all VMs
//! together ([`upstream_limit`]). [`exchange`] sends the request, and [`stream`] and [`events`]
//! forward the response in complete events.
//!
//! In the background, [`store_watch`] keeps the configuration and the registrations up to date,
//! [`mesh`] reports this VM's usage to the other VMs, and [`controller`] orders engines to load and
//! unload models and adapters while this VM holds the [`lease`], as planned by [`placement`] and
//! [`adapter_placement`].

pub mod adapter_placement;
pub mod allowance;
pub mod attempt;
pub mod balancer;
pub mod client;
pub mod configuration;
pub mod controller;
pub mod demand;
mod demand_entries;
pub mod engine_run;
mod engine_state;
pub mod events;
pub mod exchange;
pub mod fanout;
pub mod fleet;
mod forgone;
pub mod framing;
pub mod freshness;
mod leadership;
pub mod lease;
pub mod load_limiter;
pub mod mesh;
pub mod metrics;
pub mod model_wait;
pub mod peers;
pub mod placement;
pub mod platform_api;
pub mod quarantine;
pub mod quota_order;
pub mod quota_refusals;
pub mod reachability;
pub mod relay;
pub mod request;
pub mod request_digest;
pub mod response;
pub mod retry_after;
pub mod retry_budget;
pub mod run;
pub mod serve;
pub mod signals;
pub mod state;
pub mod store_watch;
pub mod stream;
pub mod stream_progress;
pub mod upstream;
pub mod upstream_limit;
