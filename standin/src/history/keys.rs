//! Keys: hidden from upstreams, and dead once withdrawn.

use std::collections::BTreeMap;

use basilgw::ids::{KeyId, Text};

use super::check::{Bounds, Findings, Point, Violation};
use super::event::{Entry, Event, Micros, Outcome};
use super::index::{End, Index, Request, after, between};

/// Length of a part of a key that counts as a leak, in bytes.
const TELLING_BYTES: usize = 16;

pub(super) fn check(entries: &[Entry], index: &Index, bounds: &Bounds, findings: &mut Findings) {
    hidden(entries, findings);
    for entry in entries {
        if let Event::Withdrawn { key } = &entry.event {
            findings.case(Point::Withdrawal);
            let uses = index.requests.values();
            for request in uses.filter(|request| request.sent.key.as_ref() == Some(key)) {
                dead(request, key, entry.at, bounds, findings);
            }
        }
    }
}

fn hidden(entries: &[Entry], findings: &mut Findings) {
    let granted = entries.iter().filter_map(|entry| match &entry.event {
        Event::Granted { key, secret, .. } => Some((key.clone(), secret.clone())),
        _ => None,
    });
    let granted: BTreeMap<KeyId, Text> = granted.collect();
    for entry in entries {
        let Event::Received { upstream, raw, .. } = &entry.event else {
            continue;
        };
        findings.case(Point::HiddenKey);
        for (key, secret) in &granted {
            if shows(raw, secret) {
                let violation = Violation::Leaked {
                    upstream: upstream.clone(),
                    key: key.clone(),
                };
                findings.note(Point::HiddenKey, entry.at, violation);
            }
        }
    }
}

/// Whether a text holds a secret, or a telling part of it.
fn shows(raw: &str, secret: &str) -> bool {
    let last = secret.len().saturating_sub(TELLING_BYTES);
    let parts = (0..=last).filter_map(|from| secret.get(from..from + TELLING_BYTES));
    raw.contains(secret) || parts.into_iter().any(|part| raw.contains(part))
}

fn dead(request: &Request, key: &KeyId, at: Micros, bounds: &Bounds, findings: &mut Findings) {
    let until = after(at, bounds.withdrawal);
    let runs = request.runs.iter().map(|run| run.at);
    let served = request.end.as_ref().and_then(last_use);
    let Some(late) = runs.chain(served).filter(|at| *at > until).max() else {
        return;
    };
    let violation = Violation::StillWorks {
        request: request.sent.request.clone(),
        key: key.clone(),
        over: between(at, late),
    };
    findings.note(Point::Withdrawal, late, violation);
}

/// When the caller last received something that its key entitled it to.
fn last_use(end: &End) -> Option<Micros> {
    match &end.outcome {
        Outcome::Whole { status, .. } if (200..300).contains(status) => Some(end.at),
        Outcome::Silent | Outcome::Truncated | Outcome::Garbled => end.last,
        // The error that ends a stream comes after its last token, and may come late.
        _ => None,
    }
}
