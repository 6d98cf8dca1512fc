//! What a digest holds.
//!
//! A digest is bounded in bytes, whatever the fleet's size, so that a VM's cost does not grow with
//! it: leaving words and lost VMs go first, and the rest takes turns.

use std::time::Duration;

use crate::ids::{Generation, Revision, UpstreamId, VmId};
use crate::peer::frame;
use crate::schema::peer::{Digest, MemberDigest, UpstreamDigest};

/// Largest digest, in bytes before framing.
pub const MAX_DIGEST_BYTES: usize = 256;
/// Room a list takes beyond its entries, in bytes.
const LIST_BYTES: usize = 14;

/// What a VM says of itself.
#[derive(Clone, Debug)]
pub struct Own {
    /// The VM.
    pub vm: VmId,
    /// Its generation.
    pub generation: Generation,
    /// Its revision in force.
    pub revision: Revision,
    /// Time since it heard the store.
    pub heard: Duration,
    /// Whether it shuts down.
    pub leaving: bool,
}

impl Own {
    /// A digest of this VM alone.
    pub fn bare(&self) -> Digest {
        Digest {
            vm: self.vm.clone(),
            generation: self.generation,
            revision: self.revision,
            heard: self.heard.as_millis() as u64,
            leaving: self.leaving,
            upstreams: Vec::new(),
            members: Vec::new(),
        }
    }
}

/// The upstreams to tell of: those that newly leave, then the loads from `turn` on.
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

/// Fills a digest up to `bound` bytes, alternating so that neither list starves the other.
pub fn fill(
    mut digest: Digest,
    members: Vec<MemberDigest>,
    upstreams: Vec<UpstreamDigest>,
    bound: usize,
) -> Digest {
    let mut room = bound.saturating_sub(frame::encoded_size(&digest) + 2 * LIST_BYTES);
    let mut members = members.into_iter().peekable();
    let mut upstreams = upstreams.into_iter().peekable();
    loop {
        let member = take(&mut members, &mut room);
        let upstream = take(&mut upstreams, &mut room);
        if member.is_none() && upstream.is_none() {
            return digest;
        }
        digest.members.extend(member);
        digest.upstreams.extend(upstream);
    }
}

fn take<I>(entries: &mut std::iter::Peekable<I>, room: &mut usize) -> Option<I::Item>
where
    I: Iterator,
    I::Item: serde::Serialize,
{
    let size = frame::encoded_size(entries.peek()?);
    *room = room.checked_sub(size)?;
    entries.next()
}
