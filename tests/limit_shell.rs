//! The limiters of a few VMs that share a store and a network, both in memory.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, OnceLock, PoisonError, Weak};
use std::time::{Duration, Instant};

use basilgw::clock::SystemClock;
use basilgw::ids::{CallerId, ClientAccount, Generation, ObjectKey, Version, VmId};
use basilgw::limit::driver::LimiterDeps;
use basilgw::limit::{
    DistributedLimiter, LeaseSender, Limiter, TokenRequest, VmInfo, VmSnapshot, VmSource,
};
use basilgw::outcome::Reason;
use basilgw::schema::declaration::{Account, Caller, Declaration, Priority};
use basilgw::schema::peer::Frame;
use basilgw::schema::settings::{LimitSettings, PlatformSettings};
use basilgw::store::{Object, ObjectStore, StoreError};
use basilgw::units::{TokenRate, Tokens};
use bytes::Bytes;
use futures_util::future::{BoxFuture, FutureExt};

/// An object store in memory that can be made unavailable.
#[derive(Debug, Default)]
struct Store {
    objects: Mutex<BTreeMap<ObjectKey, Object>>,
    is_down: Mutex<bool>,
}

impl Store {
    fn check_available(&self) -> Result<(), StoreError> {
        let is_down = *self.is_down.lock().unwrap_or_else(PoisonError::into_inner);
        if is_down {
            Err(StoreError::Unavailable)
        } else {
            Ok(())
        }
    }
}

impl ObjectStore for Store {
    fn get<'a>(&'a self, key: &'a ObjectKey) -> BoxFuture<'a, Result<Option<Object>, StoreError>> {
        async move {
            self.check_available()?;
            Ok(self.objects.lock().unwrap().get(key).cloned())
        }
        .boxed()
    }

    fn put<'a>(
        &'a self,
        key: &'a ObjectKey,
        expected: Version,
        value: Bytes,
    ) -> BoxFuture<'a, Result<Version, StoreError>> {
        async move {
            self.check_available()?;
            let mut objects = self.objects.lock().unwrap();
            let present = objects.get(key).map_or(Version(0), |object| object.version);
            if present != expected {
                return Err(StoreError::Conflict(present));
            }
            let version = present.next();
            objects.insert(key.clone(), Object { version, value });
            Ok(version)
        }
        .boxed()
    }

    fn delete<'a>(
        &'a self,
        _key: &'a ObjectKey,
        _expected: Version,
    ) -> BoxFuture<'a, Result<(), StoreError>> {
        async { Err(StoreError::Unavailable) }.boxed()
    }

    fn watch<'a>(
        &'a self,
        _key: &'a ObjectKey,
        _after: Version,
        _wait: Duration,
    ) -> BoxFuture<'a, Result<Option<Object>, StoreError>> {
        async { Err(StoreError::Unavailable) }.boxed()
    }
}

/// Finds the limiter of each VM.
#[derive(Debug, Default)]
struct Network {
    vms: OnceLock<BTreeMap<VmId, Weak<DistributedLimiter>>>,
}

/// Passes lease requests to the receiver and its response back to the sender.
#[derive(Debug)]
struct TestSender {
    from: VmId,
    network: Arc<Network>,
}

impl LeaseSender for TestSender {
    fn send(&self, to: &VmId, frame: Frame) {
        let (network, from, to) = (Arc::clone(&self.network), self.from.clone(), to.clone());
        tokio::spawn(async move {
            let Frame::Ask(lease_request) = frame else {
                return;
            };
            let vms = network.vms.get().expect("all limiters have started");
            let limiter_of = |vm: &VmId| vms.get(vm).and_then(Weak::upgrade);
            let response = limiter_of(&to)
                .and_then(|receiver| receiver.on_lease_request(&from, &lease_request));
            if let (Some(response), Some(sender)) = (response, limiter_of(&from)) {
                sender.on_lease_response(&to, &response);
            }
        });
    }
}

/// A list of VMs that never changes and is always fresh.
#[derive(Debug)]
struct FixedVms(Vec<VmId>);

impl VmSource for FixedVms {
    fn snapshot(&self) -> Arc<VmSnapshot> {
        let info = || VmInfo {
            centre: "a".parse().unwrap(),
            generation: Generation(1),
            leaving: false,
            listed: true,
        };
        Arc::new(VmSnapshot {
            vms: self.0.iter().map(|vm| (vm.clone(), info())).collect(),
            list_read: Some(Instant::now()),
        })
    }
}

fn open_vms(count: usize, store: &Arc<Store>) -> Vec<Arc<DistributedLimiter>> {
    let vm_ids: Vec<VmId> = (0..count)
        .map(|n| format!("vm-{n}").parse().unwrap())
        .collect();
    let network = Arc::new(Network::default());
    let spawn_limiter = |vm: &VmId| {
        let deps = LimiterDeps {
            vm: vm.clone(),
            generation: Generation(1),
            clock: SystemClock::open(),
            store: Arc::clone(store) as Arc<dyn ObjectStore>,
            sender: Arc::new(TestSender {
                from: vm.clone(),
                network: Arc::clone(&network),
            }),
            vms: Arc::new(FixedVms(vm_ids.clone())),
        };
        DistributedLimiter::spawn(deps, &LimitSettings::default(), &platform())
    };
    let vms: Vec<_> = vm_ids.iter().map(spawn_limiter).collect();
    let weak = vms.iter().map(Arc::downgrade);
    network
        .vms
        .set(vm_ids.iter().cloned().zip(weak).collect())
        .expect("set once");
    vms
}

fn platform() -> PlatformSettings {
    PlatformSettings {
        address: "127.0.0.1:0".into(),
        backoff: 1_000,
        lag: 200,
        list: 100,
        timeout: 500,
        watch: 1_000,
    }
}

