//! Property tests of the executor: random histories must not break its invariants.
//!
//! Two VMs execute commands against a store and two engines, one of which ignores fencing numbers.
//! A history decides the outcome of each call: a response, a response with an old version, lost
//! before or after it took effect, taking effect later, twice, or never. VMs crash and pause
//! between any two calls, engines restart, and time passes. After each event, every loaded replica
//! must have an intent and a reservation, every attached adapter a reservation, each model at most
//! its maximum of intents, and each engine reservations for at most its memory.

mod model_steps;

use model_steps::{Act, ENGINES, Event, Fate, VMS, World};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

/// Outcomes of the next calls of a command; further calls wait, as in a paused VM.
fn fates() -> impl Strategy<Value = Vec<Fate>> {
    let fate = prop_oneof![
        24 => Just(Fate::Answered), 1 => Just(Fate::Held), 1 => Just(Fate::Stale),
        1 => Just(Fate::LostAfter), 1 => Just(Fate::Delayed), 1 => Just(Fate::LostBefore),
        1 => Just(Fate::Doubled),
    ];
    prop_oneof![
        2 => proptest::collection::vec(fate.clone(), 20),
        1 => proptest::collection::vec(fate, 0..8),
    ]
}

fn event() -> impl Strategy<Value = Event> {
    let act = prop_oneof![
        4 => Just(Act::Load), 1 => Just(Act::Renew), 3 => Just(Act::Ready),
        4 => Just(Act::Unload), 4 => Just(Act::Release), 2 => Just(Act::Sweep),
        2 => Just(Act::Attach), 2 => Just(Act::Detach), 3 => Just(Act::DropAdapter),
        1 => Just(Act::Expel),
    ];
    prop_oneof![
        12 => (0..VMS, act, 0..6_usize, fates())
            .prop_map(|(vm, act, pick, fates)| Event::Start { vm, act, pick, fates }),
        3 => (0..VMS, fates()).prop_map(|(vm, fates)| Event::Resume { vm, fates }),
        4 => (0..8_usize).prop_map(|pick| Event::Late { pick }),
        6 => (0..VMS).prop_map(|vm| Event::Observe { vm }),
        6 => (0..VMS, 0..3_usize).prop_map(|(vm, back)| Event::Report { vm, back }),
        1 => (0..VMS).prop_map(|vm| Event::Crash { vm }),
        4 => (1..10_u32).prop_map(|quarters| Event::Advance { quarters }),
        1 => (0..ENGINES).prop_map(|engine| Event::Restart { engine }),
    ]
}

/// The reference has no state: any event may follow any other.
#[derive(Clone, Debug)]
struct Any;

impl ReferenceStateMachine for Any {
    type State = ();
    type Transition = Event;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Event> {
        event().boxed()
    }

    fn apply((): (), _transition: &Event) {}
}

struct Steps;

impl StateMachineTest for Steps {
    type SystemUnderTest = World;
    type Reference = Any;

    fn init_test((): &()) -> World {
        World::new()
    }

    fn apply(mut state: World, (): &(), transition: Event) -> World {
        state.apply(transition);
        state
    }

    fn check_invariants(state: &World, (): &()) {
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
    fn bounds_hold_after_each_event(sequential 1..300 => Steps);
}

fn done() -> Vec<Fate> {
    vec![Fate::Answered; 20]
}

fn act(vm: usize, act: Act) -> Event {
    let fates = done();
    Event::Start {
        vm,
        act,
        pick: 0,
        fates,
    }
}

/// A load of the first model, on the fenced engine or the other, with these outcomes of its calls.
fn load(vm: usize, fenced: bool, fates: &[Fate]) -> Event {
    Event::Start {
        vm,
        act: Act::Load,
        pick: if fenced { 0 } else { 2 },
        fates: fates.to_vec(),
    }
}

fn attach(vm: usize, fates: &[Fate]) -> Event {
    Event::Start {
        vm,
        act: Act::Attach,
        pick: 0,
        fates: fates.to_vec(),
    }
}

fn look(vm: usize) -> [Event; 2] {
    [Event::Observe { vm }, Event::Report { vm, back: 0 }]
}

fn pass(quarters: u32) -> Event {
    Event::Advance { quarters }
}

/// Applies a history and checks the invariants after each event. In the histories below, only a
/// late order or write could break them.
fn run<I>(events: I)
where
    I: IntoIterator<Item = Event>,
{
    let mut world = World::new();
    for event in events {
        world.apply(event);
        world.check();
    }
}

const YES: Fate = Fate::Answered;

/// Events after which the first model has a ready replica on the unfenced engine, known to VM 0.
fn ready() -> Vec<Event> {
    let mut events = vec![load(0, false, &done())];
    events.extend(look(0));
    events.push(act(0, Act::Ready));
    events.extend(look(0));
    events
}

#[test]
fn paused_decider_sends_no_order_after_its_decision_was_taken_back() {
    let mut events = vec![load(0, false, &[YES, YES, YES, Fate::Held])];
    events.extend(look(1));
    events.push(act(1, Act::Unload));
    events.extend(look(1));
    events.push(pass(8));
    events.extend(look(1));
    events.push(act(1, Act::Release));
    events.push(Event::Resume {
        vm: 0,
        fates: done(),
    });
    run(events);
}

#[test]
fn order_sent_late_and_carried_out_late_is_still_counted() {
    let mut events = vec![load(0, false, &[YES, YES, YES, Fate::Held])];
    events.extend(look(1));
    events.push(act(1, Act::Unload));
    events.extend(look(1));
    events.push(pass(3));
    let fates = vec![Fate::Delayed];
    events.push(Event::Resume { vm: 0, fates });
    events.push(pass(3));
    events.extend(look(1));
    events.push(act(1, Act::Release));
    events.push(Event::Late { pick: 0 });
    run(events);
}

#[test]
fn fenced_engine_refuses_a_load_that_comes_after_its_unload() {
    let mut events = vec![load(0, true, &[YES, YES, YES, YES, Fate::Delayed])];
    events.extend(look(0));
    events.push(act(0, Act::Unload));
    events.push(pass(1));
    events.extend(look(0));
    events.push(act(0, Act::Release));
    events.push(Event::Late { pick: 0 });
    run(events);
}

#[test]
fn report_from_before_the_unload_proves_nothing() {
    let mut events = vec![pass(1)];
    events.push(Event::Report { vm: 0, back: 0 });
    events.push(load(0, true, &done()));
    events.push(Event::Observe { vm: 0 });
    events.push(act(0, Act::Unload));
    events.push(Event::Observe { vm: 0 });
    events.push(act(0, Act::Release));
    run(events);
}

#[test]
fn doubled_attach_after_a_detach_is_still_reserved() {
    let mut events = ready();
    events.push(attach(0, &[YES, YES, YES, Fate::Doubled]));
    events.push(act(0, Act::Detach));
    events.push(pass(1));
    events.extend(look(0));
    events.push(act(0, Act::DropAdapter));
    events.push(Event::Late { pick: 0 });
    run(events);
}

#[test]
fn adapter_attached_again_restarts_the_wait() {
    let mut events = ready();
    events.push(attach(0, &done()));
    events.push(act(0, Act::Detach));
    events.extend(look(0));
    events.push(pass(8));
    events.extend(look(1));
    events.push(attach(1, &[YES, YES, YES, Fate::Doubled]));
    events.push(act(1, Act::Detach));
    events.push(Event::Report { vm: 0, back: 0 });
    events.push(act(0, Act::DropAdapter));
    events.push(Event::Late { pick: 0 });
    run(events);
}
