//! The traits through which the gateway reaches its platform, and the types that they exchange.
//!
//! A crate for the platform implements them. An implementation only translates between the
//! platform's formats and these types: retries, timeouts and decisions stay in the gateway.

use std::fmt::{self, Debug};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use futures_util::future::BoxFuture;
use http::request::Parts as RequestParts;
use http::response::Parts as ResponseParts;
use http::{HeaderMap, Request};
use http_body_util::Full;
use thiserror::Error;

use crate::ids::{ClientAccount, Epoch, RequestId, UpstreamId, Version, VmId};
use crate::store::StoreError;
use crate::units::RequestRate;

use super::request::{BufferedRequest, HeadError, RequestHead, Target};
use super::retry_after::RetryAfter;
use super::slowdown::Slowness;
use super::upstream::ModelInventory;

/// Error for an object whose content is not of the expected form.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{message}")]
pub struct DecodeError {
    /// Description of the fault, for the log.
    pub message: CompactString,
}

impl DecodeError {
    /// The fault that `error` describes.
    pub fn new<E>(error: &E) -> Self
    where
        E: fmt::Display,
    {
        Self {
            message: format_compact!("{error}"),
        }
    }
}

/// An object's name and its decoded content.
pub type NamedObject<T> = (CompactString, Result<T, DecodeError>);

/// All objects of one kind, such as the registrations of upstreams.
#[derive(Clone, Debug)]
pub struct ObjectList<T> {
    /// Objects, including those that could not be decoded.
    pub items: Vec<NamedObject<T>>,
    /// Version of the whole store at the list; later changes are read from here.
    pub revision: Version,
}

/// A change of one object.
#[derive(Clone, Debug)]
pub enum ObjectChange<T> {
    /// The object was created or changed.
    Set(NamedObject<T>),
    /// The object of this name was deleted.
    Removed(CompactString),
}

/// Changes to the objects of one kind since a revision.
#[derive(Clone, Debug)]
pub struct ObjectChanges<T> {
    /// Changes, oldest first.
    pub changes: Vec<ObjectChange<T>>,
    /// Version of the whole store after these changes; the next ones are read from here.
    pub revision: Version,
}

/// The objects of one kind in the platform's store.
pub trait ObjectSource<T>: Send + Sync + Debug {
    /// Reads all objects.
    fn list(&self) -> BoxFuture<'_, Result<ObjectList<T>, StoreError>>;

    /// Waits up to `wait` for changes after `revision`; returns an empty list if
    /// there are none. Fails with [`StoreError::HistoryGone`] if the store no longer has the
    /// changes, or has come back from an older copy since.
    fn wait_for_changes(
        &self,
        revision: Version,
        wait: Duration,
    ) -> BoxFuture<'_, Result<ObjectChanges<T>, StoreError>>;
}

/// Values that the gateway adds to a request that it forwards.
#[derive(Clone, Debug)]
pub struct ForwardOptions {
    /// The only upstream that may run the request; another one at the same address refuses it.
    pub upstream: UpstreamId,
    /// Client account of the caller's key; absent where no key was required.
    pub account: Option<ClientAccount>,
    /// Time until the caller's deadline.
    pub time_left: Duration,
    /// Priority at the engine, where 0 is the highest.
    pub priority: u8,
    /// Number of the last event that the caller has; the stream resumes after it.
    pub resume_after: Option<u64>,
}

/// Load that an engine reports in the head of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineLoad {
    /// Requests being run.
    pub running: u32,
    /// Requests queued at the engine.
    pub waiting: u32,
    /// Requests that the engine can run at once.
    pub slots: u32,
}

impl EngineLoad {
    /// Whether another request could start without queueing.
    pub fn has_free_slot(self) -> bool {
        self.waiting == 0 && self.running < self.slots
    }
}

/// What an upstream states about itself in the head of any response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UpstreamSignals {
    /// Whether the upstream is leaving and wants no new requests.
    pub leaving: bool,
    /// When it accepts requests of this VM again; present only where it refused one with 503.
    pub retry_after: Option<RetryAfter>,
    /// How many requests a second it takes from all VMs together.
    pub limit: LimitSignal,
    /// Time for which it still warms up; absent where it does not say, or has none left.
    pub warm_up: Option<Duration>,
}

/// What an upstream states in one response about the requests that it takes from all VMs together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LimitSignal {
    /// The response shows nothing, since the upstream may not have written it.
    #[default]
    Unknown,
    /// It names no limit.
    Unlimited,
    /// Requests a second.
    Limited(RequestRate),
    /// The value is no rate, or there are several; it shows nothing.
    Invalid,
}

/// Fields of an upstream's response head that the gateway interprets.
#[derive(Clone, Debug, Default)]
pub struct ResponseMeta {
    /// Request id that the response repeats; absent where it has none.
    pub request_id: Option<RequestId>,
    /// Whether the response carries the mark that upstreams set on their own responses.
    pub sealed: bool,
    /// Whether the upstream states that it did not run the request.
    pub not_run: bool,
    /// Upstream that sent the response; absent where the response does not name it.
    pub instance: Option<UpstreamId>,
    /// Whether the body has a content encoding, which no upstream of the platform uses.
    pub encoded: bool,
    /// Load of the upstream; absent where not reported.
    pub load: Option<EngineLoad>,
    /// How long work takes at the upstream now; absent where not reported.
    pub slowness: Option<Slowness>,
    /// What the upstream states about itself.
    pub signals: UpstreamSignals,
}

