//! Usage reports: what every VM tells all others, with the leader's heartbeat.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use slog::info;

use crate::gateway::fanout::roles::assign;
use crate::gateway::peers::MIN_USAGE_INTERVAL;
use crate::schema::mesh::{Broadcast, Datagram, LeaderHeartbeat, Usage, VmSite};

use super::forwarding::{COPIES, URGENT_COPIES};
use super::{INTERVAL_JITTER, Mesh};

/// How long after its start a VM's usage reports name its data centre. VMs that start later read it
/// in the store, so a few reports in a row suffice.
const SITE_REPORT_TIME: Duration = Duration::from_secs(10);
/// Shortest interval between usage reports.
const MIN_USAGE_DELAY: Duration = Duration::from_millis(40);

impl Mesh {
    pub(super) fn handle_usage(&self, mut usage: Usage, from: SocketAddr) {
        let now = self.gateway.clock.now();
        let mut state = self.lock();
        if state.peers.is_outdated(&usage) {
            return;
        }
        if let Some(heartbeat) = &usage.lease {
            let newer = state
                .leader
                .as_ref()
                .is_none_or(|(_, epoch, ..)| *epoch <= heartbeat.epoch);
            let same = state
                .leader
                .as_ref()
                .is_some_and(|(vm, ..)| *vm == usage.vm);
            if newer && !same {
                self.gateway.demand_due.notify_one();
            }
            if newer {
                state.leader = Some((usage.vm.clone(), heartbeat.epoch, heartbeat.version, now));
                let boot = self.gateway.clock.boot();
                self.gateway
                    .upstream_limits()
                    .on_leader(heartbeat.epoch, boot);
            }
        }
        self.gateway.on_leaving_hints(&usage.leaving);
        self.gateway.on_limit_reports(&usage.limits);
        self.gateway.on_peer_refusals(&usage.over, now);
        let quarantine = usage.quarantine.take();
        let vm = usage.vm.clone();
        let change = state.peers.apply_usage(usage, from, now);
        let reachability = change.reappeared.then(|| state.peers.reachability(now));
        drop(state);
        if change.new {
            info!(self.gateway.log, "vm_heard"; "peer" => %vm);
            let own = &self.gateway.vm;
            self.gateway.upstream_limits().roster.add(own, [vm]);
        }
        if let Some(report) = quarantine {
            self.gateway.on_quarantine_report(report);
        }
        // A VM that has just started must not wait until the next usage report for what is held back.
        if change.started
            && let Some(report) = self.gateway.quarantine_summary()
        {
            self.try_send(&Datagram::Quarantine(report), from);
        }
        if change.started
            && let Some(summary) = self.gateway.limit_summary()
        {
            self.try_send(&Datagram::Limits(summary), from);
        }
        for (account, tokens) in change.earlier {
            self.gateway.add_earlier_usage(&account, tokens);
        }
        self.gateway
            .add_peer_usage(change.admitted, change.silence, now);
        // Its usage counts from now on, so its part must as well.
        if let Some(reachability) = reachability {
            self.gateway.set_reachability(reachability);
        }
        self.gateway.on_peer_message(now);
        let upstreams = self.gateway.upstreams.load();
        for (id, slowness) in change.slow {
            if let Some(upstream) = upstreams.get(&id) {
                upstream.health.slowdown().on_report(slowness, now);
            }
        }
        for (id, requests) in change.loads {
            if let Some(upstream) = upstreams.get(&id) {
                upstream.health.set_peer_load(requests);
            }
        }
    }

    pub(super) async fn report_usage(self: Arc<Self>) {
        let mut copies = COPIES;
        loop {
            self.broadcast(Broadcast::Usage(self.usage_report()), copies)
                .await;
            self.report_configuration().await;
            self.refresh_peers();
            tokio::time::sleep(MIN_USAGE_DELAY).await;
            let due = self.gateway.usage_due.notified();
            // Ends early when usage should be reported at once. The random factor keeps VMs that
            // started together from reporting at the same moments.
            let interval = self
                .usage_interval()
                .mul_f64(rand::rng().random_range(INTERVAL_JITTER));
            let woken = tokio::time::timeout(interval.saturating_sub(MIN_USAGE_DELAY), due).await;
            copies = if woken.is_ok() { URGENT_COPIES } else { COPIES };
        }
    }

    /// Tells the others of a change of the configuration, and asks them while this VM does not trust
    /// what it reads.
    async fn report_configuration(&self) {
        let now = self.gateway.clock.boot();
        let due = self.gateway.freshness().due_report(now);
        if let Some(report) = due {
            self.broadcast(Broadcast::Configuration(report), COPIES)
                .await;
        }
    }

    /// Interval between usage reports of this VM. The leader always uses the shortest one, because
    /// the others count it as lost after a short silence.
    fn usage_interval(&self) -> Duration {
        let state = self.lock();
        if state.lease.is_some() {
            return MIN_USAGE_INTERVAL;
        }
        state.peers.usage_interval()
    }

    fn usage_report(&self) -> Usage {
        let upstreams = self.gateway.upstreams.load();
        let loads = upstreams.iter().map(|(id, u)| (id, u.health.running()));
        let loads = loads.filter(|(_, requests)| *requests > 0);
        let now = self.gateway.clock.now();
        let slow = upstreams.iter().filter_map(|(id, upstream)| {
            let slowness = upstream.health.slowdown().report(now)?;
            Some((id.clone(), slowness))
        });
        let lease = self.lock().lease;
        Usage {
            vm: self.gateway.vm.clone(),
            generation: self.generation,
            age_ms: Some(self.age().as_millis() as u64),
            lease: lease.map(|(epoch, version)| LeaderHeartbeat { epoch, version }),
            accounts: self.gateway.report_admitted(),
            slow: slow.collect(),
            upstreams: loads.map(|(id, n)| (id.clone(), n)).collect(),
            leaving: self.gateway.leaving_hints(),
            quarantine: self.gateway.quarantine_report(),
            limits: self.gateway.limit_report(),
            over: self.gateway.refused_accounts(),
            site: self.own_site(),
        }
    }

    /// Time since this VM started.
    fn age(&self) -> Duration {
        let now = self.gateway.clock.now();
        now.saturating_duration_since(self.started)
    }

    /// Data centre and capacity of this VM, for its first reports.
    fn own_site(&self) -> Option<VmSite> {
        (self.age() < SITE_REPORT_TIME).then(|| VmSite {
            centre: self.gateway.centre.clone(),
            capacity: self.gateway.capacity,
        })
    }

    /// Removes VMs that no longer report, and publishes reachability and upstream loads anew.
    fn refresh_peers(&self) {
        let now = self.gateway.clock.now();
        let mut state = self.lock();
        state.peers.expire(now);
        let reachability = state.peers.reachability(now);
        let loads = state.peers.loads().clone();
        let mut local = state.peers.in_centre(&self.gateway.centre, now);
        drop(state);
        local.insert(self.gateway.vm.clone(), self.gateway.capacity);
        self.gateway.set_role(assign(&self.gateway.vm, &local));
        self.gateway.set_reachability(reachability);
        for (id, upstream) in self.gateway.upstreams.load().iter() {
            let requests = loads.get(id).copied().unwrap_or_default();
            upstream.health.set_peer_load(requests);
        }
    }
}
