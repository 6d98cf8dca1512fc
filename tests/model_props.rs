//! Property tests of the executor: random histories must not break its invariants.
//!
//! Two VMs execute commands against a store and two engines, one of which ignores fencing numbers.
//! A history decides the outcome of each call: a response, a response with an old version, lost
//! before or after it took effect, taking effect later, twice, or never. VMs crash and pause
//! between any two calls, engines restart, and time passes. After each event, every loaded replica
//! must have an intent and a reservation, every attached adapter a reservation, each model at most
//! its maximum of intents, and each engine reservations for at most its memory.

mod model_steps;

use model_steps::{Action, CallOutcome, ENGINES, Event, Simulation, VMS};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

/// Outcomes of the next calls of a command; further calls wait, as in a paused VM.
fn outcomes() -> impl Strategy<Value = Vec<CallOutcome>> {
    let outcome = prop_oneof![
        24 => Just(CallOutcome::Answered), 1 => Just(CallOutcome::Paused),
        1 => Just(CallOutcome::Stale), 1 => Just(CallOutcome::ResponseLost),
        1 => Just(CallOutcome::Delayed), 1 => Just(CallOutcome::RequestLost),
        1 => Just(CallOutcome::Repeated),
    ];
    prop_oneof![
        2 => proptest::collection::vec(outcome.clone(), 20),
        1 => proptest::collection::vec(outcome, 0..8),
    ]
}

fn random_event() -> impl Strategy<Value = Event> {
    let action = prop_oneof![
        4 => Just(Action::Load), 1 => Just(Action::Renew), 3 => Just(Action::Ready),
        4 => Just(Action::Unload), 4 => Just(Action::Release), 2 => Just(Action::Sweep),
        2 => Just(Action::Attach), 2 => Just(Action::Detach), 3 => Just(Action::DropAdapter),
        1 => Just(Action::Expel),
    ];
    prop_oneof![
        12 => (0..VMS, action, 0..6_usize, outcomes())
            .prop_map(|(vm, action, pick, outcomes)| Event::Start { vm, action, pick, outcomes }),
        3 => (0..VMS, outcomes()).prop_map(|(vm, outcomes)| Event::Resume { vm, outcomes }),
        4 => (0..8_usize).prop_map(|pick| Event::DeliverLate { pick }),
        6 => (0..VMS).prop_map(|vm| Event::ReadObjects { vm }),
        6 => (0..VMS, 0..3_usize)
            .prop_map(|(vm, steps_back)| Event::ReadReports { vm, steps_back }),
        1 => (0..VMS).prop_map(|vm| Event::Crash { vm }),
        4 => (1..10_u32).prop_map(|quarters| Event::Advance { quarters }),
        1 => (0..ENGINES).prop_map(|engine| Event::Restart { engine }),
    ]
}

/// The reference has no state: any event may follow any other.
#[derive(Clone, Debug)]
struct Stateless;

impl ReferenceStateMachine for Stateless {
    type State = ();
    type Transition = Event;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Event> {
        random_event().boxed()
    }

    fn apply((): (), _transition: &Event) {}
}

struct ExecutorTest;

impl StateMachineTest for ExecutorTest {
    type SystemUnderTest = Simulation;
    type Reference = Stateless;

    fn init_test((): &()) -> Simulation {
        Simulation::new()
    }

    fn apply(mut state: Simulation, (): &(), transition: Event) -> Simulation {
        state.apply(transition);
        state
    }

    fn check_invariants(state: &Simulation, (): &()) {
        state.check();
    }
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: std::env::var("CASES").map_or(400, |n| n.parse().unwrap()),
        rng_seed: RngSeed::Fixed(std::env::var("SEED").map_or(5, |n| n.parse().unwrap())),
        failure_persistence: None,
        max_shrink_iters: 20_000,
        ..ProptestConfig::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn bounds_hold_after_each_event(sequential 1..300 => ExecutorTest);
}

fn all_answered() -> Vec<CallOutcome> {
    vec![CallOutcome::Answered; 20]
}

fn start(vm: usize, action: Action) -> Event {
    let outcomes = all_answered();
    Event::Start {
        vm,
        action,
        pick: 0,
        outcomes,
    }
}

/// A load of the first model, on the fenced engine or the other, with these outcomes of its calls.
fn load(vm: usize, fenced: bool, outcomes: &[CallOutcome]) -> Event {
    Event::Start {
        vm,
        action: Action::Load,
        pick: if fenced { 0 } else { 2 },
        outcomes: outcomes.to_vec(),
    }
}

