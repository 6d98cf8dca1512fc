//! Load balancing: chooses the upstream that a request is sent to.
//!
//! Of the upstreams that can serve the request, the one with the lowest load in proportion to its
//! slots is chosen; an upstream that is slower than usual counts as more loaded
//! ([`super::slowdown`]). Loads that differ by a few requests only count as equal. At equal load,
//! an upstream in this VM's own data centre is preferred, since traffic between data centres costs
//! money; then a hash of the first part of the prompt decides, so that requests which share this
//! part reach the same engine, which keeps it cached.

use std::collections::BTreeSet;
use std::time::Instant;

use crate::ids::{DataCentre, UpstreamId};

use super::request::{RequestHead, Target};
use super::upstream::Upstream;

/// Difference between two loads, as a share of the slots, up to which they count as equal.
const EQUAL_LOAD_SHARE: f64 = 0.08;

/// Why no upstream was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoEngine {
    /// No engine holds the model.
    NoModel,
    /// An engine holds the model, but no engine holds the adapter.
    NoAdapter,
    /// Every upstream that could serve the request has been tried.
    Unusable,
    /// Every upstream that could serve the request and was not tried wants no requests of this VM
    /// before some time; this is the earliest.
    Deferred(Instant),
}

/// Chooses one of `upstreams` for a request, except those in `tried`. `home` is this VM's data
/// centre.
///
/// # Errors
///
/// [`NoEngine`] if there is none.
pub fn choose_upstream<'a, I>(
    upstreams: I,
    head: &RequestHead,
    home: &DataCentre,
    tried: &BTreeSet<UpstreamId>,
    now: Instant,
) -> Result<&'a Upstream, NoEngine>
where
    I: Iterator<Item = &'a Upstream>,
{
    let mut missing = NoEngine::NoModel;
    let mut candidates = Vec::new();
    let mut deferred_until: Option<Instant> = None;
    for upstream in upstreams {
        match &head.target {
            Some(target) if !upstream.registration.inventory.can_serve(target) => {
                if holds_model(upstream, target) && missing == NoEngine::NoModel {
                    missing = NoEngine::NoAdapter;
                }
            }
            _ => {
                missing = NoEngine::Unusable;
                if tried.contains(&upstream.registration.id) {
                    continue;
                }
                match upstream.health.deferred_until(now) {
                    None => candidates.push(upstream),
                    Some(until) => {
                        deferred_until = Some(deferred_until.map_or(until, |at| at.min(until)));
                    }
                }
            }
        }
    }
    let healthy: Vec<_> = candidates
        .iter()
        .copied()
        .filter(|u| !u.health.is_ejected(now))
        .collect();
    // An ejected upstream is better than none, for it may have recovered.
    let pool = if healthy.is_empty() {
        candidates
    } else {
        healthy
    };
    let loads: Vec<_> = pool.iter().map(|u| weighted_load(u, now)).collect();
    let least = loads.iter().copied().fold(f64::MAX, f64::min);
    let pool = pool.into_iter().zip(loads);
    let least_loaded = pool.filter(|(_, load)| *load <= least + EQUAL_LOAD_SHARE);
    let least_loaded = least_loaded.map(|(upstream, _)| upstream);
    let chosen = least_loaded.max_by_key(|u| (u.registration.centre == *home, rank(u, head)));
    chosen.ok_or(deferred_until.map_or(missing, NoEngine::Deferred))
}

fn holds_model(upstream: &Upstream, target: &Target) -> bool {
    upstream
        .registration
        .inventory
        .loaded
        .contains_key(&target.model)
}

/// Load of an upstream as a share of its slots.
fn load_share(upstream: &Upstream) -> f64 {
    f64::from(upstream.health.load()) / f64::from(upstream.registration.slots.max(1))
}

/// Load of an upstream as a share of its slots. Where work takes longer than usual, the excess
/// factor times this load and one more request is added; one more, so that a slow idle upstream
/// counts as loaded.
fn weighted_load(upstream: &Upstream, now: Instant) -> f64 {
    let next = 1.0 / f64::from(upstream.registration.slots.max(1));
    let excess = upstream.health.slowdown().factor(now) - 1.0;
    let load = load_share(upstream);
    load + excess * (load + next)
}

/// Rank of an upstream by rendezvous hashing (highest random weight) of the first part of the
/// prompt, or of the request's id where the prompt has no parts.
fn rank(upstream: &Upstream, head: &RequestHead) -> u64 {
    let seed = match head.prompt_parts.first() {
        Some(part) => part.hash.0,
        None => stable_hash(head.id.as_str().as_bytes(), 0),
    };
    stable_hash(upstream.registration.id.as_str().as_bytes(), seed)
}

/// Prime and offset basis of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;
const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;

/// Multipliers of the finalizer of `MurmurHash3`, which makes every input bit affect every output
/// bit.
const MIX_FACTORS: [u64; 2] = [0xff51_afd7_ed55_8ccd, 0xc4ce_b9fe_1a85_ec53];
/// Shift of the finalizer.
const MIX_SHIFT: u32 = 33;

/// FNV-1a with a seed and a finalizer: a quick hash that gives the same value on every VM, unlike
/// the standard library's.
pub fn stable_hash(bytes: &[u8], seed: u64) -> u64 {
    let mut hash = FNV_BASIS ^ seed.rotate_left(31);
    for byte in bytes {
        hash = (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
    }
    for factor in MIX_FACTORS {
        hash = (hash ^ (hash >> MIX_SHIFT)).wrapping_mul(factor);
    }
    hash ^ (hash >> MIX_SHIFT)
}
