//! The borders of the gateway: what a platform's adapter implements.
//!
//! An adapter translates and decides nothing: no retry, no timer, no choice.

use std::fmt::{self, Debug};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use futures_util::future::BoxFuture;
use http::request::Parts as RequestParts;
use http::response::Parts as ResponseParts;
use http::{HeaderMap, Request};
use http_body_util::Full;
use thiserror::Error;

use crate::ids::{ClientAccount, Epoch, RequestId, UpstreamId, VmId};
use crate::store::StoreError;

use super::call::{Call, CallFault, Target, Whole};
use super::upstream::Holdings;

/// A point in the store's history.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Mark(pub u64);

/// An object that cannot be read as what it should be.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{what}")]
pub struct Unreadable {
    /// What is wrong with it.
    pub what: CompactString,
}

/// An object of a kind, by its name.
pub type Item<T> = (CompactString, Result<T, Unreadable>);

/// All objects of a kind.
#[derive(Clone, Debug)]
pub struct Listing<T> {
    /// Objects.
    pub items: Vec<Item<T>>,
    /// Where their changes go on.
    pub at: Mark,
}

/// A change of one object.
#[derive(Clone, Debug)]
pub enum Change<T> {
    /// It is new or differs.
    Set(Item<T>),
    /// It is gone.
    Removed(CompactString),
}

/// Changes since a mark.
#[derive(Clone, Debug)]
pub struct Changes<T> {
    /// Changes, in order.
    pub changes: Vec<Change<T>>,
    /// Where they go on.
    pub at: Mark,
}

/// The objects of one kind, read and followed.
pub trait Source<T>: Send + Sync + Debug {
    /// Reads all of them.
    fn list(&self) -> BoxFuture<'_, Result<Listing<T>, StoreError>>;

    /// Waits for changes since `at`, for `wait` at most.
    fn changes(&self, at: Mark, wait: Duration) -> BoxFuture<'_, Result<Changes<T>, StoreError>>;
}

/// What the gateway adds to a request that it sends on.
#[derive(Clone, Debug)]
pub struct Sending {
    /// Engine that alone may run it.
    pub upstream: UpstreamId,
    /// Account whose key it carried.
    pub account: Option<ClientAccount>,
    /// Time that is left.
    pub left: Duration,
    /// Rank; 0 goes first.
    pub rank: u8,
    /// Event after which to go on.
    pub after: Option<u64>,
}

/// Load as an engine tells it with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that it works on at once.
    pub slots: u32,
}

impl EngineLoad {
    /// Whether another request would have found a place.
    pub fn has_room(self) -> bool {
        self.waiting == 0 && self.running < self.slots
    }
}

/// What an upstream's answer says of itself.
#[derive(Clone, Debug, Default)]
pub struct AnswerHead {
    /// The request that it answers.
    pub echo: Option<RequestId>,
    /// Whether an upstream vouches for it.
    pub sealed: bool,
    /// Whether the upstream says that the request did not run.
    pub not_run: bool,
    /// The upstream that answered, where it says so.
    pub instance: Option<UpstreamId>,
    /// Whether the body is encoded, which no upstream does.
    pub encoded: bool,
    /// Load.
    pub load: Option<EngineLoad>,
}

/// How requests and answers are spelled.
pub trait Dialect: Send + Sync + Debug {
    /// Reads a caller's request.
    ///
    /// # Errors
    ///
    /// [`CallFault`].
    fn read_call(&self, head: &RequestParts) -> Result<Call, CallFault>;

    /// Writes the request to an upstream.
    ///
    /// # Errors
    ///
    /// Where a value cannot be a header.
    fn write_request(
        &self,
        whole: &Whole,
        sending: &Sending,
    ) -> Result<Request<Full<Bytes>>, http::Error>;

    /// Reads an upstream's answer.
    fn read_answer(&self, head: &ResponseParts) -> AnswerHead;

    /// The headers of an answer that the caller gets.
    fn forward_answer(&self, head: &ResponseParts) -> HeaderMap;

    /// The headers that name a request in an answer of the gateway's own.
    fn label(&self, id: &RequestId) -> HeaderMap;
}

/// What an engine says of itself when asked.
#[derive(Clone, Debug)]
pub struct Report {
    /// Start, in milliseconds since the Unix epoch; none where it does not say.
    pub born: Option<u64>,
    /// What it holds.
    pub holds: Holdings,
    /// Adapters on their way.
    pub coming: Vec<Target>,
    /// Whether it carries out an order.
    pub busy: bool,
    /// Orders that it has accepted.
    pub accepted: u64,
}

/// What an order is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Act {
    /// Load a model or an adapter.
    Load(Target),
    /// Drop a model or an adapter.
    Unload(Target),
}

impl fmt::Display for Act {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Load(target) => write!(f, "load {target}"),
            Self::Unload(target) => write!(f, "unload {target}"),
        }
    }
}

/// An order to an engine.
#[derive(Clone, Debug)]
pub struct Order {
    /// What to do.
    pub act: Act,
    /// Orders that the engine must have accepted before.
    pub after: u64,
    /// VM that orders.
    pub holder: VmId,
    /// Its fencing number.
    pub epoch: Epoch,
}

/// An engine's answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// It is being carried out.
    Accepted,
    /// It holds already.
    Holds,
    /// Another order is under way, or others came before.
    Conflict,
    /// A higher fencing number was seen.
    Fenced,
    /// The engine knows no such order.
    Invalid,
    /// Another engine has the address.
    Elsewhere,
    /// The engine takes no order now.
    Refused,
}

/// Why an engine could not be asked.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ControlError {
    /// Nothing was sent.
    #[error("the engine cannot be reached")]
    Unreachable,
    /// The engine may have taken the order.
    #[error("the engine did not answer")]
    Silent,
    /// The answer cannot be read.
    #[error("the engine's answer cannot be read")]
    Malformed,
}

/// Questions and orders to engines.
pub trait Control: Send + Sync + Debug {
    /// Asks an engine what it holds.
    fn report(&self, at: SocketAddr) -> BoxFuture<'_, Result<Report, ControlError>>;

    /// Gives an order.
    fn order<'a>(
        &'a self,
        at: SocketAddr,
        to: &'a UpstreamId,
        order: &'a Order,
    ) -> BoxFuture<'a, Result<OrderAnswer, ControlError>>;
}
