//! Random sequences of faults, checked against the invariants of the simulation.

mod jobs;

use jobs::{JobWorld, WorldFaults, job, step};

/// Default number of sequences. `SESAMEDEAL_FUZZ_CASES` overrides it, and `SESAMEDEAL_FUZZ_SEED`
/// sets the first seed.
const CASES: u64 = 64;

fn variable(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.map_or(default, |value| value.parse().unwrap())
}

fn simulate(seed: u64) -> JobWorld {
    let faults = WorldFaults {
        lost_starts: 0.05,
        refused_writes: 0.2,
        disconnects: 0.01,
        takeovers: 0.01,
        failures: 0.03,
        reboots: 0.005,
        ..WorldFaults::default()
    };
    let mut world = JobWorld::new(4, seed).with_faults(faults);
    for number in 0..12 {
        let mut second = step(3, 2_500);
        second.after = vec![0];
        world.submit(number, job(vec![step(4, 1_500), second]));
        world.run(10);
    }
    let mut long_running = step(3, 500);
    long_running.is_lasting = true;
    world.submit(99, job(vec![long_running]));
    world.run(200);
    world
}

/// Guards against tasks that run twice, start before the steps they depend on, exceed their
/// attempts or exceed the capacity of their worker, under any combination of lost starts, refused
/// writes, unreachable workers, restarts, failures and takeovers.
#[test]
fn random_faults() {
    let first = variable("SESAMEDEAL_FUZZ_SEED", 1);
    for seed in first..first + variable("SESAMEDEAL_FUZZ_CASES", CASES) {
        let world = simulate(seed);
        assert!(world.starts > 0, "seed {seed}: nothing was started");
        assert!(
            world.violations.is_empty(),
            "seed {seed}: {:#?}",
            world.violations
        );
    }
}
