//! Demand reports: what requests of this VM wait for and run at, told to the leader.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::gateway::demand::{Demand, DemandReporter};
use crate::gateway::demand_entries::write_demand;
use crate::gateway::request::Target;
use crate::ids::{ModelId, UpstreamId};
use crate::schema::mesh::{Datagram, DemandReport};

use super::{Mesh, RunningRequests};

/// Interval between reports of the models that requests of a VM wait for; a request that begins to
/// wait is reported at once.
const DEMAND_INTERVAL: Duration = Duration::from_millis(250);
/// How long a VM's report of its running requests counts; each complete demand report repeats it.
const RUNNING_TIMEOUT: Duration = Duration::from_millis(1500);
/// Largest number of models and adapters in one demand report, which must fit into a datagram.
const MAX_TARGETS_PER_REPORT: usize = 24;
/// Shortest interval between demand reports.
const MIN_DEMAND_INTERVAL: Duration = Duration::from_millis(10);

impl Mesh {
    /// Demand of all VMs, including this one.
    pub fn total_demand(&self) -> BTreeMap<Target, Demand> {
        let now = self.gateway.clock.now();
        let mut sums = self.lock().peer_demand.total(now);
        for (target, demand) in self.gateway.demand().current(now) {
            let sum = sums.entry(target).or_default();
            sum.rate += demand.rate;
            sum.waiting += demand.waiting;
            sum.late += demand.late;
        }
        sums
    }

    /// Running requests of all VMs, by engine and model.
    pub fn running_requests(&self) -> BTreeMap<(UpstreamId, ModelId), u32> {
        let now = self.gateway.clock.now();
        let mut sums: BTreeMap<_, u32> = BTreeMap::new();
        let mut state = self.lock();
        state
            .peer_running
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < RUNNING_TIMEOUT);
        let own = self.own_running_requests();
        let reported = state.peer_running.values().map(|(running, _)| running);
        for (engine, models) in reported.chain([&own]).flatten() {
            for (model, requests) in models {
                *sums.entry((engine.clone(), model.clone())).or_default() += requests;
            }
        }
        sums
    }

    fn own_running_requests(&self) -> RunningRequests {
        let upstreams = self.gateway.upstreams.load();
        let running = upstreams
            .iter()
            .map(|(id, u)| (id.clone(), u.health.running_by_model()));
        running.filter(|(_, models)| !models.is_empty()).collect()
    }

    pub(super) async fn report_demand(self: Arc<Self>) {
        let mut reporter = DemandReporter::default();
        let mut last_leader = None;
        loop {
            let due = self.gateway.demand_due.notified();
            // Ends early when a request begins to wait or the leader changes.
            let _woken = tokio::time::timeout(DEMAND_INTERVAL, due).await;
            let (leader, address, interval) = {
                let state = self.lock();
                let leader = state.leader.as_ref().filter(|_| state.lease.is_none());
                let leader = leader.map(|(vm, epoch, ..)| (vm.clone(), *epoch));
                let address = leader.as_ref();
                let address = address.and_then(|(vm, _)| state.peers.address(vm));
                (leader, address, state.peers.demand_interval())
            };
            if leader != last_leader {
                reporter.reset();
            }
            if let Some(address) = address {
                let now = self.gateway.clock.now();
                let (demand, full) =
                    reporter.select_due(self.gateway.demand().current(now), now, interval);
                let running = if full {
                    self.own_running_requests()
                } else {
                    RunningRequests::new()
                };
                self.send_demand(demand, running, address).await;
            }
            last_leader = leader;
            tokio::time::sleep(MIN_DEMAND_INTERVAL).await;
        }
    }

    async fn send_demand(
        &self,
        demand: BTreeMap<Target, Demand>,
        mut running: RunningRequests,
        to: SocketAddr,
    ) {
        let targets: Vec<_> = demand.into_iter().collect();
        for chunk in targets.chunks(MAX_TARGETS_PER_REPORT) {
            let datagram = Datagram::Wants(DemandReport {
                vm: self.gateway.vm.clone(),
                wants: write_demand(chunk),
                runs: std::mem::take(&mut running),
            });
            self.send(&datagram, to).await;
        }
    }
}
