//! Requests against running [`Models`], with fakes of the store, the engines and other VMs.

mod model_fakes;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use basilgw::ids::Version;
use basilgw::model::{Models, ReplicaPool};
use basilgw::outcome::{Ran, Reason};
use basilgw::units::Bytes;
use futures_util::future::join_all;
use model_fakes::{Deployment, declaration, engine, id, model, replica_request, wait_until};

const LONG_WAIT: Duration = Duration::from_secs(15);
const ORDER_LIFETIME: Duration = Duration::from_millis(300);
const IDLE_TIME: Duration = Duration::from_mins(1);

fn one_model(maximum: u32, vms: &[&str], fenced: bool) -> Deployment {
    let engines = vec![engine("e1", 1000, fenced), engine("e2", 1000, fenced)];
    let declared = declaration(&[("m1", model(500, maximum, 4))], &[("a1", "m1")]);
    Deployment::new(engines, vms, declared)
}

async fn serve(models: &Arc<Models>, count: usize, prefix: &str) {
    let requests = (0..count).map(|n| {
        let request = replica_request(&format!("{prefix}{n}"), "m1", LONG_WAIT);
        async move {
            let replicas = models.acquire(request.clone()).await.expect("served");
            assert!(!replicas.is_empty());
            models.release(&request);
        }
    });
    join_all(requests).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn burst_at_one_vm_makes_one_load() {
    let deployment = one_model(3, &["vm1"], true);
    let models = deployment.spawn("vm1", ORDER_LIFETIME, IDLE_TIME);
    serve(&models, 20, "r").await;
    assert_eq!(deployment.engines.loads.lock().unwrap().len(), 1);
    assert_eq!(models.waiting(), 0);
    assert_eq!(models.running(), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn burst_at_many_vms_makes_one_load() {
    let names = ["vm1", "vm2", "vm3", "vm4"];
    let deployment = one_model(3, &names, true);
    let vms: Vec<_> = names
        .iter()
        .map(|vm| deployment.spawn(vm, ORDER_LIFETIME, IDLE_TIME))
        .collect();
    let bursts = vms.iter().zip(names).map(|(vm, name)| serve(vm, 4, name));
    join_all(bursts).await;
    assert_eq!(deployment.engines.loads.lock().unwrap().len(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unreachable_owner_is_replaced_by_the_vm_itself() {
    let names = ["vm1", "vm2"];
    let deployment = one_model(1, &names, true);
    deployment
        .wake_client
        .unreachable
        .lock()
        .unwrap()
        .extend(names.map(id));
    let vms: Vec<_> = names
        .iter()
        .map(|vm| deployment.spawn(vm, ORDER_LIFETIME, IDLE_TIME))
        .collect();
    let bursts = vms.iter().zip(names).map(|(vm, name)| serve(vm, 4, name));
    join_all(bursts).await;
    assert_eq!(deployment.engines.loads.lock().unwrap().len(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_order_is_sent_again() {
    let deployment = one_model(1, &["vm1"], false);
    *deployment.engines.lost_orders.lock().unwrap() = 1;
    let models = deployment.spawn("vm1", ORDER_LIFETIME, IDLE_TIME);
    serve(&models, 1, "r").await;
    assert_eq!(deployment.engines.loads.lock().unwrap().len(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn adapter_is_attached_and_given() {
    let deployment = one_model(1, &["vm1"], true);
    let models = deployment.spawn("vm1", ORDER_LIFETIME, IDLE_TIME);
    let mut with_adapter = replica_request("r1", "m1", LONG_WAIT);
    with_adapter.adapter = Some(id("a1"));
    let replicas = models.acquire(with_adapter.clone()).await.expect("served");
    assert_eq!(replicas.len(), 1);
    assert_eq!(deployment.engines.used(), Bytes(515));
    models.release(&with_adapter);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_cannot_be_met_is_refused_at_once_and_still_loads() {
    let deployment = one_model(1, &["vm1"], true);
    let models = deployment.spawn("vm1", ORDER_LIFETIME, IDLE_TIME);
    wait_until("a first report", || {
        models.min_wait(&id("m1")) > Duration::ZERO
    })
    .await;
    let started = Instant::now();
    let refused = models
        .acquire(replica_request("r1", "m1", Duration::from_millis(200)))
        .await;
    let refusal = refused.expect_err("refused");
    assert!(started.elapsed() < Duration::from_millis(150));
    assert_eq!(refusal.reason, Reason::Deadline);
    assert_eq!(refusal.ran, Ran::No);
    assert!(refusal.retry.is_some());
    wait_until("the model to load", || deployment.engines.replicas() == 1).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn dropped_request_leaves_the_queue() {
    let deployment = one_model(1, &["vm1"], true);
    deployment.store.down.store(true, Ordering::Relaxed);
    let models = deployment.spawn("vm1", ORDER_LIFETIME, IDLE_TIME);
    let waiter = Arc::clone(&models);
    let task =
        tokio::spawn(async move { waiter.acquire(replica_request("r1", "m1", LONG_WAIT)).await });
    wait_until("the request to wait", || models.waiting() == 1).await;
    task.abort();
    wait_until("the request to leave", || models.waiting() == 0).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idle_model_is_unloaded_and_its_memory_given_back() {
    for fenced in [true, false] {
        let deployment = one_model(1, &["vm1"], fenced);
        let models = deployment.spawn("vm1", ORDER_LIFETIME, Duration::from_millis(500));
        serve(&models, 1, "r").await;
        wait_until("the unload", || deployment.engines.replicas() == 0).await;
        wait_until("the reservation to go", || {
            let objects = deployment.store.objects.lock().unwrap();
            let mut values = objects.values().map(|(_, value)| value);
            !values.any(|value| value.windows(9).any(|part| part == b"\"weights\""))
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restarted_engine_is_loaded_again() {
    let deployment = one_model(1, &["vm1"], true);
    let models = deployment.spawn("vm1", ORDER_LIFETIME, IDLE_TIME);
    serve(&models, 1, "r").await;
    deployment.engines.restart();
    wait_until("the report without it", || {
        models.serving_replicas(&id("m1")) == 0
    })
    .await;
    serve(&models, 1, "s").await;
    assert_eq!(deployment.engines.loads.lock().unwrap().len(), 2);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn adapter_without_room_displaces_an_idle_model() {
    let declared = declaration(
        &[("m1", model(500, 1, 4)), ("m2", model(480, 1, 4))],
        &[("a1", "m1")],
    );
    let deployment = Deployment::new(vec![engine("e1", 1000, true)], &["vm1"], declared);
    let models = deployment.spawn("vm1", ORDER_LIFETIME, IDLE_TIME);
    serve(&models, 1, "r").await;
    let other = replica_request("s1", "m2", LONG_WAIT);
    models.acquire(other.clone()).await.expect("served");
    models.release(&other);
    let mut with_adapter = replica_request("r2", "m1", LONG_WAIT);
    with_adapter.adapter = Some(id("a1"));
    models.acquire(with_adapter).await.expect("served");
    assert_eq!(deployment.engines.used(), Bytes(515));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn outage_of_the_store_is_not_answered_by_a_storm() {
    let deployment = one_model(1, &["vm1"], true);
    deployment.store.down.store(true, Ordering::Relaxed);
    let models = deployment.spawn("vm1", ORDER_LIFETIME, IDLE_TIME);
    let waiting = models.acquire(replica_request("r1", "m1", LONG_WAIT));
    let watched = async {
        wait_until("two seconds", {
            let end = Instant::now() + Duration::from_secs(2);
            move || Instant::now() >= end
        })
        .await;
        let calls = deployment.store.calls.load(Ordering::Relaxed);
        assert!(calls <= 30, "{calls} calls in two seconds");
        deployment.store.down.store(false, Ordering::Relaxed);
    };
    let (served, ()) = futures_util::future::join(waiting, watched).await;
    assert!(served.is_ok(), "{served:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unreadable_object_keeps_only_its_engine_from_use() {
    let deployment = one_model(1, &["vm1"], true);
    let garbage = (Version(1), bytes::Bytes::from_static(b"?"));
    {
        let mut objects = deployment.store.objects.lock().unwrap();
        objects.insert(id("engines/e1"), garbage);
    }
    let models = deployment.spawn("vm1", ORDER_LIFETIME, IDLE_TIME);
    let replicas = models
        .acquire(replica_request("r1", "m1", LONG_WAIT))
        .await
        .expect("served");
    assert_eq!(replicas[0].upstream, id("e2"));
}
