//! Leaving upstreams, shutdowns of VMs, and the configuration in force.

use std::collections::BTreeMap;

use basilgw::ids::{Revision, UpstreamId, VmId};
use basilgw::outcome::ErrorCode;
use basilgw::schema::engine::OrderKind;

use super::check::{Bounds, Findings, Point, Violation};
use super::event::{Entry, Event, Micros, Outcome};
use super::index::{Index, after, between};

const HEAD_KEY: &str = "config/head";

pub(super) fn check(entries: &[Entry], index: &Index, bounds: &Bounds, findings: &mut Findings) {
    leaving(entries, bounds, findings);
    for entry in entries {
        if let Event::Stopping { vm } = &entry.event {
            findings.case(Point::Shutdown);
            shutdown(index, vm, entry.at, bounds, findings);
        }
    }
    configuration(entries, index, bounds, findings);
}

fn leaving(entries: &[Entry], bounds: &Bounds, findings: &mut Findings) {
    let mut gone: BTreeMap<UpstreamId, Micros> = BTreeMap::new();
    for entry in entries {
        let upstream = match &entry.event {
            Event::Leaving { upstream } => {
                findings.case(Point::Leaving);
                gone.entry(upstream.clone()).or_insert(entry.at);
                continue;
            }
            Event::Joined { upstream } | Event::Restarted { upstream } => {
                gone.remove(upstream);
                continue;
            }
            Event::Received { upstream, .. }
            | Event::Ordered {
                upstream,
                kind: OrderKind::Load | OrderKind::Attach,
                ..
            } => upstream,
            _ => continue,
        };
        let Some(since) = gone.get(upstream) else {
            continue;
        };
        let over = between(*since, entry.at);
        if over > bounds.leaving {
            let violation = Violation::WorkAfterLeaving {
                upstream: upstream.clone(),
                over,
            };
            findings.note(Point::Leaving, entry.at, violation);
        }
    }
}

fn shutdown(index: &Index, vm: &VmId, at: Micros, bounds: &Bounds, findings: &mut Findings) {
    let accepting = after(at, bounds.linger);
    for request in index.requests.values() {
        let Some(end) = &request.end else { continue };
        if request.sent.vm != *vm || end.at < at {
            continue;
        }
        let cut = match &end.outcome {
            Outcome::Cut { code, .. } => {
                matches!(code, None | Some(ErrorCode::ShuttingDown))
            }
            Outcome::Broken | Outcome::Truncated | Outcome::Silent => true,
            Outcome::Unreachable => request.at >= at && request.at < accepting,
            _ => false,
        };
        if cut && request.at < accepting {
            let violation = Violation::CutByShutdown {
                request: request.sent.request.clone(),
                vm: vm.clone(),
                outcome: end.outcome.clone(),
            };
            findings.note(Point::Shutdown, end.at, violation);
        }
    }
}

#[derive(Debug, Default)]
struct Revisions {
    stored: Revision,
    accepted: Vec<(Micros, Revision)>,
    seen: BTreeMap<VmId, Revision>,
}

fn configuration(entries: &[Entry], index: &Index, bounds: &Bounds, findings: &mut Findings) {
    let mut revisions = Revisions::default();
    for entry in entries {
        match &entry.event {
            Event::Accepted { revision } => revisions.accepted.push((entry.at, *revision)),
            Event::Written { key, value, .. } if key.as_str() == HEAD_KEY => {
                let number = value.as_ref().and_then(|v| v.get("revision")?.as_u64());
                revisions.store(Revision(number.unwrap_or(0)), entry.at, findings);
            }
            Event::InForce { vm, revision } => {
                findings.case(Point::Configuration);
                revisions.behind(index, vm, *revision, entry.at, bounds, findings);
                revisions.observe(vm, *revision, entry.at, findings);
            }
            _ => {}
        }
    }
}

impl Revisions {
    fn store(&mut self, to: Revision, at: Micros, findings: &mut Findings) {
        let from = self.stored;
        if to <= from {
            let violation = Violation::Overwritten { from, to };
            findings.note(Point::Configuration, at, violation);
        }
        self.stored = to;
    }

    fn observe(&mut self, vm: &VmId, to: Revision, at: Micros, findings: &mut Findings) {
        let before = self.seen.insert(vm.clone(), to);
        if let Some(from) = before.filter(|from| *from > to) {
            let vm = vm.clone();
            let violation = Violation::Reverted { vm, from, to };
            findings.note(Point::Configuration, at, violation);
        }
    }

    fn behind(
        &self,
        index: &Index,
        vm: &VmId,
        seen: Revision,
        at: Micros,
        bounds: &Bounds,
        findings: &mut Findings,
    ) {
        let due = self.accepted.iter().filter(|(since, revision)| {
            *revision > seen
                && between(*since, at) > bounds.configuration
                && !index.troubled(vm, *since, at)
        });
        let Some((since, accepted)) = due.max_by_key(|(_, revision)| *revision) else {
            return;
        };
        let violation = Violation::Behind {
            vm: vm.clone(),
            seen,
            accepted: *accepted,
            over: between(*since, at),
        };
        findings.note(Point::Configuration, at, violation);
    }
}
