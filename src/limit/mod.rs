//! Rates and bursts of client accounts and their callers, over all VMs.
//!
//! A request reserves its greatest cost on admission and settles its real cost at its end.
//! [`Limiter`] is the interface towards the edge; [`DistributedLimiter`] implements it.
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

/// A request for tokens.
#[derive(Clone, Debug)]
pub struct TokenRequest {
    /// The account that pays.
    pub account: ClientAccount,
    /// The caller within it.
    pub caller: CallerId,
    /// Greatest cost of the request.
    pub tokens: Tokens,
    /// When the request must be answered.
    pub deadline: Instant,
}

/// Reserved tokens, to be settled once.
#[derive(Debug)]
pub struct TokenReservation {
    /// The account that pays.
    pub account: ClientAccount,
    /// The caller within it.
    pub caller: CallerId,
    /// What was reserved.
    pub tokens: Tokens,
    /// When it was reserved.
    pub at: Instant,
}

/// Decides whether a request is within its account's and caller's share.
pub trait Limiter: Send + Sync + Debug {
    /// Reserves tokens, or refuses with the time after which enough will be there.
    fn reserve(&self, ask: TokenRequest) -> BoxFuture<'_, Result<TokenReservation, Refusal>>;

    /// Charges what a request really used; the rest of its grant returns.
    fn settle(&self, grant: TokenReservation, used: Tokens);
}