fn declaration(rate: f64, burst: u64, caller: Option<f64>) -> Declaration {
    let caller_quota = Caller {
        burst: caller.map(|_| Tokens(1_024)),
        keys: BTreeMap::new(),
        priority: Priority::Interactive,
        rate: caller.map(|rate| TokenRate::new(rate).unwrap()),
    };
    let account = Account {
        adapters: Vec::new(),
        burst: Tokens(burst),
        callers: BTreeMap::from([("c".parse().unwrap(), caller_quota)]),
        models: Vec::new(),
        rate: TokenRate::new(rate).unwrap(),
        routes: Vec::new(),
    };
    Declaration {
        accounts: BTreeMap::from([(account_name(), account)]),
        ..Declaration::default()
    }
}

fn account_name() -> ClientAccount {
    "club".parse().unwrap()
}

fn token_request(tokens: u64, wait: Duration) -> TokenRequest {
    let caller: CallerId = "c".parse().unwrap();
    TokenRequest {
        account: account_name(),
        caller,
        tokens: Tokens(tokens),
        deadline: Instant::now() + wait,
    }
}

const WAIT: Duration = Duration::from_secs(5);

#[tokio::test]
async fn one_vm_without_peers_serves_and_refuses() {
    let vms = open_vms(1, &Arc::default());
    vms[0].configure(&declaration(5_000.0, 6_000, None));
    let granted = vms[0]
        .reserve(token_request(500, WAIT))
        .await
        .expect("within the rate");
    assert_eq!(granted.tokens, Tokens(500));
    vms[0].settle(granted, Tokens(700));
    let above_burst = vms[0].reserve(token_request(6_001, WAIT)).await;
    assert_eq!(above_burst.expect_err("above the burst").retry, None);
    let start = Instant::now();
    let late = vms[0]
        .reserve(token_request(6_000, Duration::from_millis(100)))
        .await;
    let late = late.expect_err("the bucket is not full before the deadline");
    assert_eq!(late.reason, Reason::OverRate);
    assert!(late.retry.is_some(), "the refusal says when to retry");
    assert!(
        start.elapsed() < Duration::from_secs(1),
        "{:?}",
        start.elapsed()
    );
}

#[tokio::test]
async fn vms_serve_from_parts_held_elsewhere_in_an_outage() {
    let store = Arc::new(Store::default());
    let vms = open_vms(5, &store);
    for vm in &vms {
        vm.configure(&declaration(50_000.0, 60_000, None));
    }
    for vm in &vms {
        vm.reserve(token_request(1_000, WAIT))
            .await
            .expect("within the rate");
    }
    *store.is_down.lock().unwrap() = true;
    for vm in &vms {
        vm.reserve(token_request(1_000, WAIT))
            .await
            .expect("within the rate, without the store");
    }
}

#[tokio::test]
async fn a_callers_own_share_binds_over_all_vms() {
    let vms = open_vms(3, &Arc::default());
    for vm in &vms {
        vm.configure(&declaration(50_000.0, 60_000, Some(1.0)));
    }
    let (mut granted, start) = (0, Instant::now());
    let burst = Duration::from_millis(300);
    let targets = vms.iter().cycle().take(12);
    for vm in targets {
        granted += u64::from(vm.reserve(token_request(1, burst)).await.is_ok());
    }
    let max_granted = 1_024.0_f64.min(start.elapsed().as_secs_f64() + 1.0);
    assert!(
        granted as f64 <= max_granted,
        "{granted} of at most {max_granted}"
    );
}

#[tokio::test]
async fn a_leaving_vm_hands_its_parts_over() {
    let store = Arc::new(Store::default());
    let vms = open_vms(3, &store);
    for vm in &vms {
        vm.configure(&declaration(50_000.0, 60_000, None));
    }
    for vm in &vms {
        vm.reserve(token_request(100, WAIT))
            .await
            .expect("within the rate");
    }
    assert!(vms[0].hand_over_parts(WAIT).await, "released in time");
    let objects = store.objects.lock().unwrap().clone();
    let record = objects.values().next().expect("a record");
    let text = String::from_utf8(record.value.to_vec()).unwrap();
    assert!(!text.contains("vm-0"), "{text}");
    vms[0]
        .reserve(token_request(100, WAIT))
        .await
        .expect("served from parts that other VMs hold");
}

#[tokio::test]
async fn a_leaving_vm_without_others_does_not_wait() {
    let vms = open_vms(1, &Arc::default());
    vms[0].configure(&declaration(5_000.0, 6_000, None));
    let granted = vms[0].reserve(token_request(500, WAIT)).await;
    granted.expect("within the rate");
    let start = Instant::now();
    assert!(
        !vms[0].hand_over_parts(WAIT).await,
        "no other VM can take the parts"
    );
    assert!(start.elapsed() < WAIT, "{:?}", start.elapsed());
}

#[tokio::test]
async fn a_vm_that_cannot_learn_the_holders_refuses_at_once() {
    let store = Arc::new(Store::default());
    *store.is_down.lock().unwrap() = true;
    let vms = open_vms(1, &store);
    vms[0].configure(&declaration(50_000.0, 60_000, None));
    let start = Instant::now();
    let refusal = vms[0]
        .reserve(token_request(100, WAIT))
        .await
        .expect_err("the holders are unknown");
    assert_eq!(refusal.reason, Reason::StoreUnavailable);
    assert!(refusal.retry.is_some(), "the refusal says when to retry");
    assert!(
        start.elapsed() < Duration::from_secs(1),
        "{:?}",
        start.elapsed()
    );
}
