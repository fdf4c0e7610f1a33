//! Configuration of the randomized tests.

use proptest::test_runner::{Config, RngSeed, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

/// Default seed; the environment variable `SESAMEDEAL_FUZZ_SEED` overrides it.
const DEFAULT_SEED: u64 = 20_261_204;

/// Configuration with a fixed seed. The environment variable `SESAMEDEAL_FUZZ_CASES` overrides the
/// number of cases.
pub fn fuzz_config(cases: u32) -> Config {
    Config {
        cases: variable("SESAMEDEAL_FUZZ_CASES").unwrap_or(cases),
        rng_seed: RngSeed::Fixed(variable("SESAMEDEAL_FUZZ_SEED").unwrap_or(DEFAULT_SEED)),
        failure_persistence: None,
        ..Config::default()
    }
}

fn variable<T: std::str::FromStr>(name: &str) -> Option<T> {
    let text = std::env::var(name).ok()?;
    let Ok(value) = text.parse() else {
        panic!("{name}={text} is not a number in range");
    };
    Some(value)
}

/// Runs a state machine test with sequences of fewer than `length` transitions.
pub fn run_machine<T: StateMachineTest>(cases: u32, length: usize)
where
    <T::Reference as ReferenceStateMachine>::State: 'static,
    <T::Reference as ReferenceStateMachine>::Transition: 'static,
{
    let config = fuzz_config(cases);
    let strategy = T::Reference::sequential_strategy(1..length);
    let result = TestRunner::new(config.clone()).run(&strategy, |(state, transitions, seen)| {
        T::test_sequential(config.clone(), state, transitions, seen);
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}
