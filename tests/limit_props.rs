//! No account exceeds rate x window + burst, under any order of messages and failures.
//!
//! The machines of a few VMs run against a store, a lagging list and links that lose, double, delay
//! and reorder. After each step the whole history of grants is checked over every window.

mod limit_fleet;

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

struct Bounded;

impl StateMachineTest for Bounded {
    type SystemUnderTest = Fleet;
    type Reference = Steps;

    fn init_test((): &()) -> Fleet {
        Fleet::open(4)
    }

    fn apply(mut fleet: Fleet, (): &(), step: Step) -> Fleet {
        fleet.step(&step);
        fleet
    }

    fn check_invariants(fleet: &Fleet, (): &()) {
        let over = fleet.overshoot();
        assert!(over <= 0, "{over} thousandths of a token above the bound");
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
    fn every_window_is_bounded(sequential 1..250 => Bounded);
}
