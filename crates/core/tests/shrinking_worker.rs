//! Workers whose capacity shrinks and grows while they run.
//!
//! The simulation counts a violation if a start brings a worker over each capacity that it had
//! within the last 4.5 s.

mod jobs;

use jobs::{JobWorld, WorldFaults, job, step};
use sesamedeal_core::jobs::JobPhase;

/// Number of random histories.
const SEEDS: u64 = 48;

/// Changes the capacities of all workers at random while jobs of each kind arrive.
fn play(seed: u64, faults: WorldFaults) -> JobWorld {
    let mut world = JobWorld::new(5, seed).with_faults(faults);
    for index in 0..5 {
        world.resize(index, 2_000);
        world.run(30);
        world.resize(index, 8_000);
    }
    let mut filler = step(3, 4_000);
    filler.is_lasting = true;
    filler.is_filler = true;
    world.submit(900, job(vec![filler]));
    for number in 0..60 {
        let mut spec = step(3, 1_500);
        spec.is_gang = number % 4 == 1;
        spec.allows_copies = number % 4 == 2;
        spec.is_lasting = number % 12 == 3;
        world.submit(number, job(vec![spec]));
        if number % 3 == 0 {
            let index = usize::from(world.pick(5));
            let cpu = 2_000 + 1_500 * u64::from(world.pick(5));
            world.resize(index, cpu);
        }
        world.is_store_silent = number % 30 >= 15;
        world.run(10);
    }
    world.is_store_silent = false;
    world
}

/// Guards against starts that rely on a capacity which has shrunk since, also while the list of
/// workers cannot be read.
#[test]
fn changing_capacity() {
    for seed in 0..SEEDS {
        let world = play(seed, WorldFaults::default());
        let violations = &world.violations;
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
    }
}

/// Guards against a new owner that relies on a capacity which has shrunk since.
#[test]
fn taken_over() {
    for seed in 0..SEEDS {
        let faults = WorldFaults {
            takeovers: 0.01,
            lost_starts: 0.05,
            ..WorldFaults::default()
        };
        let world = play(seed, faults);
        let over = world
            .violations
            .iter()
            .filter(|text| text.contains("over capacity"));
        let over: Vec<_> = over.collect();
        assert!(over.is_empty(), "seed {seed}: {over:#?}");
    }
}

/// Guards against work that no longer starts after all workers were too small for it for a while.
#[test]
fn grown_again() {
    let mut world = JobWorld::new(2, 1);
    (0..2).for_each(|index| world.resize(index, 500));
    world.run(40);
    let id = world.submit(1, job(vec![step(3, 6_000)]));
    world.run(100);
    assert_eq!(world.starts, 0);
    (0..2).for_each(|index| world.resize(index, 8_000));
    world.run(140);
    assert_eq!(world.phase(id), JobPhase::Finished);
}
