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
    marks: BTreeMap<UpstreamId, Generation>,
}

impl LeavingUpstreams {
    /// Marks a generation of an upstream, and all older ones, as leaving.
    pub fn mark(&mut self, upstream: &UpstreamId, generation: Generation) {
        let mark = self.marks.entry(upstream.clone()).or_insert(generation);
        *mark = generation.max(*mark);
    }

    /// Whether a generation of an upstream is marked as leaving.
    pub fn contains(&self, upstream: &UpstreamId, generation: Generation) -> bool {
        let mark = self.marks.get(upstream);
        mark.is_some_and(|&mark| generation <= mark)
    }

    /// Iterates over the upstreams that have a leaving generation, with the newest such generation.
    pub fn marks(&self) -> impl Iterator<Item = (&UpstreamId, Generation)> {
        self.marks.iter().map(|(upstream, &mark)| (upstream, mark))
    }
}
