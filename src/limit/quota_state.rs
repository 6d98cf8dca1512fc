//! One share at one VM: its spender, and the parts of it that this VM holds.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::account::LimiterConfig;
use super::assignment::LocalVm;
use super::bucket::Quota;
use super::lease_client::LeaseClient;
use super::part_bucket::PartBucket;
use crate::ids::{ClientAccount, Epoch};

/// A share's spender and the parts of it that this VM holds.
#[derive(Clone, Debug)]
pub(super) struct QuotaState {
    pub(super) name: ClientAccount,
    pub(super) share: Quota,
    pub(super) spender: LeaseClient,
    pub(super) parts: BTreeMap<usize, (Epoch, PartBucket)>,
}

impl QuotaState {
    pub(super) fn open(
        name: ClientAccount,
        local: &LocalVm,
        share: Quota,
        tuning: LimiterConfig,
        now: Instant,
    ) -> Self {
        Self {
            spender: LeaseClient::open(name.clone(), local.clone(), share, tuning.leases, now),
            name,
            share,
            parts: BTreeMap::new(),
        }
    }

    pub(super) fn set_quota(&mut self, share: Quota, parts: usize, now: Instant) {
        self.share = share;
        self.spender.set_quota(share);
        for (_, holder) in self.parts.values_mut() {
            holder.set_quota(share.part(parts), now);
        }
    }

    /// Opens the parts that this VM now holds, empty, and drops those it holds no more.
    pub(super) fn hold(
        &mut self,
        held: &BTreeMap<usize, Epoch>,
        count: usize,
        life: Duration,
        now: Instant,
    ) {
        self.parts
            .retain(|index, (epoch, _)| held.get(index) == Some(epoch));
        let share = self.share.part(count);
        for (index, epoch) in held {
            let part = self.parts.entry(*index);
            part.or_insert_with(|| (*epoch, PartBucket::open(share, life, now)));
        }
    }
}
