//! Composition of digests.
//!
//! A digest is limited in bytes, so that the cost of a VM does not grow with the number of VMs.
//! Entries on newly leaving VMs and upstreams and on lost VMs come first; the other entries take
//! turns over the rounds.

use std::time::Duration;

use crate::ids::{Generation, Revision, UpstreamId, VmId};
use crate::peer::frame;
use crate::schema::peer::{Digest, MemberDigest, UpstreamDigest};

/// Largest digest, in bytes of CBOR without the WebSocket framing.
pub const MAX_DIGEST_BYTES: usize = 256;
/// Bytes that a list of a digest takes in addition to its entries.
const LIST_OVERHEAD_BYTES: usize = 14;

/// State that this VM reports of itself in a digest.
#[derive(Clone, Debug)]
pub struct LocalSnapshot {
    /// This VM.
    pub vm: VmId,
    /// Generation of this VM.
    pub generation: Generation,
    /// Revision of the active configuration.
    pub revision: Revision,
    /// Time since this VM last received a response from the store.
    pub store_age: Duration,
    /// Whether this VM is shutting down.
    pub leaving: bool,
}

impl LocalSnapshot {
    /// A digest without entries on other VMs and on upstreams.
    pub fn to_digest(&self) -> Digest {
        Digest {
            vm: self.vm.clone(),
            generation: self.generation,
            revision: self.revision,
            heard: self.store_age.as_millis() as u64,
            leaving: self.leaving,
            upstreams: Vec::new(),
            members: Vec::new(),
        }
    }
}

/// Upstream entries in order of priority: newly leaving upstreams first, then `loads`, rotated so
/// that index `turn`, modulo their count, comes first.
pub fn upstream_entries<'a, R>(
    leaving: R,
    loads: &[UpstreamDigest],
    turn: usize,
) -> Vec<UpstreamDigest>
where
    R: Iterator<Item = (&'a UpstreamId, Generation)>,
{
    let mut entries: Vec<_> = leaving
        .map(|(upstream, generation)| UpstreamDigest {
            upstream: upstream.clone(),
            generation,
            leaving: true,
            inflight: 0,
        })
        .collect();
    if loads.is_empty() {
        return entries;
    }
    let (before, after) = loads.split_at(turn % loads.len());
    entries.extend(after.iter().chain(before).cloned());
    entries
}

/// Adds entries to a digest up to `bound` bytes, alternating between the two lists so that neither
/// crowds out the other.
pub fn fill(
    mut digest: Digest,
    members: Vec<MemberDigest>,
    upstreams: Vec<UpstreamDigest>,
    bound: usize,
) -> Digest {
    let mut free_bytes =
        bound.saturating_sub(frame::encoded_size(&digest) + 2 * LIST_OVERHEAD_BYTES);
    let mut members = members.into_iter().peekable();
    let mut upstreams = upstreams.into_iter().peekable();
    loop {
        let member = take_fitting(&mut members, &mut free_bytes);
        let upstream = take_fitting(&mut upstreams, &mut free_bytes);
        if member.is_none() && upstream.is_none() {
            return digest;
        }
        digest.members.extend(member);
        digest.upstreams.extend(upstream);
    }
}

// Takes the next entry if it fits.
fn take_fitting<I>(entries: &mut std::iter::Peekable<I>, free_bytes: &mut usize) -> Option<I::Item>
where
    I: Iterator,
    I::Item: serde::Serialize,
{
    let size = frame::encoded_size(entries.peek()?);
    *free_bytes = free_bytes.checked_sub(size)?;
    entries.next()
}
