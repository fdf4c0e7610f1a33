//! Randomized test of several schedulers against a model that counts the units in use.

mod scheduling;
mod support;

use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use scheduling::fleet;
use scheduling::fuzz_step::{Step, apply_step, step};
use scheduling::world::World;
use support::fuzz::fuzz_config;

/// Source of random steps without a reference state: `World` counts the units itself.
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
        apply_step(&mut world, step);
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
    Config {
        max_shrink_iters: 20_000,
        ..fuzz_config(64)
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    /// Guards against units that are counted twice or lost, results that are lost or delivered
    /// twice, and dispatches that an applied generation forbids.
    #[test]
    fn units_hold(sequential 1..300 => WorldTest);
}
