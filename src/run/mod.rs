//! One VM, wired.
//!
//! Opens every module in the order in which they need one another, serves until a signal, drains,
//! hands over what this VM holds, and returns.

mod engines;
mod servers;
mod tasks;
mod views;
mod wake;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use slog::{Logger, info, warn};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use self::engines::{CacheFeed, ReportTap};
use self::servers::Drain;
use self::tasks::{flush_records, follow_config, follow_list};
use self::views::{CurrentDeclaration, Engines, LeaseFrames, Leases, Own, Reachable, Status, Vms};
use self::wake::{Waker, Wakes, Woken};
use crate::clock::{Clock, SystemClock};
use crate::config::Config;
use crate::declare::config_sync::ConfigSync;
use crate::declare::{ActiveConfig, ActiveConfigHolder, ConfigWatcher, Submitter, WatchBounds};
use crate::edge::{Edge, EdgeParts, Running, Standing, Watch};
use crate::engine::EngineControl;
use crate::engine::http::HttpEngineControl;
use crate::error::Error;
use crate::ids::Generation;
use crate::limit::driver::LimiterDeps;
use crate::limit::{DistributedLimiter, VmSource};
use crate::log;
use crate::metrics::{EdgeMetrics, Metrics};
use crate::model::{self, ModelDeps, Models};
use crate::once::runner::OnceRunner;
use crate::once::store_log::{RecordOwner, StoreOnceLog};
use crate::ops::{Ops, OpsParts};
use crate::peer::{FrameKind, NodeOptions, PeerNode};
use crate::route::Transport;
use crate::route::balancer::{Balancer, BalancerSettings};
use crate::route::dispatch::Dispatcher;
use crate::route::http::HttpTransport;
use crate::store::http::PlatformClient;
use crate::store::{InstanceDirectory, ObjectStore};

const HANDOVER: Duration = Duration::from_secs(5);
const ORDER_CALL: Duration = Duration::from_secs(2);

/// Modules that every other one builds on.
struct Base {
    config: Config,
    clock: Arc<dyn Clock>,
    log: Logger,
    metrics: Metrics,
    generation: Generation,
    store: Arc<dyn ObjectStore>,
    active_config: Arc<ActiveConfig>,
    directory: Arc<InstanceDirectory>,
    watcher: ConfigWatcher,
    running: Arc<Running>,
}

/// Modules that choose and reach upstreams.
struct Routes {
    balancer: Arc<Balancer>,
    transport: Arc<HttpTransport>,
    engines: Arc<dyn EngineControl>,
    _cache: CacheFeed,
}

/// Modules that talk to other VMs.
struct Fleet {
    node: Arc<PeerNode>,
    limits: Arc<DistributedLimiter>,
    models: Arc<Models>,
    once: Arc<StoreOnceLog>,
    standing: Arc<dyn Standing>,
    _tasks: Tasks,
}

/// Tasks that end with this value.
struct Tasks(Vec<JoinHandle<()>>);

impl Drop for Tasks {
    fn drop(&mut self) {
        self.0.iter().for_each(JoinHandle::abort);
    }
}

/// Runs one VM until it is told to stop.
///
/// # Errors
///
/// Where an address cannot be bound or a part cannot be started.
pub async fn run(config: Config) -> Result<(), Error> {
    let base = open_base(config)?;
    let gate = servers::bind_gate(&base.config)?;
    let ops_listener = servers::bind_ops(&base.config)?;
    let at = ops_listener.local_addr();
    let operators_at = at.map_err(|e| servers::bind_error(base.config.operators_at, e))?;
    let routes = open_routes(&base)?;
    let fleet = open_fleet(&base, &routes)?;
    info!(base.log, "started";
        "callers" => %gate.address(), "operators" => %operators_at,
        "peers" => %fleet.node.local_addr(),
        "generation" => base.generation.0);
    let edge = open_edge(&base, &routes, &fleet)?;
    let ops = open_ops(&base, &fleet);
    let (over, done) = watch::channel(false);
    let hook = drain(&base, &fleet, over);
    let (callers, operators) = tokio::join!(
        servers::serve_callers(edge, gate, hook),
        servers::serve_operators(ops, ops_listener, done),
    );
    callers.and(operators)
}

fn open_base(config: Config) -> Result<Base, Error> {
    let clock = SystemClock::open();
    let log = log::open(&config.vm, config.level);
    let metrics = Metrics::open();
    let settings = &config.platform;
    let timeout = Duration::from_millis(settings.timeout);
    let client = Arc::new(PlatformClient::open(config.platform_at, timeout)?);
    client.counters().register(&metrics)?;
    let store = Arc::clone(&client) as Arc<dyn ObjectStore>;
    let active_config = ActiveConfig::open();
    let bounds = WatchBounds {
        max_wait: Duration::from_millis(settings.watch),
        max_backoff: Duration::from_millis(settings.backoff),
    };
    let watcher = ConfigWatcher::spawn(
        Arc::clone(&store),
        Arc::clone(&active_config),
        Arc::clone(&clock),
        bounds,
        log.clone(),
    );
    let pause = Duration::from_millis(settings.list);
    let directory = Arc::new(InstanceDirectory::spawn(
        client,
        Arc::clone(&clock),
        pause,
        log.clone(),
    ));
    Ok(Base {
        generation: Generation(clock.wall_ms()),
        config,
        clock,
        log,
        metrics,
        store,
        active_config,
        directory,
        watcher,
        running: Running::open(),
    })
}

