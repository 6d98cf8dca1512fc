//! Which engine takes a request.
//!
//! Among the engines that hold what is asked for, the least loaded one in proportion to its slots;
//! loads that differ by less than a few requests count as equal, and then a hash of the prompt's
//! shared part decides, so that engines read shared parts once. Engines in the VM's own data
//! centre go before others at equal load, for bytes between data centres cost.

use std::collections::BTreeSet;
use std::time::Instant;

use crate::ids::{DataCentre, UpstreamId};

use super::call::{Call, Target};
use super::upstream::Upstream;

/// Loads within this share of an engine's slots count as equal.
const EQUAL_LOAD_SHARE: f64 = 0.08;

/// Why no engine was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoEngine {
    /// No engine holds the model.
    NoModel,
    /// An engine holds the model, none of them the adapter.
    NoAdapter,
    /// Every engine that could serve was tried or is out of use.
    Unusable,
}

/// Chooses among `upstreams`, passing over those in `tried`.
///
/// # Errors
///
/// [`NoEngine`], which says what is missing.
pub fn choose_upstream<'a, I>(
    upstreams: I,
    call: &Call,
    home: &DataCentre,
    tried: &BTreeSet<UpstreamId>,
    now: Instant,
) -> Result<&'a Upstream, NoEngine>
where
    I: Iterator<Item = &'a Upstream>,
{
    let mut missing = NoEngine::NoModel;
    let mut fit = Vec::new();
    for upstream in upstreams {
        match &call.target {
            Some(target) if !upstream.entry.holds.serve(target) => {
                if holds_model(upstream, target) && missing == NoEngine::NoModel {
                    missing = NoEngine::NoAdapter;
                }
            }
            _ => {
                missing = NoEngine::Unusable;
                if !tried.contains(&upstream.entry.id) {
                    fit.push(upstream);
                }
            }
        }
    }
    let sound: Vec<_> = fit
        .iter()
        .copied()
        .filter(|u| !u.pulse.ejected(now))
        .collect();
    // An ejected engine is better than none: it may have recovered.
    let pool = if sound.is_empty() { fit } else { sound };
    let least = pool.iter().map(|u| share(u)).fold(f64::MAX, f64::min);
    let near = pool
        .into_iter()
        .filter(|u| share(u) <= least + EQUAL_LOAD_SHARE);
    near.max_by_key(|u| (u.entry.centre == *home, rank(u, call)))
        .ok_or(missing)
}

fn holds_model(upstream: &Upstream, target: &Target) -> bool {
    upstream.entry.holds.models.contains_key(&target.model)
}

fn share(upstream: &Upstream) -> f64 {
    f64::from(upstream.pulse.load()) / f64::from(upstream.entry.slots.max(1))
}

/// Highest-random-weight rank of an engine for the first shared part of the prompt.
fn rank(upstream: &Upstream, call: &Call) -> u64 {
    let seed = match call.parts.first() {
        Some(part) => part.hash,
        None => stable_hash(call.id.as_str().as_bytes(), 0),
    };
    stable_hash(upstream.entry.id.as_str().as_bytes(), seed)
}

const HASH_PRIME: u64 = 0x0100_0000_01b3;
const HASH_BASIS: u64 = 0xcbf2_9ce4_8422_2325;

/// Multipliers and shift that spread every bit of a hash over all of them.
const SPREAD: [u64; 2] = [0xff51_afd7_ed55_8ccd, 0xc4ce_b9fe_1a85_ec53];
const SPREAD_SHIFT: u32 = 33;

/// A quick hash that is the same on every VM.
pub fn stable_hash(bytes: &[u8], seed: u64) -> u64 {
    let mut hash = HASH_BASIS ^ seed.rotate_left(31);
    for byte in bytes {
        hash = (hash ^ u64::from(*byte)).wrapping_mul(HASH_PRIME);
    }
    for factor in SPREAD {
        hash = (hash ^ (hash >> SPREAD_SHIFT)).wrapping_mul(factor);
    }
    hash ^ (hash >> SPREAD_SHIFT)
}
