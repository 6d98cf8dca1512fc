//! Sending of digests, in rounds and at once after an urgent change.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{MissedTickBehavior, interval};

use super::inner::{Inner, lock};
use crate::ids::VmId;
use crate::peer::digest::{self, MAX_DIGEST_BYTES};
use crate::peer::membership::Members;
use crate::schema::peer::{Digest, Frame};

impl Inner {
    pub(super) async fn run_rounds(self: Arc<Self>) {
        let period = Duration::from_millis(self.options.settings.digest);
        let mut rounds = interval(period);
        rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut turn = 0;
        loop {
            tokio::select! {
                _ = rounds.tick() => turn = self.run_round(turn),
                () = self.wait_stopped() => return,
            }
        }
    }

    // Returns the index of the upstream load with which the next round's digest begins.
    pub(super) fn run_round(self: &Arc<Self>, turn: usize) -> usize {
        self.publish_members();
        let members = self.members.load_full();
        self.update_connectivity(&members);
        lock(&self.links).retain_failures(|vm| members.vms.contains_key(vm));
        let targets = lock(&self.gossip).start_round(&members);
        let digest = self.build_digest(turn);
        let sent = digest.upstreams.len();
        self.send_digest(&targets, digest);
        turn + sent
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

    pub(super) fn send_urgent(self: &Arc<Self>, except: Option<&VmId>) {
        let members = self.members.load_full();
        let targets = lock(&self.gossip).urgent_targets(&members, except);
        let digest = self.build_digest(0);
        self.metrics.told.inc_by(targets.len() as u64);
        self.send_digest(&targets, digest);
    }

    pub(super) fn send_digest(self: &Arc<Self>, targets: &[VmId], digest: Digest) {
        let frame = Frame::Digest(digest);
        for vm in targets {
            // `send` counts a failure; later rounds send to other VMs too.
            let _ = self.send(vm, &frame);
        }
    }

    pub(super) fn build_digest(&self, turn: usize) -> Digest {
        let loads = self.state.upstream_loads();
        let local = self.local_snapshot().to_digest();
        self.with_membership(|membership, now| {
            let members = membership.member_digests(now);
            let leaving = membership.newly_leaving_upstreams();
            let upstreams = digest::upstream_entries(leaving, &loads, turn);
            let digest = digest::fill(local, members, upstreams, MAX_DIGEST_BYTES);
            let vms = digest.members.iter().map(|m| &m.vm);
            let upstreams = digest.upstreams.iter().map(|u| &u.upstream);
            membership.record_digest(vms, upstreams, now);
            digest
        })
    }
}
