//! Links between VMs, and what VMs tell one another.
//!
//! A link is a WebSocket that carries one CBOR frame a message ([`frame`], [`link`]).
//! [`membership`] joins the platform's lagging list with what peers see, [`gossip`] picks whom to
//! tell, and both are pure. [`node`] drives them with sockets and a clock. Everything here is soft
//! state: what must be agreed upon or kept goes through the platform's service.

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
