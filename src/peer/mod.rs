//! Links between VMs, and the state that VMs exchange over them.
//!
//! A link is a WebSocket connection on which each message carries one CBOR frame ([`frame`],
//! [`link`]). [`membership`] merges the platform's instance list, which lags, with what peer VMs
//! report; [`gossip`] chooses the VMs to which digests are sent. Both do no I/O: [`node`] drives
//! them with sockets and a clock. All state here is soft state. Whatever must be agreed upon or
//! stored durably goes through the platform's store.

mod blob;
pub mod connectivity;
pub mod digest;
pub mod frame;
pub mod gossip;
pub mod link;
pub mod membership;
mod meter;
pub mod metrics;
pub mod node;
mod record;
mod registry;

pub use blob::Blob;
pub use connectivity::Connectivity;
pub use frame::{FrameError, FrameKind, PROTOCOL};
pub use membership::{Member, MemberState, Members};
pub use metrics::PeerMetrics;
pub use node::{BindError, FrameHandler, LocalState, NodeOptions, PeerNode, SendError};

pub use crate::schema::peer::{
    ConfigFetch, ConfigPart, Digest, Frame, Hello, LeaseRefusal, LeaseRequest, LeaseResponse,
    MemberDigest, UpstreamDigest, WakeRequest, WakeResponse,
};