fn open_routes(base: &Base) -> Result<Routes, Error> {
    let settings = &base.config.upstreams;
    let choice = BalancerSettings {
        centre: base.config.centre.clone(),
        retry_percent: settings.budget,
        seed: base.generation.0,
    };
    let balancer = Arc::new(Balancer::open(&choice, base.clock.now()));
    let transport = Arc::new(HttpTransport::open(Arc::clone(&base.clock), settings)?);
    let control = HttpEngineControl::open(
        Arc::clone(&transport) as Arc<dyn Transport>,
        Arc::clone(&base.clock),
        ORDER_CALL,
    );
    let engines: Arc<dyn EngineControl> = Arc::new(ReportTap {
        inner: Arc::new(control),
        balancer: Arc::clone(&balancer),
        clock: Arc::clone(&base.clock),
    });
    let cache = CacheFeed::spawn(
        Arc::clone(&engines),
        Arc::clone(&base.directory),
        Arc::clone(&balancer),
        Arc::clone(&base.clock),
    );
    Ok(Routes {
        balancer,
        transport,
        engines,
        _cache: cache,
    })
}

fn open_fleet(base: &Base, routes: &Routes) -> Result<Fleet, Error> {
    let node = open_node(base, routes)?;
    node.metrics().register(base.metrics.registry())?;
    let vms = Arc::new(Vms {
        node: Arc::clone(&node),
        directory: Arc::clone(&base.directory),
        lag: Duration::from_millis(base.config.platform.lag),
        clock: Arc::clone(&base.clock),
    });
    let limits = open_limits(base, &node, &vms);
    let models = open_models(base, routes, &node);
    let holder =
        ActiveConfigHolder::open(Arc::clone(&base.active_config), base.watcher.retry_notify());
    let config_sync = ConfigSync::spawn(&node, holder, Arc::clone(&base.clock));
    let once = open_once(base, &vms);
    let records = flush_records(Arc::clone(&once));
    let standing = open_standing(base, &node, &config_sync);
    let config = follow_config(
        Arc::clone(&base.active_config),
        Arc::clone(&limits),
        config_sync,
    );
    let list = follow_list(
        Arc::clone(&base.directory),
        Arc::clone(&node),
        Arc::clone(&routes.balancer),
        Arc::clone(&routes.transport),
    );
    Ok(Fleet {
        node,
        limits,
        models,
        once,
        standing,
        _tasks: Tasks(vec![config, list, records]),
    })
}

fn open_standing(
    base: &Base,
    node: &Arc<PeerNode>,
    config_sync: &Arc<ConfigSync>,
) -> Arc<dyn Standing> {
    let silence = Duration::from_millis(base.config.peers.silence);
    Arc::new(Reachable {
        node: Arc::clone(node),
        config_sync: Arc::clone(config_sync),
        directory: Arc::clone(&base.directory),
        active_config: Arc::clone(&base.active_config),
        clock: Arc::clone(&base.clock),
        patience: base.clock.now() + silence,
        settled: AtomicBool::new(false),
    })
}

fn open_once(base: &Base, vms: &Arc<Vms>) -> Arc<StoreOnceLog> {
    let owner = RecordOwner {
        vm: base.config.vm.clone(),
        generation: base.generation,
    };
    StoreOnceLog::open(
        Arc::clone(&base.store),
        Arc::clone(vms) as Arc<dyn crate::once::VmLiveness>,
        Arc::clone(&base.clock),
        owner,
    )
}

fn open_node(base: &Base, routes: &Routes) -> Result<Arc<PeerNode>, Error> {
    let options = NodeOptions {
        vm: base.config.vm.clone(),
        generation: base.generation,
        centre: base.config.centre.clone(),
        listen: base.config.peers_at,
        settings: base.config.peers.clone(),
        seed: base.generation.0,
    };
    let own = Arc::new(Own {
        active_config: Arc::clone(&base.active_config),
        last_response: base.watcher.last_response(),
        balancer: Arc::clone(&routes.balancer),
        directory: Arc::clone(&base.directory),
    });
    Ok(Arc::new(PeerNode::bind(
        options,
        Arc::clone(&base.clock),
        own,
    )?))
}

