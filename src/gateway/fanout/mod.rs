//! A few VMs of each data centre read the platform's store for the others.
//!
//! A VM that reads the store ([`roles::Role::Reader`]) polls the configuration and the upstreams'
//! registrations. The other VMs of its data centre, the followers, ask it several times a second:
//! how old its newest read is, which configuration it has, and what changed among the registrations
//! since the version that the follower has. The response states an age, and the follower counts that
//! age from when it sent its own request ([`follower`]). Clocks of different VMs are never
//! compared, and whatever delays a response only makes it count as older.
//!
//! A follower that has no response that is fresh enough reads the store itself, as every VM does in a
//! small data centre. It reads a new configuration itself as well, and the registrations where its
//! reader does not have all changes since its own version.

pub mod change_log;
pub mod coverage;
pub mod exchange;
pub mod follower;
pub mod roles;
