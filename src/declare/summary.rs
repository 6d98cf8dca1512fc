//! Summary of the differences between two declarations, for the audit trail.

use std::collections::BTreeMap;
use std::fmt::Display;

use compact_str::format_compact;

use crate::ids::Text;
use crate::schema::declaration::{Account, Declaration};

const MAX_LINES: usize = 20;

/// Lists what was added, changed and removed, one difference a line. Where there are more than
/// `MAX_LINES`, a last line counts the omitted ones.
pub fn summarise(before: &Declaration, after: &Declaration) -> Vec<Text> {
    let mut lines = Vec::new();
    compare("model", &before.models, &after.models, &mut lines);
    compare("adapter", &before.adapters, &after.adapters, &mut lines);
    compare("route", &before.routes, &after.routes, &mut lines);
    compare("account", &before.accounts, &after.accounts, &mut lines);
    for (name, account) in &after.accounts {
        if let Some(known) = before.accounts.get(name) {
            compare_keys(known, account, &mut lines);
        }
    }
    let omitted = lines.len().saturating_sub(MAX_LINES);
    lines.truncate(MAX_LINES);
    if omitted > 0 {
        lines.push(format_compact!("and {omitted} more"));
    }
    lines
}

fn compare<K, V>(kind: &str, before: &BTreeMap<K, V>, after: &BTreeMap<K, V>, lines: &mut Vec<Text>)
where
    K: Ord + Display,
    V: PartialEq,
{
    for (name, value) in after {
        match before.get(name) {
            None => lines.push(format_compact!("added {kind} {name}")),
            Some(known) if known != value => lines.push(format_compact!("changed {kind} {name}")),
            Some(_) => {}
        }
    }
    for name in before.keys().filter(|name| !after.contains_key(*name)) {
        lines.push(format_compact!("removed {kind} {name}"));
    }
}

fn compare_keys(before: &Account, after: &Account, lines: &mut Vec<Text>) {
    for (name, caller) in &after.callers {
        if let Some(known) = before.callers.get(name) {
            compare("key", &known.keys, &caller.keys, lines);
        }
    }
}
