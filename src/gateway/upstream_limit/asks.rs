//! Asks to the leader that wait for its decision.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::sync::oneshot;

use crate::ids::UpstreamId;
use crate::schema::mesh::{PermitAsk, UpstreamLimit};

use super::{DecidedAsk, Decision};

/// One ask.
#[derive(Debug)]
struct Open {
    ask: PermitAsk,
    decided: Option<oneshot::Sender<Decision>>,
}

/// The asks of this VM.
#[derive(Debug, Default)]
pub(super) struct Asks {
    last: u64,
    open: BTreeMap<u64, Open>,
    /// Numbers of those that are to be sent.
    due: Vec<u64>,
}

impl Asks {
    /// Opens an ask, without sending it.
    pub(super) fn open(&mut self, limit: UpstreamLimit, max_wait: Duration) -> PermitAsk {
        self.last += 1;
        let ask = PermitAsk {
            number: self.last,
            limit,
            max_wait_ms: max_wait.as_millis() as u64,
        };
        let open = Open {
            ask: ask.clone(),
            decided: None,
        };
        self.open.insert(self.last, open);
        ask
    }

    /// Has an ask sent, once more if need be; the decision arrives at the receiver.
    pub(super) fn send(&mut self, number: u64) -> oneshot::Receiver<Decision> {
        let (sender, receiver) = oneshot::channel();
        if let Some(open) = self.open.get_mut(&number) {
            open.decided = Some(sender);
            self.due.push(number);
        }
        receiver
    }

    /// The asks that are to be sent now.
    pub(super) fn take_due(&mut self) -> Vec<PermitAsk> {
        let due = std::mem::take(&mut self.due);
        let open = due.iter().filter_map(|number| self.open.get(number));
        open.map(|open| open.ask.clone()).collect()
    }

    /// Upstream of an open ask.
    pub(super) fn upstream(&self, number: u64) -> Option<&UpstreamId> {
        let open = self.open.get(&number)?;
        Some(&open.ask.limit.upstream)
    }

    /// Delivers a decision.
    pub(super) fn decide(&mut self, decided: DecidedAsk) {
        let open = self.open.get_mut(&decided.number);
        if let Some(sender) = open.and_then(|open| open.decided.take()) {
            // The request may have ended meanwhile.
            let _gone = sender.send(decided.decision);
        }
    }

    /// Forgets an ask.
    pub(super) fn close(&mut self, number: u64) {
        self.open.remove(&number);
    }
}