impl ResponseMeta {
    /// What the upstream states about itself. A response that may not be its own, or not whole,
    /// does not show that a limit has ended.
    pub fn proven_signals(&self) -> UpstreamSignals {
        let own = self.request_id.is_some() && (self.sealed || self.not_run);
        let mut signals = self.signals;
        if !own && signals.limit == LimitSignal::Unlimited {
            signals.limit = LimitSignal::Unknown;
        }
        signals
    }
}

/// The platform's HTTP conventions: which headers carry what.
pub trait Dialect: Send + Sync + Debug {
    /// Decodes the head of a caller's request.
    ///
    /// # Errors
    ///
    /// [`HeadError`], which names the missing or invalid header.
    fn read_request(&self, head: &RequestParts) -> Result<RequestHead, HeadError>;

    /// Encodes a request to an upstream.
    ///
    /// # Errors
    ///
    /// If a value is not valid in a header.
    fn write_request(
        &self,
        request: &BufferedRequest,
        options: &ForwardOptions,
    ) -> Result<Request<Full<Bytes>>, http::Error>;

    /// Decodes the head of an upstream's response.
    fn read_response(&self, head: &ResponseParts) -> ResponseMeta;

    /// The headers of an upstream's response that are passed on to the caller.
    fn response_headers(&self, head: &ResponseParts) -> HeaderMap;

    /// The headers that identify a request in a response made by the gateway.
    fn id_headers(&self, id: &RequestId) -> HeaderMap;
}

/// State that an engine reports on request.
#[derive(Clone, Debug)]
pub struct EngineReport {
    /// Start of the engine, in milliseconds since the Unix epoch; absent where not reported.
    pub started_ms: Option<u64>,
    /// Models and adapters on the engine.
    pub inventory: ModelInventory,
    /// Adapters being loaded.
    pub loading: Vec<Target>,
    /// Whether the engine is carrying out an order.
    pub busy: bool,
    /// Number of orders that the engine has accepted since its start.
    pub accepted_orders: u64,
}

/// What an order tells an engine to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderAction {
    /// Load a model or an adapter.
    Load(Target),
    /// Unload a model or an adapter.
    Unload(Target),
}

impl fmt::Display for OrderAction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Load(target) => write!(f, "load {target}"),
            Self::Unload(target) => write!(f, "unload {target}"),
        }
    }
}

/// An order to an engine, given by the VM that holds the lease.
#[derive(Clone, Debug)]
pub struct Order {
    /// What the engine must do.
    pub action: OrderAction,
    /// Number of orders that the engine must have accepted before; it refuses the order at any
    /// other count, so that of two orders sent on the same report only one is carried out.
    pub expected_orders: u64,
    /// VM that gives the order.
    pub holder: VmId,
    /// Fencing number of that VM's lease.
    pub epoch: Epoch,
}

/// An engine's response to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResponse {
    /// The engine is carrying out the order.
    Accepted,
    /// The engine already is in the state that the order asks for.
    Holds,
    /// Another order is being carried out, or the count of accepted orders differs.
    Conflict,
    /// The engine has seen a higher fencing number.
    Fenced,
    /// The engine cannot interpret the order.
    Invalid,
    /// Another engine has taken over the address.
    Elsewhere,
    /// The engine refuses orders at present.
    Refused,
}

/// Why a call to an engine's control interface failed.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ControlError {
    /// No connection; nothing was sent.
    #[error("the engine cannot be reached")]
    Unreachable,
    /// No response; the engine may have accepted the order.
    #[error("the engine did not respond")]
    Silent,
    /// The request could not be encoded, or the response could not be decoded.
    #[error("the engine's response cannot be decoded")]
    Malformed,
}

/// Outcome of a call to an engine's control interface.
#[derive(Clone, Debug)]
pub struct ControlReply<T> {
    /// Result of the call.
    pub outcome: Result<T, ControlError>,
    /// What the engine states about itself in its response.
    pub signals: UpstreamSignals,
}

impl<T> ControlReply<T> {
    /// A call without a response that can be read.
    pub fn failed(error: ControlError) -> Self {
        Self {
            outcome: Err(error),
            signals: UpstreamSignals::default(),
        }
    }
}

/// Client of the engines' control interface.
pub trait EngineClient: Send + Sync + Debug {
    /// Reads the state of the engine at `address`.
    fn fetch_report(&self, address: SocketAddr) -> BoxFuture<'_, ControlReply<EngineReport>>;

    /// Sends an order to `engine` at `address`.
    fn send_order<'a>(
        &'a self,
        address: SocketAddr,
        engine: &'a UpstreamId,
        order: &'a Order,
    ) -> BoxFuture<'a, ControlReply<OrderResponse>>;
}