fn open_limits(base: &Base, node: &Arc<PeerNode>, vms: &Arc<Vms>) -> Arc<DistributedLimiter> {
    let deps = LimiterDeps {
        vm: base.config.vm.clone(),
        generation: base.generation,
        clock: Arc::clone(&base.clock),
        store: Arc::clone(&base.store),
        sender: Arc::new(Leases(Arc::clone(node))),
        vms: Arc::clone(vms) as Arc<dyn VmSource>,
    };
    let limits = DistributedLimiter::spawn(deps, &base.config.limits, &base.config.platform);
    for kind in [FrameKind::Ask, FrameKind::Grant] {
        node.set_handler(kind, Arc::new(LeaseFrames(Arc::clone(&limits))));
    }
    limits
}

fn open_models(base: &Base, routes: &Routes, node: &Arc<PeerNode>) -> Arc<Models> {
    let wakes = Wakes::open(Arc::clone(node));
    let config = model::Config {
        vm: base.config.vm.clone(),
        models: base.config.models.clone(),
        report_interval: Duration::from_millis(base.config.upstreams.report),
        max_waiting: base.config.callers.waiting as usize,
    };
    let deps = ModelDeps {
        store: Arc::clone(&base.store),
        engines: Arc::clone(&routes.engines),
        cluster: Arc::new(Engines {
            node: Arc::clone(node),
            directory: Arc::clone(&base.directory),
            vm: base.config.vm.clone(),
        }),
        declaration: Arc::new(CurrentDeclaration(Arc::clone(&base.active_config))),
        wake_client: Arc::clone(&wakes) as Arc<dyn model::WakeClient>,
        clock: Arc::clone(&base.clock),
        log: base.log.clone(),
    };
    let models = Arc::new(Models::spawn(config, deps));
    let asked = Waker {
        models: Arc::clone(&models),
        node: Arc::downgrade(node),
    };
    node.set_handler(FrameKind::Wake, Arc::new(asked));
    node.set_handler(FrameKind::Woken, Arc::new(Woken(wakes)));
    models
}

fn open_edge(base: &Base, routes: &Routes, fleet: &Fleet) -> Result<Edge, Error> {
    let dispatcher = Dispatcher::open(
        Arc::clone(&routes.balancer) as Arc<dyn crate::route::Chooser>,
        Arc::clone(&routes.transport) as Arc<dyn Transport>,
        Arc::clone(&base.clock),
        base.config.upstreams.retries,
    );
    let once = Arc::clone(&fleet.once) as Arc<dyn crate::once::OnceLog>;
    let runner = OnceRunner::open(once, dispatcher.clone());
    Ok(Edge::open(EdgeParts {
        active_config: Arc::clone(&base.active_config),
        standing: Arc::clone(&fleet.standing),
        limiter: Arc::clone(&fleet.limits) as Arc<dyn crate::limit::Limiter>,
        pool: Arc::clone(&fleet.models) as Arc<dyn crate::model::ReplicaPool>,
        runner,
        dispatcher,
        directory: Arc::clone(&base.directory),
        running: Arc::clone(&base.running),
        callers: base.config.callers.clone(),
        watch: Watch::spawn(&base.active_config, Arc::clone(&base.clock)),
        metrics: EdgeMetrics::open(&base.metrics)?,
        clock: Arc::clone(&base.clock),
        log: base.log.clone(),
    }))
}

fn open_ops(base: &Base, fleet: &Fleet) -> Ops {
    let submitter = Submitter::open(
        Arc::clone(&base.store),
        Arc::clone(&base.active_config),
        Arc::clone(&base.clock),
    );
    let status = Status {
        config: base.config.clone(),
        active_config: Arc::clone(&base.active_config),
        last_response: base.watcher.last_response(),
        standing: Arc::clone(&fleet.standing),
        node: Arc::clone(&fleet.node),
        directory: Arc::clone(&base.directory),
        running: Arc::clone(&base.running),
    };
    Ops::open(OpsParts {
        submitter,
        store: Arc::clone(&base.store),
        status: Arc::new(status),
        metrics: base.metrics.clone(),
        log: base.log.clone(),
    })
}

/// Drains callers, hands over held shares, and says that callers are done.
fn drain(
    base: &Base,
    fleet: &Fleet,
    over: watch::Sender<bool>,
) -> impl Future<Output = ()> + Send + 'static {
    let drain = Drain {
        running: Arc::clone(&base.running),
        linger: base.config.linger,
        bound: base.config.bound,
        log: base.log.clone(),
    };
    let (node, limits) = (Arc::clone(&fleet.node), Arc::clone(&fleet.limits));
    let once = Arc::clone(&fleet.once);
    async move {
        drain.run(|| node.announce_leaving()).await;
        let unwritten = once.flush().await;
        if unwritten > 0 {
            warn!(drain.log, "records_not_written"; "count" => unwritten);
        }
        if !limits.hand_over_parts(HANDOVER).await {
            warn!(drain.log, "shares_not_handed_over");
        }
        over.send_replace(true);
    }
}
