//! No account gets more than rate x window + burst in any window, whatever fails.
//!
//! A few VMs run against a store, a list of VMs that lags, and a network that loses, duplicates,
//! delays and reorders messages. VMs crash, pause, restart and shut down. After each step the whole
//! history of grants is checked over every window.

mod limit_fleet;
mod limit_window;

use limit_fleet::{Fleet, Step};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

/// The reference model, which has no state: any step may follow any other.
#[derive(Clone, Debug)]
struct Steps;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        limit_fleet::steps().boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// Checks a quota with a burst of `BURST` tokens, split into as many parts as that allows.
struct Bounded<const BURST: u64>;

impl<const BURST: u64> StateMachineTest for Bounded<BURST> {
    type SystemUnderTest = Fleet;
    type Reference = Steps;

    fn init_test((): &()) -> Fleet {
        Fleet::open(4, BURST)
    }

    fn apply(mut state: Fleet, (): &(), transition: Step) -> Fleet {
        state.step(&transition);
        state
    }

    fn check_invariants(state: &Fleet, (): &()) {
        let excess = state.overshoot();
        assert_eq!(excess, 0, "thousandths of a token above the bound");
    }
}

fn config(cases: u32) -> Config {
    Config {
        cases,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(7),
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(config(400))]

    #[test]
    fn one_part_is_bounded(sequential 1..200 => Bounded<2_000>);

    #[test]
    fn three_parts_are_bounded(sequential 1..200 => Bounded<3_100>);
}
