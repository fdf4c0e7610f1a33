//! Limits of teams after a takeover, while workers with their runs do not answer.

mod jobs;

use jobs::{JobWorld, amount, job, rules, step};
use sesamedeal_core::jobs::{JobId, JobPhase, StepName};

/// Limit of the team, in tasks of one core.
const LIMIT: usize = 4;

/// A world with two workers in which a team is at its limit, with tasks of 3 s on both.
fn limited_world() -> JobWorld {
    let limit = u64::try_from(LIMIT).unwrap() * 1_000;
    let mut world = JobWorld::with_rules(2, 1, rules(amount(limit, 0)));
    let mut small = step(12, 1_000);
    small.max_per_worker = Some(2);
    submit(&mut world, 1, small);
    world.run(4);
    let tasks = world.workers.iter().map(|worker| worker.running.len());
    assert_eq!(tasks.collect::<Vec<_>>(), [2, 2]);
    world
}

fn submit(world: &mut JobWorld, id: u64, step: sesamedeal_core::jobs::StepSpec) {
    let name = StepName {
        job: JobId(id),
        occurrence: 0,
        step: 0,
    };
    world.lengths.insert(name, 3_000);
    world.submit(id, job(vec![step]));
}

/// Runs for `rounds` rounds and returns the most tasks that ran at the same time.
fn most_running(world: &mut JobWorld, rounds: usize) -> usize {
    let mut most = 0;
    for _ in 0..rounds {
        world.run(1);
        most = most.max(world.running());
    }
    most
}

/// Guards against a team that exceeds its limit beside its tasks on a worker that the previous owner has
/// published as unreachable, and against one that stays below it once their lease has passed.
#[test]
fn published_worker() {
    let mut world = limited_world();
    world.workers[0].is_reachable = false;
    world.run(11);
    world.take_over();
    submit(&mut world, 2, step(12, 1_000));
    assert_eq!(most_running(&mut world, 90), LIMIT);
    let before = world.starts;
    assert!(before < 24);
    most_running(&mut world, 400);
    assert_eq!(world.phase(JobId(1)), JobPhase::Finished);
    assert_eq!(world.phase(JobId(2)), JobPhase::Finished);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against the same beside a worker of which the previous owner has published nothing.
#[test]
fn silent_worker() {
    let mut world = limited_world();
    world.workers[0].is_reachable = false;
    world.take_over();
    submit(&mut world, 2, step(12, 1_000));
    assert_eq!(most_running(&mut world, 100), LIMIT);
    most_running(&mut world, 400);
    assert_eq!(world.phase(JobId(2)), JobPhase::Finished);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against room that is kept for a worker beyond what the previous owner may have started there:
/// as the adopted tasks end, others of the team start in their place.
#[test]
fn freed_room() {
    let mut world = limited_world();
    world.workers[0].is_reachable = false;
    world.run(11);
    world.take_over();
    submit(&mut world, 2, step(12, 1_000));
    world.run(70);
    let reachable = &world.workers[1];
    assert_eq!(reachable.running.len(), 2, "room is not used");
}

/// Guards against a team that is held back although all workers have answered.
#[test]
fn all_listed() {
    let mut world = limited_world();
    world.take_over();
    world.run(2);
    assert_eq!(world.running(), LIMIT);
    assert_eq!(most_running(&mut world, 300), LIMIT);
    assert_eq!(world.phase(JobId(1)), JobPhase::Finished);
}
