//! The time of a request while configurations change that of its route.

mod gateway_support;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use arc_swap::ArcSwap;
use basilgw::clock::{BootTime, Clock};
use basilgw::gateway::configuration::{
    CallerBounds, Configuration, Route, RouteKey, RouteKind, UnreadableEntries,
};
use basilgw::gateway::request_time::{RequestTime, ToldTime};
use basilgw::gateway::route_times::RouteTimes;
use basilgw::gateway::time_history::TimeHistory;
use gateway_support::{id, ms};

/// The clock of the runtime, which stands still while anything can run.
#[derive(Debug)]
struct PausedClock;

impl Clock for PausedClock {
    fn now(&self) -> Instant {
        tokio::time::Instant::now().into_std()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH
    }

    fn boot(&self) -> BootTime {
        BootTime::default()
    }
}

fn now() -> Instant {
    PausedClock.now()
}

/// A route of this name and prefix.
fn route(name: &str, prefix: &str, millis: u64) -> Arc<Route> {
    Arc::new(Route {
        name: id(name),
        prefix: prefix.into(),
        kind: RouteKind::Idempotent,
        timeout: ms(millis),
        goal: ms(100),
        attempts: 2,
        priority: 1,
        public: true,
        targets: Vec::new(),
    })
}

/// A configuration with these routes by host.
fn configuration(routes: &[(&str, Arc<Route>)]) -> Configuration {
    let mut by_host = BTreeMap::<_, Vec<_>>::new();
    for (host, route) in routes {
        let of_host = by_host.entry((*host).into()).or_default();
        of_host.push(Arc::clone(route));
    }
    Configuration {
        version: 1,
        routes: by_host,
        services: BTreeMap::new(),
        keys: None,
        bounds: CallerBounds::DEFAULT,
        unreadable: UnreadableEntries::default(),
    }
}

/// The times of the routes in force.
struct InForce(Arc<ArcSwap<RouteTimes>>);

impl InForce {
    fn open(millis: u64) -> Self {
        let times = Self(Arc::default());
        times.set(millis);
        times
    }

    fn replace(&self, routes: &[(&str, Arc<Route>)]) {
        let mut times = RouteTimes::clone(&self.0.load());
        times.replace(&configuration(routes), now());
        self.0.store(Arc::new(times));
    }

    /// Puts this time of the request's route into force.
    fn set(&self, millis: u64) {
        self.replace(&[("h", route("r", "/a/", millis))]);
    }

    /// A request that is admitted now, under a route of this time.
    fn admit(&self, millis: u64, budget: Option<u64>) -> Arc<RequestTime> {
        Arc::new(RequestTime {
            started: now(),
            budget: budget.map(ms),
            route: route("r", "/a/", millis),
            key: RouteKey {
                host: "h".into(),
                prefix: "/a/".into(),
            },
            times: Arc::clone(&self.0),
            clock: Arc::new(PausedClock),
        })
    }
}

async fn pass(millis: u64) {
    tokio::time::sleep(ms(millis)).await;
}

fn whole(request: &RequestTime) -> u128 {
    (request.end() - request.started).as_millis()
}

// Guards against: a request that keeps the route time it was admitted with when it is lengthened,
// and one that is given more than its caller's own budget (BUDGET).
#[tokio::test(start_paused = true)]
async fn a_longer_route_time_holds_up_to_the_callers_budget() {
    let times = InForce::open(2500);
    let budgets = [None, Some(60_000), Some(4000), Some(1500), Some(u64::MAX)];
    let requests = budgets.map(|budget| times.admit(2500, budget));
    let ends = || requests.each_ref().map(|request| whole(request));
    assert_eq!(ends(), [2500, 2500, 2500, 1500, 2500], "as before a change");
    pass(500).await;
    times.set(2500);
    assert_eq!(
        ends(),
        [2500, 2500, 2500, 1500, 2500],
        "the same time again"
    );
    times.set(9500);
    assert_eq!(ends(), [9500, 9500, 4000, 1500, 9500]);
}

// Guards against: a request that is cut before what its caller and its upstream were promised.
#[tokio::test(start_paused = true)]
async fn a_shorter_route_time_holds_for_later_requests_only() {
    let times = InForce::open(2500);
    let request = times.admit(2500, None);
    for (millis, expected) in [(9500, 9500), (1000, 9500), (5000, 9500), (12_000, 12_000)] {
        pass(100).await;
        times.set(millis);
        pass(100).await;
        assert_eq!(whole(&request), expected, "{millis} ms in force");
        assert_eq!(whole(&times.admit(millis, None)), u128::from(millis));
    }
}

// Guards against: a request that follows the time of another route, or loses its own with its route.
#[tokio::test(start_paused = true)]
async fn a_route_that_is_gone_keeps_its_time() {
    let times = InForce::open(2500);
    let request = times.admit(2500, None);
    pass(100).await;
    let others = [
        ("other", route("r", "/a/", 9500)),
        ("h", route("r", "/b/", 9500)),
    ];
    times.replace(&others);
    assert_eq!(whole(&request), 2500, "the same name for other requests");
    times.replace(&[]);
    assert_eq!(whole(&request), 2500);
    times.replace(&[("h", route("renamed", "/a/", 9500))]);
    assert_eq!(whole(&request), 9500, "another name for the same requests");
}

// Guards against: a wait that ends at the time which held when it began.
#[tokio::test(start_paused = true)]
async fn a_wait_goes_on_where_the_end_has_moved() {
    let times = InForce::open(2500);
    let request = times.admit(2500, None);
    let lengthened = async {
        pass(2400).await;
        times.set(4000);
    };
    let (done, ()) = tokio::join!(request.bound(pass(3900)), lengthened);
    assert_eq!(done, Some(()));
    let late = request.bound(std::future::pending::<()>()).await;
    assert_eq!(late, None);
    assert_eq!((now() - request.started).as_millis(), 4000);
    assert_eq!(
        request.bound(async { 1 }).await,
        Some(1),
        "what is there already"
    );
}

// Guards against: an engine that stops at the time it was told taken for one that crashed, and one
// that breaks off earlier, or under a route time that has not changed, taken for one that stopped.
#[tokio::test(start_paused = true)]
async fn a_told_time_falls_short_only_under_a_longer_route_time() {
    let times = InForce::open(2500);
    let requests = [times.admit(2500, None), times.admit(2500, Some(2500))];
    let told = requests
        .each_ref()
        .map(|r| ToldTime::new(Arc::clone(r), r.left()));
    let short = || told.each_ref().map(ToldTime::falls_short);
    times.set(9500);
    pass(2499).await;
    assert_eq!(short(), [false, false], "before it is over");
    pass(1).await;
    assert_eq!(
        short(),
        [true, false],
        "the caller's own budget is over too"
    );
    pass(7000).await;
    assert_eq!(short(), [false, false], "so is the request");
}

// Guards against: memory that grows with the routes and times that were in force once.
#[tokio::test(start_paused = true)]
async fn times_that_are_over_are_forgotten() {
    let times = InForce::open(2500);
    for n in 0..500 {
        let name = format!("/{n}/");
        let routes = [
            ("h", route("r", &name, 2500)),
            ("h", route("r", "/a/", 5000 - n)),
        ];
        times.replace(&routes);
        pass(100).await;
    }
    let held = format!("{:?}", times.0.load());
    assert!(held.len() < 20_000, "{} bytes", held.len());
    let mut history = TimeHistory::new(ms(100));
    history.replace(Duration::ZERO, now());
    history.forget_over(now() + ms(99));
    assert!(!history.is_empty());
    history.forget_over(now() + ms(100));
    assert!(history.is_empty());
}
