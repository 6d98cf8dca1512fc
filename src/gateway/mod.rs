//! The gateway: routes callers' requests to the engines and services of a platform.
//!
//! A request passes through these modules: [`serve`] accepts it; [`relay`] decodes its head with
//! the platform's [`platform_api::Dialect`], looks up the route and the client account in the
//! [`configuration`], checks that the configuration is fresh enough to trust keys ([`freshness`])
//! and charges the request to the account's quota ([`allowance`]). What callers hold of the VM's
//! memory and descriptors meanwhile is bounded ([`caller_limit`]). [`connection`] follows the state
//! of each caller's connection and [`caller_stream`] its socket; [`connection_bounds`] says how long
//! it may be idle, and [`unanswered`] counts what ends without a complete answer.
//!
//! Then [`balancer`] chooses one of the upstreams in use ([`fleet`]); if no engine holds the model,
//! the request waits for it to be loaded (`model_wait`, [`demand`]). A request that crashes engines,
//! as such or by a part of its prompt, is not sent ([`quarantine`]). An upstream that names a limit
//! gets no more requests from all VMs together ([`upstream_limit`]), and neither does one that is
//! warming up (`warm_up`). [`exchange`] sends the request, and [`stream`] and [`events`] forward
//! the response in complete events whose numbers are sound ([`event_numbers`]).
//!
//! When the VM is told to stop, [`stop`] plans until when what is answered, by what requests lately
//! took ([`answer_times`]) and how late its timers are ([`lateness`]).
//!
//! In the background, [`store_watch`] keeps the configuration, the registrations and the closed
//! data centres ([`centre_closure`]) up to date, [`mesh`] reports this VM's usage to the other VMs,
//! and [`controller`] orders engines to load and unload models and adapters while this VM holds the
//! [`lease`], as planned by [`placement`], [`crowding`] and [`adapter_placement`].

pub mod adapter_placement;
pub mod allowance;
pub mod answer_times;
pub mod attempt;
pub mod attempt_end;
pub mod balancer;
pub mod broadcast;
pub mod caller_limit;
pub mod caller_stream;
pub mod centre_closure;
pub mod client;
pub mod configuration;
pub mod connection;
pub mod connection_bounds;
pub mod controller;
pub mod crowding;
pub mod demand;
mod demand_entries;
pub mod engine_pace;
pub mod engine_run;
mod engine_state;
pub mod event_numbers;
mod event_room;
pub mod events;
pub mod exchange;
pub mod fanout;
pub mod fleet;
pub mod forgone;
mod forward_writes;
pub mod framing;
pub mod freshness;
mod generation_record;
pub mod head_wait;
mod hedge;
pub mod lateness;
mod leadership;
pub mod lease;
pub mod left_engines;
pub mod load_limiter;
pub mod log_limit;
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
pub mod read_meter;
pub mod recent_use;
pub mod registrar;
pub mod relay;
pub mod reload;
pub mod request;
pub mod request_digest;
pub mod request_time;
pub mod response;
pub mod retry_after;
pub mod retry_budget;
pub mod retry_metrics;
pub mod route_times;
pub mod run;
pub mod serve;
pub mod signals;
pub mod slowdown;
pub mod state;
pub mod stop;
pub mod store_watch;
pub mod stream;
pub mod stream_progress;
pub mod time_history;
pub mod unanswered;
mod unreadable_objects;
pub mod upstream;
pub mod upstream_limit;
mod warm_up;
