//! Settings of the randomized tests.

use proptest::test_runner::{Config, RngSeed};

/// Seed of CI runs; `SESAMEDEAL_FUZZ_SEED` replaces it.
const DEFAULT_SEED: u64 = 20_261_204;

/// Configuration with a fixed seed. `SESAMEDEAL_FUZZ_CASES` replaces the number of cases.
pub fn fuzz_config(cases: u32) -> Config {
    Config {
        cases: variable("SESAMEDEAL_FUZZ_CASES").unwrap_or(cases),
        rng_seed: RngSeed::Fixed(variable("SESAMEDEAL_FUZZ_SEED").unwrap_or(DEFAULT_SEED)),
        failure_persistence: None,
        ..Config::default()
    }
}

fn variable<T: std::str::FromStr>(name: &str) -> Option<T> {
    std::env::var(name).ok()?.parse().ok()
}
