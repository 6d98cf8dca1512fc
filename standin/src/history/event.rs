//! What the parties of a run record.

use basilgw::ids::{
    AdapterId, CallerId, ClientAccount, KeyId, ModelId, ObjectKey, ReplicaId, RequestId, Revision,
    Text, UpstreamId, Version, VmId,
};
use basilgw::outcome::{ErrorCode, Ran};
use basilgw::schema::engine::{OrderKind, OrderStatus};
use basilgw::units::{Bytes, Tokens};
use serde::{Deserialize, Serialize};

/// Wall-clock microseconds since the Unix epoch; all parties of a run share one machine's clock.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Micros(pub u64);

/// One line of a history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// When.
    pub at: Micros,
    /// Who recorded it.
    pub party: Text,
    /// What.
    #[serde(flatten)]
    pub event: Event,
}

/// What an upstream's answer says of the request that it answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Echo {
    /// The request as the upstream saw it.
    pub request: RequestId,
    /// The model that served it.
    pub model: Option<ModelId>,
    /// The adapter that served it.
    pub adapter: Option<AdapterId>,
    /// Digest of the prompt or body as the upstream saw it.
    pub digest: Text,
}

/// How a request ended, as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Outcome {
    /// A whole answer.
    Whole {
        /// HTTP status.
        status: u16,
        /// What the answer says of its request.
        echo: Option<Echo>,
    },
    /// A refusal before any part of an answer.
    Refused {
        /// HTTP status.
        status: u16,
        /// Stable code.
        code: ErrorCode,
        /// Whether it ran.
        ran: Ran,
    },
    /// An answer that ended early with a visible error.
    Cut {
        /// The error's code, where there was one.
        code: Option<ErrorCode>,
        /// What the error says of the run, where it says so.
        ran: Option<Ran>,
    },
    /// An answer that ended cleanly without its end mark.
    Truncated,
    /// An answer with a part missing, doubled or of another request.
    Garbled,
    /// The connection closed before any answer.
    Broken,
    /// No connection could be made.
    Unreachable,
    /// Nothing came within the caller's patience.
    Silent,
}

/// What was done or seen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// An operator declared an account's share.
    Declared {
        /// The account.
        account: ClientAccount,
        /// Tokens a second.
        rate: f64,
        /// Greatest burst.
        burst: Tokens,
    },
    /// An operator granted a key; only test keys are ever recorded.
    Granted {
        /// Its public name.
        key: KeyId,
        /// Its account.
        account: ClientAccount,
        /// Its caller.
        caller: CallerId,
        /// The test secret.
        secret: Text,
    },
    /// The withdrawal of a key was accepted.
    Withdrawn {
        /// The key's public name.
        key: KeyId,
    },
    /// A revision was accepted.
    Accepted {
        /// The revision.
        revision: Revision,
    },
    /// A VM serves by a revision.
    InForce {
        /// The VM.
        vm: VmId,
        /// The revision.
        revision: Revision,
    },
    /// A VM was started.
    Started {
        /// The VM.
        vm: VmId,
    },
    /// A VM was told to shut down gracefully.
    Stopping {
        /// The VM.
        vm: VmId,
    },
    /// A VM's process ended.
    Stopped {
        /// The VM.
        vm: VmId,
    },
    /// A VM was killed.
    Killed {
        /// The VM.
        vm: VmId,
    },
    /// A VM was paused, or cut off from callers, peers or the store.
    Disturbed {
        /// The VM.
        vm: VmId,
    },
    /// A disturbed VM runs and reaches everything again.
    Healed {
        /// The VM.
        vm: VmId,
    },
    /// A caller sent a request.
    Sent(Sent),
    /// A caller's request ended.
    Answered {
        /// The request.
        request: RequestId,
        /// How.
        #[serde(flatten)]
        outcome: Outcome,
        /// When the last part of an upstream's answer came.
        last: Option<Micros>,
    },
    /// An upstream received a request for work.
    Received {
        /// The upstream.
        upstream: UpstreamId,
        /// The request, where it was named.
        request: Option<RequestId>,
        /// Request line, header lines and body, as received.
        raw: Text,
    },
    /// An upstream ran a request.
    Served {
        /// The upstream.
        upstream: UpstreamId,
        /// The request.
        request: RequestId,
        /// Idempotency key, where one was sent.
        once: Option<Text>,
        /// Prompt and generated tokens.
        tokens: Tokens,
    },
    /// An upstream said that a request did not run.
    Declined {
        /// The upstream.
        upstream: UpstreamId,
        /// The request.
        request: Option<RequestId>,
    },
    /// An engine received an order.
    Ordered {
        /// The engine.
        upstream: UpstreamId,
        /// The order's kind.
        kind: OrderKind,
        /// The replica.
        replica: ReplicaId,
        /// The model.
        model: ModelId,
        /// What the engine answered.
        status: OrderStatus,
    },
    /// A replica began to take memory on an engine.
    Loaded {
        /// The engine.
        upstream: UpstreamId,
        /// The replica.
        replica: ReplicaId,
        /// The model.
        model: ModelId,
    },
    /// A replica left an engine.
    Unloaded {
        /// The engine.
        upstream: UpstreamId,
        /// The replica.
        replica: ReplicaId,
        /// The model.
        model: ModelId,
    },
    /// An engine's memory after a change.
    Memory {
        /// The engine.
        upstream: UpstreamId,
        /// In use.
        used: Bytes,
        /// In all.
        total: Bytes,
    },
    /// An upstream was told to leave.
    Leaving {
        /// The upstream.
        upstream: UpstreamId,
    },
    /// An upstream joined, or came back in a newer generation.
    Joined {
        /// The upstream.
        upstream: UpstreamId,
    },
    /// An upstream's process started anew, with empty memory.
    Restarted {
        /// The upstream.
        upstream: UpstreamId,
    },
    /// The store accepted a write.
    Written {
        /// The object.
        key: ObjectKey,
        /// Its new version.
        version: Version,
        /// Its new value, where it is JSON.
        value: Option<serde_json::Value>,
    },
    /// The store accepted a deletion.
    Deleted {
        /// The object.
        key: ObjectKey,
    },
    /// The replicas of a model that are decided from now on.
    Decided {
        /// The model.
        model: ModelId,
        /// The replicas.
        replicas: Vec<ReplicaId>,
    },
}

/// A request as its caller sent it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sent {
    /// The request; named by its caller and unique in the run.
    pub request: RequestId,
    /// The VM it was sent to.
    pub vm: VmId,
    /// The key it carried.
    pub key: Option<KeyId>,
    /// The account of that key.
    pub account: Option<ClientAccount>,
    /// Whether the declaration lets that account reach what was asked for.
    pub allowed: bool,
    /// Whether the route is open to all.
    pub open: bool,
    /// Whether the request may be repeated.
    pub idempotent: bool,
    /// The model, for a model request.
    pub model: Option<ModelId>,
    /// The adapter, if any.
    pub adapter: Option<AdapterId>,
    /// Digest of the prompt or body.
    pub digest: Text,
    /// Idempotency key, where one was sent.
    pub once: Option<Text>,
    /// Time to its deadline, in milliseconds.
    pub deadline: u64,
}
