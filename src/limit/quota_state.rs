//! One quota at one VM: its lease client and the buckets of the parts that this VM holds.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::account::LimiterConfig;
use super::assignment::LocalVm;
use super::bucket::Quota;
use super::lease_client::LeaseClient;
use super::part_bucket::PartBucket;
use crate::ids::{ClientAccount, Epoch};

/// State of one quota at one VM.
#[derive(Clone, Debug)]
pub(super) struct QuotaState {
    /// Name under which the quota is leased: the account's, or one made up for a caller.
    pub(super) name: ClientAccount,
    pub(super) quota: Quota,
    pub(super) client: LeaseClient,
    /// Epoch and bucket of each part that this VM holds, by index.
    pub(super) parts: BTreeMap<usize, (Epoch, PartBucket)>,
}

impl QuotaState {
    /// Creates a state without leases or held parts.
    pub(super) fn open(
        name: ClientAccount,
        local: &LocalVm,
        quota: Quota,
        config: LimiterConfig,
        now: Instant,
    ) -> Self {
        Self {
            client: LeaseClient::open(name.clone(), local.clone(), quota, config.leases, now),
            name,
            quota,
            parts: BTreeMap::new(),
        }
    }

    /// Changes rate and burst, which are split into `part_count` parts.
    pub(super) fn set_quota(&mut self, quota: Quota, part_count: usize, now: Instant) {
        self.quota = quota;
        self.client.set_quota(quota);
        for (_, bucket) in self.parts.values_mut() {
            bucket.set_quota(quota.part(part_count), now);
        }
    }

    /// Creates empty buckets for the parts that this VM holds now and drops those of parts that it
    /// no longer holds.
    pub(super) fn set_held_parts(
        &mut self,
        held: &BTreeMap<usize, Epoch>,
        part_count: usize,
        life: Duration,
        now: Instant,
    ) {
        self.parts
            .retain(|index, (epoch, _)| held.get(index) == Some(epoch));
        let quota = self.quota.part(part_count);
        for (index, epoch) in held {
            let part = self.parts.entry(*index);
            part.or_insert_with(|| (*epoch, PartBucket::open(quota, life, now)));
        }
    }
}
