//! Upstreams that are leaving and must get no new requests.
//!
//! The platform's instance list, the upstream's own load report and other VMs can each announce
//! that an upstream is leaving; the first announcement takes effect. Only a newer generation of the
//! same upstream (a restart) cancels it, so a stale list cannot bring a leaving upstream back.

use std::collections::BTreeMap;

use crate::ids::{Generation, UpstreamId};

/// For each upstream, the newest generation that is known to be leaving.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeavingUpstreams {
    generations: BTreeMap<UpstreamId, Generation>,
}

impl LeavingUpstreams {
    /// Marks a generation of an upstream, and all older ones, as leaving.
    pub fn mark(&mut self, upstream: &UpstreamId, generation: Generation) {
        let newest = self
            .generations
            .entry(upstream.clone())
            .or_insert(generation);
        *newest = generation.max(*newest);
    }

    /// Whether a generation of an upstream is marked as leaving.
    pub fn contains(&self, upstream: &UpstreamId, generation: Generation) -> bool {
        let newest = self.generations.get(upstream);
        newest.is_some_and(|&newest| generation <= newest)
    }

    /// Upstreams with a leaving generation, and the newest such generation of each.
    pub fn entries(&self) -> impl Iterator<Item = (&UpstreamId, Generation)> {
        self.generations
            .iter()
            .map(|(upstream, &newest)| (upstream, newest))
    }
}
