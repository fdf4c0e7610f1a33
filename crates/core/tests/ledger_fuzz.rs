//! Stateful fuzzing of several schedulers against an oracle that counts running units.
//!
//! `SESAMEDEAL_FUZZ_SEED` and `SESAMEDEAL_FUZZ_CASES` replace the fixed seed and the number of
//! cases.

mod scheduling;

use std::str::FromStr;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use scheduling::fleet;
use scheduling::fuzz_step::{Step, step, take};
use scheduling::world::World;

/// The steps need no model of their own; the world counts the units.
#[derive(Debug)]
struct StepSource;

impl ReferenceStateMachine for StepSource {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        step().boxed()
    }

    fn apply((): (), _step: &Step) {}
}

#[derive(Debug)]
struct WorldTest;

impl StateMachineTest for WorldTest {
    type SystemUnderTest = World;
    type Reference = StepSource;

    fn init_test((): &()) -> World {
        start()
    }

    fn apply(mut world: World, (): &(), step: Step) -> World {
        take(&mut world, step);
        world
    }

    fn teardown(mut world: World, (): ()) {
        world.recover();
    }
}

fn start() -> World {
    let teams = [("one", 3, 10), ("two", 2, 14), ("three", 1, 5)];
    World::new(fleet(3, &teams, 3))
}

fn config() -> Config {
    let number = |name: &str, default: u64| {
        std::env::var(name).map_or(default, |text| u64::from_str(&text).unwrap())
    };
    Config {
        cases: u32::try_from(number("SESAMEDEAL_FUZZ_CASES", 64)).unwrap(),
        rng_seed: RngSeed::Fixed(number("SESAMEDEAL_FUZZ_SEED", 20_261_204)),
        failure_persistence: None,
        max_shrink_iters: 20_000,
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    /// Guards against units counted twice, lost units, lost or doubled results, and dispatches
    /// that an applied generation forbids.
    #[test]
    fn units_hold(sequential 1..300 => WorldTest);
}
