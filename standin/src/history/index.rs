//! A history by request and by VM.

use std::collections::BTreeMap;
use std::time::Duration;

use basilgw::ids::{RequestId, Text, UpstreamId, VmId};
use basilgw::units::Tokens;

use super::check::HistoryError;
use super::event::{Entry, Event, Micros, Outcome, Sent};

/// One run of a request on an upstream.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) at: Micros,
    pub(super) upstream: UpstreamId,
    pub(super) tokens: Tokens,
}

/// How a request ended.
#[derive(Clone, Debug)]
pub(super) struct End {
    pub(super) at: Micros,
    pub(super) outcome: Outcome,
    pub(super) last: Option<Micros>,
}

/// A request, from its caller to its runs.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) at: Micros,
    pub(super) sent: Sent,
    pub(super) end: Option<End>,
    pub(super) runs: Vec<Run>,
}

/// What befell a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Turn {
    Trouble,
    Recovery,
}

/// The history, joined.
#[derive(Debug, Default)]
pub(super) struct Index {
    pub(super) requests: BTreeMap<RequestId, Request>,
    /// Runs of requests that no caller sent.
    pub(super) orphans: Vec<(RequestId, Run)>,
    turns: BTreeMap<VmId, Vec<(Micros, Turn)>>,
    stopping: BTreeMap<VmId, Micros>,
}

/// The time from one moment to another, zero where the other came first.
pub(super) fn between(from: Micros, to: Micros) -> Duration {
    Duration::from_micros(to.0.saturating_sub(from.0))
}

/// A moment, later.
pub(super) fn after(at: Micros, wait: Duration) -> Micros {
    Micros(at.0 + wait.as_micros() as u64)
}

impl Index {
    pub(super) fn open(entries: &[Entry]) -> Result<Self, HistoryError> {
        let mut index = Self::default();
        for entry in entries {
            index.send(entry)?;
        }
        for entry in entries {
            index.join(entry);
        }
        Ok(index)
    }

    fn send(&mut self, entry: &Entry) -> Result<(), HistoryError> {
        let Event::Sent(sent) = &entry.event else {
            return Ok(());
        };
        let request = Request {
            at: entry.at,
            sent: sent.clone(),
            end: None,
            runs: Vec::new(),
        };
        let before = self.requests.insert(sent.request.clone(), request);
        match before {
            Some(_) => Err(HistoryError::Duplicate(sent.request.clone())),
            None => Ok(()),
        }
    }

    fn join(&mut self, entry: &Entry) {
        match &entry.event {
            Event::Answered {
                request,
                outcome,
                last,
            } => {
                if let Some(found) = self.requests.get_mut(request) {
                    found.end = Some(End {
                        at: entry.at,
                        outcome: outcome.clone(),
                        last: *last,
                    });
                }
            }
            Event::Served {
                upstream,
                request,
                tokens,
                ..
            } => {
                let run = Run {
                    at: entry.at,
                    upstream: upstream.clone(),
                    tokens: *tokens,
                };
                match self.requests.get_mut(request) {
                    Some(found) => found.runs.push(run),
                    None => self.orphans.push((request.clone(), run)),
                }
            }
            Event::Killed { vm } | Event::Stopped { vm } | Event::Disturbed { vm } => {
                self.turn(vm, entry.at, Turn::Trouble);
            }
            Event::Started { vm } => {
                self.turn(vm, entry.at, Turn::Recovery);
                self.stopping.remove(vm);
            }
            Event::Healed { vm } => self.turn(vm, entry.at, Turn::Recovery),
            Event::Stopping { vm } => {
                self.stopping.insert(vm.clone(), entry.at);
            }
            _ => {}
        }
    }

    fn turn(&mut self, vm: &VmId, at: Micros, turn: Turn) {
        self.turns.entry(vm.clone()).or_default().push((at, turn));
    }

    /// Whether a VM was killed, stopped, paused or cut off at any time of a span.
    pub(super) fn troubled(&self, vm: &VmId, from: Micros, to: Micros) -> bool {
        let turns = self.turns.get(vm).map_or(&[][..], Vec::as_slice);
        let before = turns.iter().rev().find(|(at, _)| *at <= from);
        let inside = turns.iter().filter(|(at, _)| *at > from && *at <= to);
        before.is_some_and(|(_, turn)| *turn == Turn::Trouble)
            || inside.into_iter().any(|(_, turn)| *turn == Turn::Trouble)
    }

    /// Whether a VM may already refuse connections at a moment, as it shuts down.
    pub(super) fn closed(&self, vm: &VmId, at: Micros, linger: Duration) -> bool {
        let since = self.stopping.get(vm);
        since.is_some_and(|since| at >= after(*since, linger))
    }

    /// Requests of one account under one idempotency key.
    pub(super) fn same_key<'a>(
        &'a self,
        request: &'a Request,
    ) -> impl Iterator<Item = &'a Request> + 'a {
        let key: Option<&Text> = request.sent.once.as_ref();
        self.requests.values().filter(move |other| {
            key.is_some()
                && other.sent.once.as_ref() == key
                && other.sent.account == request.sent.account
        })
    }
}
