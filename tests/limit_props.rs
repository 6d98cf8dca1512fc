//! No account exceeds rate x window + burst, under any order of messages and failures.
//!
//! The machines of a few VMs run against a store, a lagging list and links that lose, double, delay
//! and reorder. After each step the whole history of grants is checked over every window.

mod limit_fleet;
mod limit_window;

use limit_fleet::{Fleet, Step};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

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

/// A share of `BURST` tokens, held in as many parts as that allows.
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
        let over = state.overshoot();
        assert_eq!(over, 0, "thousandths of a token above the bound");
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
