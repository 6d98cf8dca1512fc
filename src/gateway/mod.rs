//! The gateway: routed requests before engines and plain services of a platform.
//!
//! The way of a request: [`serve`] accepts it, [`relay`] reads its head through the platform's
//! [`border::Dialect`], finds route and account in the [`table`], checks that keys may be trusted
//! ([`trust`]), takes the account's tokens ([`allowance`]), lets [`choose`] name an engine among
//! the [`fleet`] in use, waits for a model that is being loaded (`waiting`, [`demand`]), sends it
//! ([`exchange`]) and forwards the answer, whole events at a time ([`stream`], [`events`]).
//!
//! Beside it, [`follow`] keeps configuration and registrations, [`mesh`] tells the other VMs what
//! this one uses, and [`steer`] gives orders to engines while this VM holds the [`lease`], as
//! [`place`] and [`adapters`] decide.

pub mod adapters;
pub mod allowance;
pub mod answer;

pub mod border;
pub mod call;
pub mod ceiling;
pub mod choose;
pub mod client;
pub mod counts;
pub mod demand;
mod desk;
pub mod events;
pub mod exchange;
pub mod fleet;
pub mod follow;
pub mod framing;
pub mod lease;
pub mod mesh;
pub mod peers;
pub mod place;
pub mod relay;
pub mod repeats;
pub mod run;
pub mod serve;
pub mod state;
pub mod steer;
pub mod stream;
pub mod table;
pub mod touch;
pub mod trust;
pub mod upstream;
mod waiting;