fn attach(vm: usize, outcomes: &[CallOutcome]) -> Event {
    Event::Start {
        vm,
        action: Action::Attach,
        pick: 0,
        outcomes: outcomes.to_vec(),
    }
}

fn read_all(vm: usize) -> [Event; 2] {
    [
        Event::ReadObjects { vm },
        Event::ReadReports { vm, steps_back: 0 },
    ]
}

fn advance(quarters: u32) -> Event {
    Event::Advance { quarters }
}

/// Applies a history and checks the invariants after each event. In the histories below, only a
/// late order or write could break them.
fn run<I>(events: I)
where
    I: IntoIterator<Item = Event>,
{
    let mut simulation = Simulation::new();
    for event in events {
        simulation.apply(event);
        simulation.check();
    }
}

const OK: CallOutcome = CallOutcome::Answered;

/// Events after which the first model has a ready replica on the unfenced engine, known to VM 0.
fn ready_replica() -> Vec<Event> {
    let mut events = vec![load(0, false, &all_answered())];
    events.extend(read_all(0));
    events.push(start(0, Action::Ready));
    events.extend(read_all(0));
    events
}

#[test]
fn paused_decider_sends_no_order_after_its_decision_was_taken_back() {
    let mut events = vec![load(0, false, &[OK, OK, OK, CallOutcome::Paused])];
    events.extend(read_all(1));
    events.push(start(1, Action::Unload));
    events.extend(read_all(1));
    events.push(advance(8));
    events.extend(read_all(1));
    events.push(start(1, Action::Release));
    events.push(Event::Resume {
        vm: 0,
        outcomes: all_answered(),
    });
    run(events);
}

#[test]
fn order_sent_late_and_carried_out_late_is_still_counted() {
    let mut events = vec![load(0, false, &[OK, OK, OK, CallOutcome::Paused])];
    events.extend(read_all(1));
    events.push(start(1, Action::Unload));
    events.extend(read_all(1));
    events.push(advance(3));
    let outcomes = vec![CallOutcome::Delayed];
    events.push(Event::Resume { vm: 0, outcomes });
    events.push(advance(3));
    events.extend(read_all(1));
    events.push(start(1, Action::Release));
    events.push(Event::DeliverLate { pick: 0 });
    run(events);
}

#[test]
fn fenced_engine_refuses_a_load_that_comes_after_its_unload() {
    let mut events = vec![load(0, true, &[OK, OK, OK, OK, CallOutcome::Delayed])];
    events.extend(read_all(0));
    events.push(start(0, Action::Unload));
    events.push(advance(1));
    events.extend(read_all(0));
    events.push(start(0, Action::Release));
    events.push(Event::DeliverLate { pick: 0 });
    run(events);
}

#[test]
fn report_from_before_the_unload_proves_nothing() {
    let mut events = vec![advance(1)];
    events.push(Event::ReadReports {
        vm: 0,
        steps_back: 0,
    });
    events.push(load(0, true, &all_answered()));
    events.push(Event::ReadObjects { vm: 0 });
    events.push(start(0, Action::Unload));
    events.push(Event::ReadObjects { vm: 0 });
    events.push(start(0, Action::Release));
    run(events);
}

#[test]
fn doubled_attach_after_a_detach_is_still_reserved() {
    let mut events = ready_replica();
    events.push(attach(0, &[OK, OK, OK, CallOutcome::Repeated]));
    events.push(start(0, Action::Detach));
    events.push(advance(1));
    events.extend(read_all(0));
    events.push(start(0, Action::DropAdapter));
    events.push(Event::DeliverLate { pick: 0 });
    run(events);
}

#[test]
fn adapter_attached_again_restarts_the_wait() {
    let mut events = ready_replica();
    events.push(attach(0, &all_answered()));
    events.push(start(0, Action::Detach));
    events.extend(read_all(0));
    events.push(advance(8));
    events.extend(read_all(1));
    events.push(attach(1, &[OK, OK, OK, CallOutcome::Repeated]));
    events.push(start(1, Action::Detach));
    events.push(Event::ReadReports {
        vm: 0,
        steps_back: 0,
    });
    events.push(start(0, Action::DropAdapter));
    events.push(Event::DeliverLate { pick: 0 });
    run(events);
}
