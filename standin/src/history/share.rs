//! Rates and bursts of accounts.
//!
//! A request is admitted at some moment between its sending and its run. Within any span, the
//! requests that were both sent and run inside it were admitted inside it, so their tokens are at
//! most the burst and what the rate brings in that span. That holds for every span or was violated.

use std::collections::BTreeMap;

use basilgw::ids::ClientAccount;
use basilgw::units::Tokens;

use super::check::{Findings, Point, Violation};
use super::event::{Entry, Event, Micros};
use super::index::{Index, between};

#[derive(Clone, Copy, Debug)]
struct Admission {
    sent: Micros,
    ran: Micros,
    tokens: u64,
}

/// Rounding of counts, in tokens.
const ROUNDING: f64 = 1.0;

pub(super) fn check(entries: &[Entry], index: &Index, findings: &mut Findings) {
    for (account, (rate, burst)) in declared(entries) {
        let mut admissions = admissions(index, &account);
        admissions.sort_by_key(|admission| admission.ran);
        for _ in &admissions {
            findings.case(Point::Share);
        }
        if let Some((at, violation)) = worst(&account, &admissions, rate, burst) {
            findings.note(Point::Share, at, violation);
        }
    }
}

/// The greatest rate and burst that were ever declared for each account.
fn declared(entries: &[Entry]) -> BTreeMap<ClientAccount, (f64, Tokens)> {
    let mut declared = BTreeMap::new();
    for entry in entries {
        if let Event::Declared {
            account,
            rate,
            burst,
        } = &entry.event
        {
            let known = declared.entry(account.clone()).or_insert((*rate, *burst));
            *known = (known.0.max(*rate), known.1.max(*burst));
        }
    }
    declared
}

fn admissions(index: &Index, account: &ClientAccount) -> Vec<Admission> {
    let requests = index.requests.values();
    let own = requests.filter(|request| request.sent.account.as_ref() == Some(account));
    own.flat_map(|request| {
        request.runs.iter().map(|run| Admission {
            sent: request.at,
            ran: run.at,
            tokens: run.tokens.0,
        })
    })
    .collect()
}

/// The span that most exceeds what is allowed.
fn worst(
    account: &ClientAccount,
    admissions: &[Admission],
    rate: f64,
    burst: Tokens,
) -> Option<(Micros, Violation)> {
    let mut worst = (ROUNDING, None);
    for from in admissions.iter().map(|admission| admission.sent) {
        let mut ran = 0;
        for admission in admissions.iter().filter(|a| a.sent >= from) {
            ran += admission.tokens;
            let span = between(from, admission.ran);
            let allowed = burst.0 as f64 + rate * span.as_secs_f64();
            let over = ran as f64 - allowed;
            if over > worst.0 {
                let violation = Violation::Exceeded {
                    account: account.clone(),
                    ran: Tokens(ran),
                    span,
                    allowed: Tokens(allowed as u64),
                };
                worst = (over, Some((admission.ran, violation)));
            }
        }
    }
    worst.1
}
