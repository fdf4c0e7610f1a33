//! Random histories of faults against the world's oracle.

mod jobs;

use jobs::{JobWorld, WorldFaults, job, step};

/// Histories of the short run. `SESAMEDEAL_FUZZ_CASES` and `SESAMEDEAL_FUZZ_SEED` set others.
const CASES: u64 = 64;

fn variable(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.map_or(default, |value| value.parse().unwrap())
}

fn play(seed: u64) -> JobWorld {
    let faults = WorldFaults {
        lost_starts: 0.05,
        refused_writes: 0.2,
        cuts: 0.01,
        takeovers: 0.01,
        failures: 0.03,
        reboots: 0.005,
    };
    let mut world = JobWorld::new(4, seed).with_faults(faults);
    for number in 0..12 {
        let mut second = step(3, 2_500);
        second.after = vec![0];
        world.submit(number, job(vec![step(4, 1_500), second]));
        world.run(10);
    }
    let mut lasting = step(3, 500);
    lasting.is_lasting = true;
    world.submit(99, job(vec![lasting]));
    world.run(200);
    world
}

/// Guards against tasks that run twice, before their time, beyond their attempts or beyond the
/// capacity of their worker, whatever is lost, cut, refused or taken over.
#[test]
fn random_faults() {
    let first = variable("SESAMEDEAL_FUZZ_SEED", 1);
    for seed in first..first + variable("SESAMEDEAL_FUZZ_CASES", CASES) {
        let world = play(seed);
        assert!(world.starts > 0, "seed {seed}: nothing was started");
        assert!(
            world.violations.is_empty(),
            "seed {seed}: {:#?}",
            world.violations
        );
    }
}
