//! Unit tests of the pure parts: intents, queues, admission, placement, eviction and scaling.

mod model_fakes;

use std::time::{Duration, Instant};

use basilgw::ids::{ClientAccount, Epoch, Generation, ReplicaId, VmId};
use basilgw::model::admission::{AdmissionControl, ModelView, ServingReplica};
use basilgw::model::eviction::{Eviction, Usage, retention_value};
use basilgw::model::intents::{
    EditError, Intent, IntentState, Intents, Reservation, Reservations, replica_id,
};
use basilgw::model::leader::choose_leader;
use basilgw::model::load_limiter::LoadLimiter;
use basilgw::model::placement::{Candidate, Origin, Placement, choose_engine};
use basilgw::model::queue::{Discipline, Queue, QueuedRequest, Ticket};
use basilgw::model::scale::{Backlog, is_idle, replicas_to_add};
use basilgw::model::{Replica, ReplicaRequest};
use basilgw::outcome::Reason;
use basilgw::schema::declaration::Priority;
use basilgw::units::{Bytes, Tokens};
use model_fakes::{id, model, replica_request};

const SECOND: Duration = Duration::from_secs(1);

fn intent() -> Intent {
    Intent {
        engine: id("e1"),
        generation: Generation(1),
        version: id("v1"),
        state: IntentState::Loading,
        epoch: Epoch(0),
        decided: 5,
        withdrawn: None,
    }
}

#[test]
fn intents_stay_within_the_maximum_until_forgotten() {
    let mut intents = Intents::default();
    let (first, second): (ReplicaId, ReplicaId) = (id("r1"), id("r2"));
    let epoch = intents.add(first.clone(), intent(), 1).unwrap();
    let refused = intents.add(second.clone(), intent(), 1);
    assert_eq!(refused, Err(EditError::Maximum));
    intents.mark_ready(&first).unwrap();
    assert_eq!(intents.remove(&first), Err(EditError::State));
    let later = intents.withdraw(&first, 9).unwrap();
    assert!(later > epoch);
    assert_eq!(intents.renew(&first), Err(EditError::State));
    let refused = intents.add(second.clone(), intent(), 1);
    assert_eq!(refused, Err(EditError::Maximum));
    intents.remove(&first).unwrap();
    intents.add(second, intent(), 1).unwrap();
}

#[test]
fn reservations_stay_within_the_memory() {
    let reservation = |weights| Reservation {
        model: id("m1"),
        weights: Bytes(weights),
        floor: Bytes(10),
        reserved: 0,
        adapters: std::collections::BTreeMap::new(),
    };
    let mut reservations = Reservations::default();
    reservations
        .reserve(&id("r1"), reservation(50), Bytes(100))
        .unwrap();
    let refused = reservations.reserve(&id("r2"), reservation(31), Bytes(100));
    assert_eq!(refused, Err(EditError::Memory));
    let adapter = id("a1");
    let refused = reservations.attach(&id("r1"), &adapter, Bytes(41), Bytes(100));
    assert_eq!(refused, Err(EditError::Memory));
    reservations
        .attach(&id("r1"), &adapter, Bytes(40), Bytes(100))
        .unwrap();
    reservations.detach(&id("r1"), &adapter).unwrap();
    assert_eq!(reservations.total(), Bytes(100));
    reservations.release(&id("r1")).unwrap();
    assert_eq!(reservations.total(), Bytes::ZERO);
}

#[test]
fn objects_keep_their_form_in_the_store() {
    let mut intents = Intents::default();
    intents.add(id("r1"), intent(), 1).unwrap();
    let text = serde_json::to_string(&intents).unwrap();
    let expected = concat!(
        r#"{"epoch":1,"replicas":{"r1":{"engine":"e1","generation":1,"version":"v1","#,
        r#""state":"loading","epoch":1,"decided":5}}}"#
    );
    assert_eq!(text, expected);
    assert_eq!(serde_json::from_str::<Intents>(&text).unwrap(), intents);
}

#[test]
fn replica_names_fit_also_for_the_longest_models() {
    let long = id(&"m".repeat(128));
    let replica = replica_id(&long, 7).unwrap();
    assert!(replica.as_str().ends_with(":0000000000000007"));
}

fn item(ticket: u64, priority: Priority, work: u64, arrived: Instant) -> QueuedRequest {
    QueuedRequest {
        ticket: Ticket(ticket),
        id: id(&format!("r{ticket}")),
        adapter: None,
        priority,
        work: Tokens(work),
        arrived,
        deadline: arrived + SECOND * 60,
    }
}

