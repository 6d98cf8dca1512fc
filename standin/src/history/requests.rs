//! Single requests: in time, for their own account, whole, truly not run, at most once.

use std::time::Duration;

use basilgw::outcome::Ran;

use super::check::{Bounds, Findings, Point, Violation};
use super::event::{Echo, Outcome};
use super::index::{End, Index, Request, after, between};

pub(super) fn check(index: &Index, bounds: &Bounds, findings: &mut Findings) {
    for (request, run) in &index.orphans {
        let violation = Violation::Orphan {
            request: request.clone(),
            upstream: run.upstream.clone(),
        };
        findings.note(Point::OwnAccount, run.at, violation);
    }
    for request in index.requests.values() {
        in_time(index, request, bounds, findings);
        own_account(request, findings);
        whole(index, request, findings);
        not_run(request, findings);
        at_most_once(index, request, findings);
    }
}

fn in_time(index: &Index, request: &Request, bounds: &Bounds, findings: &mut Findings) {
    findings.case(Point::InTime);
    let name = request.sent.request.clone();
    let Some(end) = &request.end else {
        let violation = Violation::Dropped { request: name };
        return findings.note(Point::InTime, request.at, violation);
    };
    if index.troubled(&request.sent.vm, request.at, end.at) {
        return;
    }
    let unserved = matches!(end.outcome, Outcome::Broken | Outcome::Unreachable);
    if unserved && index.closed(&request.sent.vm, request.at, bounds.linger) {
        return;
    }
    if unserved || end.outcome == Outcome::Silent {
        let violation = Violation::Unanswered {
            request: name,
            outcome: end.outcome.clone(),
        };
        return findings.note(Point::InTime, end.at, violation);
    }
    let deadline = after(request.at, Duration::from_millis(request.sent.deadline));
    let over = between(deadline, end.at);
    if over > bounds.late {
        let violation = Violation::Late {
            request: name,
            over,
        };
        findings.note(Point::InTime, end.at, violation);
    }
}

fn own_account(request: &Request, findings: &mut Findings) {
    findings.case(Point::OwnAccount);
    let sent = &request.sent;
    if sent.open || (sent.allowed && sent.account.is_some()) {
        return;
    }
    for run in &request.runs {
        let violation = Violation::Foreign {
            request: sent.request.clone(),
            upstream: run.upstream.clone(),
            account: sent.account.clone(),
        };
        findings.note(Point::OwnAccount, run.at, violation);
    }
}

fn whole(index: &Index, request: &Request, findings: &mut Findings) {
    let Some(end) = &request.end else { return };
    let name = request.sent.request.clone();
    match &end.outcome {
        Outcome::Whole { status, echo } if (200..300).contains(status) => {
            findings.case(Point::WholeAnswer);
            let own = echo
                .as_ref()
                .is_some_and(|echo| is_own(index, request, echo));
            if !own {
                let violation = Violation::Crossed { request: name };
                findings.note(Point::WholeAnswer, end.at, violation);
            }
        }
        Outcome::Truncated | Outcome::Garbled => {
            findings.case(Point::WholeAnswer);
            let violation = Violation::NotWhole {
                request: name,
                outcome: end.outcome.clone(),
            };
            findings.note(Point::WholeAnswer, end.at, violation);
        }
        _ => {}
    }
}

/// Whether an answer is the request's own, or that of the same request under the same key.
fn is_own(index: &Index, request: &Request, echo: &Echo) -> bool {
    let sent = &request.sent;
    let named = echo.request == sent.request
        || index
            .same_key(request)
            .any(|other| other.sent.request == echo.request);
    named && echo.digest == sent.digest && echo.model == sent.model && echo.adapter == sent.adapter
}

fn says_not_run(end: &End) -> bool {
    matches!(
        end.outcome,
        Outcome::Refused { ran: Ran::No, .. }
            | Outcome::Cut {
                ran: Some(Ran::No),
                ..
            }
    )
}

fn not_run(request: &Request, findings: &mut Findings) {
    if !request.end.as_ref().is_some_and(says_not_run) {
        return;
    }
    findings.case(Point::NotRun);
    for run in &request.runs {
        let violation = Violation::RanAfterAll {
            request: request.sent.request.clone(),
            upstream: run.upstream.clone(),
        };
        findings.note(Point::NotRun, run.at, violation);
    }
}

fn at_most_once(index: &Index, request: &Request, findings: &mut Findings) {
    let sent = &request.sent;
    if sent.idempotent {
        return;
    }
    findings.case(Point::AtMostOnce);
    let others = || index.same_key(request);
    let first = others().all(|other| other.sent.request >= sent.request);
    let shared: usize = others().map(|other| other.runs.len()).sum();
    let runs = request.runs.len().max(if first { shared } else { 0 });
    if runs > 1 {
        let violation = Violation::Repeated {
            request: sent.request.clone(),
            runs,
        };
        findings.note(Point::AtMostOnce, request.at, violation);
    }
}
