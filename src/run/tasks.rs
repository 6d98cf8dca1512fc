//! Tasks that carry news from one module to the others.

use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinHandle;

use crate::declare::ActiveConfig;
use crate::declare::config_sync::ConfigSync;
use crate::limit::DistributedLimiter;
use crate::once::store_log::StoreOnceLog;
use crate::peer::PeerNode;
use crate::route::balancer::Balancer;
use crate::route::http::HttpTransport;
use crate::route::{Chooser, upstream_id};
use crate::store::{InstanceDirectory, InstanceList, InstanceSnapshot, InstanceState};

const FLUSH_PAUSE: Duration = Duration::from_secs(1);

/// Brings each new revision to the limits and to the peers.
pub fn follow_config(
    active_config: Arc<ActiveConfig>,
    limits: Arc<DistributedLimiter>,
    config_sync: Arc<ConfigSync>,
) -> JoinHandle<()> {
    let mut news = active_config.subscribe();
    tokio::spawn(async move {
        loop {
            let current = active_config.current();
            if current.head.is_some() {
                limits.configure(&current.declaration);
                config_sync.announce(current.revision);
            }
            if news.changed().await.is_err() {
                return;
            }
        }
    })
}

/// Writes ends of requests that must run once, where the store failed before.
pub fn flush_records(once: Arc<StoreOnceLog>) -> JoinHandle<()> {
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(FLUSH_PAUSE).await;
            once.flush().await;
        }
    })
}

/// Brings each reading of the platform's list to the links and to the choice of upstreams, and
/// each word that an upstream leaves from one to the other.
pub fn follow_list(
    directory: Arc<InstanceDirectory>,
    node: Arc<PeerNode>,
    balancer: Arc<Balancer>,
    transport: Arc<HttpTransport>,
) -> JoinHandle<()> {
    let mut news = directory.subscribe();
    tokio::spawn(async move {
        while news.changed().await.is_ok() {
            let snapshot = directory.snapshot();
            node.apply_list(&InstanceList {
                age: 0,
                instances: snapshot.instances.clone(),
            });
            note_leaving(&snapshot, &balancer);
            for (upstream, generation) in &node.members().leaving_upstreams {
                balancer.on_leaving(upstream, *generation);
            }
            for (upstream, generation) in balancer.leaving() {
                node.mark_upstream_leaving(&upstream, generation);
            }
            let listed = |at: &str| snapshot.instances.iter().any(|i| i.address == at);
            transport.retain(listed);
        }
    })
}

fn note_leaving(snapshot: &InstanceSnapshot, balancer: &Balancer) {
    let leaving = snapshot
        .instances
        .iter()
        .filter(|i| i.state == InstanceState::Leaving);
    for instance in leaving {
        if let Some(upstream) = upstream_id(instance) {
            balancer.on_leaving(&upstream, instance.generation);
        }
    }
}
