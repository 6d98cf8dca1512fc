//! The engines that a request has left for their silence, and whether it may go back to one of them.
//!
//! A silent engine may be sound. The connection to it is closed soon after another engine was asked, so
//! that the two don't work on one request. If the other one fails, the request may return: it has then
//! been at as many engines as before, which is what the attempts of its route bound. It does so once, and
//! to no engine that failed, nor to a later run of one that it left.

use std::collections::BTreeSet;

use super::upstream::UpstreamInstance;

/// The engines that a request has left for silence alone.
#[derive(Clone, Debug, Default)]
pub struct LeftEngines {
    engines: BTreeSet<UpstreamInstance>,
    /// Whether the request has gone back to one of them.
    returned: bool,
}

impl LeftEngines {
    /// Records that the request leaves a silent engine, which has not failed.
    pub fn on_left(&mut self, engine: UpstreamInstance) {
        self.engines.insert(engine);
    }

    /// Records that the request is sent to an engine.
    pub fn on_sent(&mut self, engine: &UpstreamInstance) {
        self.returned |= self.engines.contains(engine);
    }

    /// The engines that the request may go back to.
    pub fn returnable(&self) -> Option<&BTreeSet<UpstreamInstance>> {
        let returnable = !self.returned && !self.engines.is_empty();
        returnable.then_some(&self.engines)
    }
}
