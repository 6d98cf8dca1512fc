//! Rate limits for client accounts and their callers, enforced over all VMs together.
//!
//! A request reserves its greatest possible cost in tokens before it runs and settles its actual
//! cost at its end. [`Limiter`] is the interface that the edge uses; [`DistributedLimiter`]
//! implements it.
//!
//! An account's quota is split into a few parts. [`assignment`] says which VM holds which part,
//! [`part_bucket`] leases a part's tokens in small batches, [`lease_client`] obtains and spends
//! these leases, [`account`] joins the three for one account, and [`driver`] does the I/O for all
//! accounts of one VM. docs/LIMITS.md gives the reasons for this design.

use std::fmt::Debug;
use std::time::Instant;

use futures_util::future::BoxFuture;

use crate::ids::{CallerId, ClientAccount};
use crate::outcome::Refusal;
use crate::units::Tokens;

pub mod account;
pub mod assignment;
mod assignment_sync;
mod bucket;
pub mod driver;
pub mod lease_client;
pub mod part_bucket;
mod part_client;
mod quota_state;
mod rate_estimate;
mod recent_peaks;
mod vms;

pub use assignment_sync::{StoreCall, StoreResult, StoreTimes};
pub use bucket::Quota;
pub use driver::{DistributedLimiter, LeaseSender};
pub use vms::{Absence, VmInfo, VmSnapshot, VmSource};

/// Asks for the tokens of one request.
#[derive(Clone, Debug)]
pub struct TokenRequest {
    /// The account that is charged.
    pub account: ClientAccount,
    /// The caller within the account.
    pub caller: CallerId,
    /// Greatest possible cost of the request.
    pub tokens: Tokens,
    /// Deadline of the request, by which its tokens must be reserved or refused.
    pub deadline: Instant,
}

/// Tokens reserved for one request, to be settled once.
#[derive(Debug)]
pub struct TokenReservation {
    /// The account that is charged.
    pub account: ClientAccount,
    /// The caller within the account.
    pub caller: CallerId,
    /// Tokens reserved.
    pub tokens: Tokens,
    /// When the tokens were reserved.
    pub at: Instant,
}

/// Decides whether a request is within the quotas of its account and caller.
pub trait Limiter: Send + Sync + Debug {
    /// Reserves tokens, waiting for them until the deadline if necessary. A refusal says when to
    /// retry if enough tokens can become available.
    fn reserve(&self, request: TokenRequest) -> BoxFuture<'_, Result<TokenReservation, Refusal>>;

    /// Charges the tokens that a request used and returns the rest of its reservation.
    fn settle(&self, reservation: TokenReservation, used: Tokens);
}