#[test]
fn flood_of_one_account_leaves_the_others_turns() {
    let now = Instant::now();
    let mut queue = Queue::new(Discipline::Fair);
    let (loud, quiet): (ClientAccount, ClientAccount) = (id("loud"), id("quiet"));
    for n in 0..1000 {
        queue.push(&loud, item(n, Priority::Interactive, 100, now));
    }
    for n in 1000..1010 {
        queue.push(&quiet, item(n, Priority::Background, 300, now));
    }
    let mut tokens = [0, 0];
    while queue.account_len(&quiet) > 0 {
        let (account, item) = queue.pop(|_| true, now).unwrap();
        tokens[usize::from(account == quiet)] += item.work.0;
    }
    assert_eq!(tokens[1], 3000);
    assert!(tokens[0] <= 3000 + 1024, "loud got {}", tokens[0]);
}

#[test]
fn priorities_are_strict_until_they_age() {
    let now = Instant::now();
    let account = id("one");
    let mut queue = Queue::new(Discipline::Fair);
    queue.push(&account, item(1, Priority::Background, 1, now));
    queue.push(&account, item(2, Priority::Review, 1, now + SECOND));
    let later = now + SECOND * 2;
    queue.push(&account, item(3, Priority::Interactive, 1, later));
    let mut fresh = queue.clone();
    let order: Vec<u64> = std::iter::from_fn(|| fresh.pop(|_| true, later))
        .map(|(_, item)| item.ticket.0)
        .collect();
    assert_eq!(order, [3, 2, 1]);
    let (_, first) = queue.pop(|_| true, now + SECOND * 25).unwrap();
    assert_eq!(first.ticket, Ticket(1));
}

#[test]
fn queue_gives_only_what_is_eligible_and_withdraws() {
    let now = Instant::now();
    let account = id("one");
    let mut queue = Queue::new(Discipline::Fair);
    queue.push(&account, item(1, Priority::Review, 1, now));
    queue.push(&account, item(2, Priority::Review, 1, now));
    let (_, second) = queue.pop(|i| i.ticket != Ticket(1), now).unwrap();
    assert_eq!(second.ticket, Ticket(2));
    assert!(queue.remove(Ticket(1)).is_some());
    assert!(queue.is_empty());
    assert!(queue.pop(|_| true, now).is_none());
}

fn view(slots: u32, busy: u32) -> ModelView {
    let replica = Replica {
        id: id("r"),
        upstream: id("e"),
        slots,
    };
    let usable = ServingReplica {
        replica,
        adapters: std::iter::once(id("a1")).collect(),
        requests: busy,
    };
    ModelView {
        serving: vec![usable],
        cold_start: SECOND * 10,
    }
}

fn submit(
    admission: &mut AdmissionControl,
    request: &ReplicaRequest,
    now: Instant,
) -> Result<Ticket, Reason> {
    admission
        .submit(request, now)
        .map_err(|refusal| refusal.reason)
}

#[test]
fn slots_used_by_other_vms_are_not_given_again() {
    let now = Instant::now();
    let mut admission = AdmissionControl::new(100, Discipline::Fair);
    admission.update_view(&id("m1"), view(4, 3), now);
    for n in 0..3 {
        submit(
            &mut admission,
            &replica_request(&format!("r{n}"), "m1", SECOND * 30),
            now,
        )
        .unwrap();
    }
    assert_eq!(admission.grant(&id("m1"), now).len(), 1);
    admission.release(&replica_request("r0", "m1", SECOND), now + SECOND);
    assert_eq!(admission.grant(&id("m1"), now + SECOND).len(), 1);
    assert_eq!((admission.len(), admission.running()), (1, 1));
}

#[test]
fn adapter_is_waited_for_without_holding_others_back() {
    let now = Instant::now();
    let mut admission = AdmissionControl::new(100, Discipline::Fair);
    admission.update_view(&id("m1"), view(4, 0), now);
    let mut missing = replica_request("r1", "m1", SECOND * 30);
    missing.adapter = Some(id("a2"));
    let mut present = replica_request("r2", "m1", SECOND * 30);
    present.adapter = Some(id("a1"));
    submit(&mut admission, &missing, now).unwrap();
    let ticket = submit(&mut admission, &present, now).unwrap();
    let granted = admission.grant(&id("m1"), now);
    assert_eq!(granted.len(), 1);
    assert_eq!(granted[0].ticket, ticket);
    let demand = &admission.unmet_demand(now)[&id("m1")];
    assert_eq!(demand.requests, 0);
    assert!(demand.adapters.contains_key(&id("a2")));
}

#[test]
fn refusals_name_a_time_and_come_at_once() {
    let now = Instant::now();
    let mut admission = AdmissionControl::new(4, Discipline::Fair);
    let cold = ModelView {
        serving: Vec::new(),
        cold_start: SECOND * 10,
    };
    admission.update_view(&id("m1"), cold, now);
    let refusal = admission
        .submit(&replica_request("r1", "m1", SECOND * 5), now)
        .unwrap_err();
    assert_eq!(refusal.reason, Reason::Deadline);
    assert_eq!(refusal.retry, Some(SECOND * 10));
    assert!(admission.unmet_demand(now).contains_key(&id("m1")));
    let ticket = submit(
        &mut admission,
        &replica_request("r2", "m1", SECOND * 20),
        now,
    )
    .unwrap();
    admission.set_ready_time(&id("m1"), now + SECOND * 40);
    let outcomes = admission.tick(now + SECOND);
    assert_eq!(outcomes.len(), 1);
    assert_eq!(outcomes[0].ticket, ticket);
    let refusal = outcomes[0].result.as_ref().unwrap_err();
    assert_eq!(refusal.retry, Some(SECOND * 39));
    assert!(admission.is_empty());
}

