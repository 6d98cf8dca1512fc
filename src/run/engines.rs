//! What engines say, handed to the choice of upstreams.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use tokio::task::JoinHandle;

use crate::clock::Clock;
use crate::engine::{CacheEvents, EngineControl, EngineError, LoadReport, Order, OrderAnswer};
use crate::ids::UpstreamId;
use crate::route::balancer::Balancer;
use crate::route::upstream_id;
use crate::store::{Instance, InstanceDirectory};

const CACHE_PAUSE: Duration = Duration::from_secs(1);

/// Passes calls on and shows each load report to the choice of upstreams.
#[derive(Debug)]
pub struct ReportTap {
    /// The engines.
    pub inner: Arc<dyn EngineControl>,
    /// The choice.
    pub balancer: Arc<Balancer>,
    /// Time.
    pub clock: Arc<dyn Clock>,
}

impl EngineControl for ReportTap {
    fn order<'a>(
        &'a self,
        engine: &'a Instance,
        order: &'a Order,
    ) -> BoxFuture<'a, Result<OrderAnswer, EngineError>> {
        self.inner.order(engine, order)
    }

    fn report<'a>(
        &'a self,
        engine: &'a Instance,
    ) -> BoxFuture<'a, Result<LoadReport, EngineError>> {
        Box::pin(async move {
            let report = self.inner.report(engine).await?;
            if let Some(upstream) = upstream_id(engine) {
                self.balancer
                    .on_report(&upstream, &report, self.clock.now());
            }
            Ok(report)
        })
    }

    fn events<'a>(
        &'a self,
        engine: &'a Instance,
        from: u64,
    ) -> BoxFuture<'a, Result<CacheEvents, EngineError>> {
        self.inner.events(engine, from)
    }
}

/// A running reader of cache events; ends when dropped.
#[derive(Debug)]
pub struct CacheFeed(JoinHandle<()>);

impl CacheFeed {
    /// Starts to read the events of every engine.
    pub fn spawn(
        engines: Arc<dyn EngineControl>,
        directory: Arc<InstanceDirectory>,
        balancer: Arc<Balancer>,
        clock: Arc<dyn Clock>,
    ) -> Self {
        Self(tokio::spawn(async move {
            let mut positions: BTreeMap<UpstreamId, u64> = BTreeMap::new();
            loop {
                for engine in directory.snapshot().live_engines() {
                    let Some(upstream) = upstream_id(&engine) else {
                        continue;
                    };
                    let from = positions.get(&upstream).copied().unwrap_or_default();
                    if let Ok(events) = engines.events(&engine, from).await {
                        positions.insert(upstream.clone(), events.next);
                        balancer.on_cache_events(&upstream, &events, clock.now());
                    }
                }
                tokio::time::sleep(CACHE_PAUSE).await;
            }
        }))
    }
}

impl Drop for CacheFeed {
    fn drop(&mut self) {
        self.0.abort();
    }
}
