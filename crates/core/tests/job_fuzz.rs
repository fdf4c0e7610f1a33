//! Random sequences of faults, checked against the invariants of the simulation.

mod jobs;

use jobs::{JobWorld, WorldFaults, job, step};
use sesamedeal_core::jobs::JobId;

/// Default number of sequences. `SESAMEDEAL_FUZZ_CASES` overrides it, and `SESAMEDEAL_FUZZ_SEED`
/// sets the first seed.
const CASES: u64 = 64;

fn variable(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.map_or(default, |value| value.parse().unwrap())
}

fn simulate(seed: u64, silent_partitions: f64) -> JobWorld {
    let faults = WorldFaults {
        lost_starts: 0.05,
        refused_writes: 0.2,
        disconnects: 0.01,
        takeovers: 0.01,
        silent_partitions,
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
        let world = simulate(seed, 0.0);
        assert!(world.starts > 0, "seed {seed}: nothing was started");
        assert!(
            world.violations.is_empty(),
            "seed {seed}: {:#?}",
            world.violations
        );
    }
}

/// Guards against the same, and against jobs that do not go on, when some partitions of the store do
/// not answer new owners.
#[test]
fn silent_partitions() {
    let first = variable("SESAMEDEAL_FUZZ_SEED", 1);
    for seed in first..first + variable("SESAMEDEAL_FUZZ_CASES", CASES) {
        let mut world = simulate(seed, 0.4).with_faults(WorldFaults::default());
        for worker in &mut world.workers {
            worker.is_reachable = true;
        }
        while let Some(partition) = world.unread.first().copied() {
            world.read_partition(partition);
            world.run(10);
        }
        world.run(1_200);
        assert!(
            world.violations.is_empty(),
            "seed {seed}: {:#?}",
            world.violations
        );
        for number in 0..12 {
            let phase = world.phase(JobId(number));
            assert!(phase.is_final(), "seed {seed}: job {number} is {phase:?}");
        }
    }
}