#[test]
fn queue_is_bounded_and_no_account_fills_it() {
    let now = Instant::now();
    let mut admission = AdmissionControl::new(4, Discipline::Fair);
    let request_of = |n: u32, account: &str| {
        let mut request = replica_request(&format!("r{n}"), "m1", SECOND * 30);
        request.account = id(account);
        request
    };
    for n in 0..2 {
        submit(&mut admission, &request_of(n, "loud"), now).unwrap();
    }
    assert_eq!(
        submit(&mut admission, &request_of(2, "loud"), now),
        Err(Reason::Capacity)
    );
    submit(&mut admission, &request_of(3, "quiet"), now).unwrap();
}

#[test]
fn best_engine_is_the_soonest_ready_then_the_closest_fit() {
    let candidate = |engine, time, left| Candidate {
        engine,
        origin: Origin::Remote,
        time: SECOND * time,
        loading: 0,
        memory_left: Bytes(left),
    };
    let all = vec![candidate(1, 9, 5), candidate(2, 3, 9), candidate(3, 3, 4)];
    let best = choose_engine(Placement::Soonest, all.clone()).unwrap();
    assert_eq!(best.engine, 3);
    assert_eq!(choose_engine(Placement::Any, all).unwrap().engine, 1);
}

#[test]
fn costly_models_in_regular_use_outlive_recent_cheap_ones() {
    let now = Instant::now() + SECOND * 1000;
    let usage = |idle, gap| Usage {
        last: now.checked_sub(SECOND * idle).unwrap(),
        gap: SECOND * gap,
    };
    let (regular, rare) = (usage(30, 60), usage(10, 900));
    let by_worth = |u| retention_value(Eviction::ReloadCost, u, SECOND * 20, now);
    assert!(by_worth(&regular) > by_worth(&rare));
    let by_use = |u| retention_value(Eviction::LeastRecent, u, SECOND * 20, now);
    assert!(by_use(&regular) < by_use(&rare));
}

#[test]
fn scale_follows_waiting_work_minimum_and_idleness() {
    let declared = model(1, 3, 4);
    let backlog = |requests, drain| {
        Some(Backlog {
            requests,
            drain_time: SECOND * drain,
        })
    };
    assert_eq!(replicas_to_add(&declared, 0, backlog(1, 0), SECOND), 1);
    assert_eq!(replicas_to_add(&declared, 1, backlog(9, 9), SECOND), 1);
    assert_eq!(replicas_to_add(&declared, 1, backlog(9, 0), SECOND), 0);
    assert_eq!(replicas_to_add(&declared, 3, backlog(9, 9), SECOND), 0);
    assert_eq!(replicas_to_add(&declared, 0, None, SECOND), 0);
    let mut kept = declared.clone();
    kept.minimum = 2;
    assert_eq!(replicas_to_add(&kept, 0, None, SECOND), 2);
    let now = Instant::now() + SECOND * 100;
    let usage = Usage::first(now.checked_sub(SECOND * 50).unwrap());
    assert!(is_idle(&declared, 1, Some(&usage), SECOND * 40, now));
    assert!(!is_idle(&declared, 1, Some(&usage), SECOND * 60, now));
    assert!(!is_idle(&kept, 2, Some(&usage), SECOND * 40, now));
}

#[test]
fn owner_changes_only_where_it_leaves() {
    let vms: Vec<VmId> = (0..9).map(|n| id(&format!("vm{n}"))).collect();
    let first = choose_leader(&vms).unwrap();
    let fewer: Vec<VmId> = vms.iter().filter(|vm| *vm != first).cloned().collect();
    let other = fewer
        .iter()
        .find(|vm| Some(*vm) != choose_leader(&fewer))
        .unwrap();
    let without: Vec<VmId> = vms.iter().filter(|vm| *vm != other).cloned().collect();
    assert_eq!(choose_leader(&without), Some(first));
    assert_eq!(choose_leader(&[]), None);
}

#[test]
fn starts_are_limited_a_second() {
    let now = Instant::now();
    let mut starts = LoadLimiter::new(2, now);
    assert_eq!(starts.available(now), 2);
    starts.record_load();
    starts.record_load();
    assert_eq!(starts.available(now), 0);
    assert_eq!(starts.available(now + SECOND / 2), 1);
}
