//! Upstreams that take no new work.
//!
//! The platform's list, the upstream's own word and peers all say when an upstream leaves; the
//! first of them wins. Only a newer incarnation of the same upstream undoes it, so a lagging list
//! cannot bring a leaving one back.

use std::collections::BTreeMap;

use crate::ids::{Generation, UpstreamId};

/// The newest incarnation of each upstream that is known to leave.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Leaving {
    marks: BTreeMap<UpstreamId, Generation>,
}

impl Leaving {
    /// Marks an incarnation, and with it all older ones.
    pub fn mark(&mut self, upstream: &UpstreamId, generation: Generation) {
        let mark = self.marks.entry(upstream.clone()).or_insert(generation);
        *mark = generation.max(*mark);
    }

    /// Whether an incarnation leaves.
    pub fn contains(&self, upstream: &UpstreamId, generation: Generation) -> bool {
        let mark = self.marks.get(upstream);
        mark.is_some_and(|&mark| generation <= mark)
    }

    /// All marks.
    pub fn marks(&self) -> impl Iterator<Item = (&UpstreamId, Generation)> {
        self.marks.iter().map(|(upstream, &mark)| (upstream, mark))
    }
}
