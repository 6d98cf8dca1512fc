//! Telling peers, in rounds and at once.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{MissedTickBehavior, interval};

use super::inner::{Inner, lock};
use crate::ids::VmId;
use crate::peer::digest::{self, MAX_DIGEST_BYTES};
use crate::peer::membership::Members;
use crate::schema::peer::{Digest, Frame};

impl Inner {
    pub(super) async fn tell_all(self: Arc<Self>) {
        let pause = Duration::from_millis(self.options.settings.digest);
        let mut rounds = interval(pause);
        rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut turn = 0;
        loop {
            tokio::select! {
                _ = rounds.tick() => turn = self.tell_round(turn),
                () = self.stop() => return,
            }
        }
    }

    // Returns where the next round continues among the upstreams.
    pub(super) fn tell_round(self: &Arc<Self>, turn: usize) -> usize {
        self.publish();
        let members = self.members.load_full();
        self.update_connectivity(&members);
        lock(&self.links).forget(|vm| members.vms.contains_key(vm));
        let targets = lock(&self.gossip).start_round(&members);
        let digest = self.digest(turn);
        let told = digest.upstreams.len();
        self.tell(&targets, digest);
        turn + told
    }

    pub(super) fn update_connectivity(&self, members: &Members) {
        let now = self.clock.now();
        let silence = lock(&self.links).silence();
        let mut tracker = lock(&self.tracker);
        if let Some(silence) = silence {
            tracker.record_peer(silence, now);
        }
        let has_peers = !members.vms.is_empty();
        self.connectivity
            .store(tracker.connectivity(self.state.store_age(), has_peers, now));
    }

    pub(super) fn tell_news(self: &Arc<Self>, except: Option<&VmId>) {
        let members = self.members.load_full();
        let targets = lock(&self.gossip).news_targets(&members, except);
        let digest = self.digest(0);
        self.metrics.told.inc_by(targets.len() as u64);
        self.tell(&targets, digest);
    }

    pub(super) fn tell(self: &Arc<Self>, targets: &[VmId], digest: Digest) {
        let frame = Frame::Digest(digest);
        for vm in targets {
            // A failure is counted by `send`; the next round tells others.
            let _ = self.send(vm, &frame);
        }
    }

    pub(super) fn digest(&self, turn: usize) -> Digest {
        let loads = self.state.upstream_loads();
        let bare = self.local_snapshot().to_digest();
        self.with_members(|membership, now| {
            let rumours = membership.member_digests(now);
            let leaving = membership.newly_leaving_upstreams();
            let upstreams = digest::upstream_entries(leaving, &loads, turn);
            let digest = digest::fill(bare, rumours, upstreams, MAX_DIGEST_BYTES);
            let vms = digest.members.iter().map(|m| &m.vm);
            let upstreams = digest.upstreams.iter().map(|u| &u.upstream);
            membership.record_digest(vms, upstreams, now);
            digest
        })
    }
}
