//! The accounts' quotas at this VM: admits requests, and exchanges usage with the other VMs.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::{Duration, Instant};

use rand::RngExt;
use slog::info;

use crate::gateway::allowance::{Allowance, QuotaFigures};
use crate::gateway::configuration::{Account, Configuration};
use crate::gateway::quota_order::Rank;
use crate::ids::ClientAccount;
use crate::units::Tokens;

use super::{Gateway, lock};

/// Time for which a VM reports that it refused requests of an account: at least one report.
const REFUSAL_REPORT_TIME: Duration = Duration::from_millis(1500);
/// Random factor on the time after which an account's tokens are there, so that the callers that
/// were refused don't come back together.
const RETURN_SPREAD: Range<f64> = 1.0..1.5;

impl Gateway {
    /// Applies the accounts' quotas of a configuration that is about to be in force.
    pub(super) fn update_allowances(&self, configuration: &Configuration) {
        let now = self.clock.now();
        let part = self.reachability().part(now);
        let full = self.bounds().first_start && self.configuration.load().is_none();
        let mut allowances = lock(&self.allowances);
        for (name, account) in configuration.accounts() {
            let Some(rate) = account.rate else {
                allowances.remove(name);
                continue;
            };
            if let Some(allowance) = allowances.get_mut(name) {
                allowance.set_quota(rate, account.burst, now, part);
                continue;
            }
            let allowance = Allowance::open(rate, account.burst, full, now);
            allowances.insert(name.clone(), allowance);
        }
    }

    /// Takes the tokens of a request from its account's quota; `rank` is the priority of its route.
    ///
    /// # Errors
    ///
    /// The time after which to retry, if the quota is used up.
    pub fn admit(&self, account: &Account, rank: Rank, tokens: Tokens) -> Result<(), Duration> {
        let now = self.clock.now();
        let reachability = self.reachability();
        let part = reachability.part(now);
        let mut allowances = lock(&self.allowances);
        let Some(allowance) = allowances.get_mut(&account.name) else {
            return Ok(());
        };
        let admitted = allowance.admit(rank, tokens, now, part, rand::random());
        if allowance.report_due(reachability.vms) {
            self.usage_due.notify_one();
        }
        admitted.map_err(|wait| {
            self.gauges.count_quota_refusal(rank);
            if let Some(refusals) = allowance.refusals.take_due(now) {
                info!(self.log, "over_rate"; "account" => %account.name, "tokens" => tokens.0,
                    "rank" => rank, "allowance" => %allowance, "part" => part.share,
                    "unreported" => allowance.unreported().0, "figures" => ?allowance.figures,
                    "refused" => ?refusals);
            }
            wait.mul_f64(rand::rng().random_range(RETURN_SPREAD))
        })
    }

    /// Returns the tokens of a request that did not run to its account's quota.
    pub fn refund_tokens(&self, account: &Account, tokens: Tokens) {
        if let Some(allowance) = lock(&self.allowances).get_mut(&account.name) {
            allowance.refund(tokens);
        }
    }

    /// Adds what the accounts have earned, before the part of the quotas that this VM uses changes.
    pub(super) fn refill_allowances(&self) {
        let now = self.clock.now();
        let part = self.reachability().part(now);
        for allowance in lock(&self.allowances).values_mut() {
            allowance.refill(now, part);
        }
    }

    /// Tokens admitted since the start, by account, for the next usage report.
    pub fn report_admitted(&self) -> BTreeMap<ClientAccount, Tokens> {
        self.refill_allowances();
        let mut allowances = lock(&self.allowances);
        let used = allowances
            .iter_mut()
            .map(|(name, a)| (name.clone(), a.take_report()));
        used.filter(|(_, tokens)| *tokens > Tokens::ZERO).collect()
    }

    /// Subtracts tokens that a peer VM has admitted since its previous report from the accounts'
    /// quotas; they are negative if the peer returned more. `silence` is the time since that report
    /// if the peer was unreachable.
    pub fn add_peer_usage(
        &self,
        usage: Vec<(ClientAccount, i64)>,
        silence: Option<Duration>,
        now: Instant,
    ) {
        let part = self.reachability().part(now);
        let mut allowances = lock(&self.allowances);
        for (account, tokens) in usage {
            if let Some(allowance) = allowances.get_mut(&account) {
                allowance.on_peer_usage(tokens, silence, now, part);
            }
        }
    }

    /// Subtracts tokens that a VM which started before this one had admitted before its first
    /// report.
    pub fn add_earlier_usage(&self, account: &ClientAccount, tokens: Tokens) {
        if let Some(allowance) = lock(&self.allowances).get_mut(account) {
            allowance.on_earlier_usage(tokens);
        }
    }

    /// Tokens admitted that are in no report yet, and what became of those of other VMs, over all
    /// accounts.
    pub fn quota_figures(&self) -> (Tokens, QuotaFigures) {
        let mut unreported = Tokens::ZERO;
        let mut sum = QuotaFigures::default();
        for allowance in lock(&self.allowances).values() {
            unreported = unreported + allowance.unreported();
            sum.subtracted += allowance.figures.subtracted;
            sum.left += allowance.figures.left;
            sum.overdrawn += allowance.figures.overdrawn;
        }
        (unreported, sum)
    }

    /// Accounts of which this VM lately refused requests for their quota.
    pub fn refused_accounts(&self) -> Vec<ClientAccount> {
        let now = self.clock.now();
        let allowances = lock(&self.allowances);
        let refused = allowances
            .iter()
            .filter(|(_, allowance)| allowance.was_exhausted(REFUSAL_REPORT_TIME, now));
        refused.map(|(name, _)| name.clone()).collect()
    }

    /// Notes accounts of which another VM lately refused requests for their quota.
    pub fn on_peer_refusals(&self, accounts: &[ClientAccount], now: Instant) {
        let mut allowances = lock(&self.allowances);
        for account in accounts {
            if let Some(allowance) = allowances.get_mut(account) {
                allowance.on_peer_refusal(now);
            }
        }
    }
}
