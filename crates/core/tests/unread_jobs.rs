//! Runs and ends of jobs whose partition of the store does not answer a new owner.

mod jobs;

use jobs::{JobWorld, amount, job, partition_of, rules, step};
use sesamedeal_core::jobs::{JobId, JobPhase, ResourceAmount, StepSpec};

/// Job whose partition is not read at the takeover.
const UNREAD: u64 = 1;

/// Partition of that job.
const SILENT: u16 = 1;

fn long_running(count: u16, cpu_millis: u64) -> StepSpec {
    let mut step = step(count, cpu_millis);
    step.is_lasting = true;
    step
}

/// A world in which a job runs on one of two workers and a new owner cannot read it.
fn unread_world(step: StepSpec) -> JobWorld {
    let mut world = JobWorld::new(2, 1);
    world.submit(UNREAD, job(vec![step]));
    world.run(3);
    assert_eq!(partition_of(JobId(UNREAD)), SILENT);
    world.take_over_without([SILENT]);
    world
}

/// Resources that all running tasks use together.
fn total_use(world: &JobWorld) -> ResourceAmount {
    let mut total = ResourceAmount::default();
    for task in world.workers.iter().flat_map(|worker| worker.tasks()) {
        total += world.stored[&task.step.job].0.steps[usize::from(task.step.step)].amount;
    }
    total
}

/// Guards against a stop of tasks as if their job had ended, a use of their resources, and a second
/// start when the job is read.
#[test]
fn left_alone() {
    let mut world = unread_world(long_running(2, 3_000));
    let busy = world.busy_worker();
    world.submit(4, job(vec![long_running(2, 2_000)]));
    world.run(40);
    assert_eq!(world.workers[busy].tasks().len(), 2, "stopped or joined");
    assert_eq!(world.workers[1 - busy].tasks().len(), 2, "not started");
    assert_eq!(world.dispatcher.unread_runs(), 2);
    // Two of these fit beside the others, and the third one only on the worker of the unread job.
    world.submit(8, job(vec![long_running(3, 2_000)]));
    world.run(40);
    assert_eq!(world.starts, 6, "the resources of the unread job were used");
    world.read_partition(SILENT);
    world.run(20);
    assert_eq!(world.starts, 7, "started again or not at all");
    assert_eq!(world.dispatcher.unread_runs(), 0);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against ends that workers forget before their job is read: the tasks would run again.
#[test]
fn kept_ends() {
    let mut world = unread_world(step(4, 1_000));
    world.submit(4, job(vec![step(4, 1_000)]));
    world.run(60);
    assert_eq!(world.phase(JobId(4)), JobPhase::Finished);
    let ended = world.workers.iter().map(|worker| worker.ended.len());
    assert!(ended.sum::<usize>() >= 4, "acknowledged");
    world.read_partition(SILENT);
    world.run(4);
    assert_eq!(world.phase(JobId(UNREAD)), JobPhase::Finished);
    assert_eq!(world.starts, 8, "ran again");
    let mut ended = world.workers.iter().map(|worker| worker.ended.len());
    assert!(ended.all(|ended| ended == 0), "not acknowledged");
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against ends that are lost with the owner that could not read their job.
#[test]
fn next_owner() {
    let mut world = unread_world(step(4, 1_000));
    world.run(60);
    world.take_over_without([]);
    world.run(4);
    assert_eq!(world.phase(JobId(UNREAD)), JobPhase::Finished);
    assert_eq!(world.starts, 4, "ran again");
}

/// Guards against an end of an earlier life of a worker that hides those of the current one.
#[test]
fn restarted_worker() {
    let mut world = unread_world(step(4, 1_000));
    world.run(60);
    let busy = world
        .workers
        .iter()
        .position(|worker| !worker.ended.is_empty());
    world.restart(busy.unwrap());
    world.run(2);
    world.submit(4, job(vec![step(16, 1_000)]));
    world.read_partition(SILENT);
    world.run(80);
    assert_eq!(world.phase(JobId(4)), JobPhase::Finished);
    assert_eq!(world.phase(JobId(UNREAD)), JobPhase::Finished);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against a second run of a task on a worker that became unreachable before its job was read,
/// and against one that is never started again after the lease has passed.
#[test]
fn unreachable_worker() {
    let mut world = unread_world(long_running(2, 1_000));
    let busy = world.busy_worker();
    world.run(2);
    world.workers[busy].is_reachable = false;
    world.run(20);
    // The next owner knows from the publication where the tasks may run.
    world.take_over_without([SILENT]);
    world.read_partition(SILENT);
    world.run(40);
    assert_eq!(world.starts, 2, "started while a lease may last");
    world.run(160);
    assert_eq!(world.starts, 4, "not started after the leases");
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against a team that exceeds its limit because the owner does not know the team of a run,
/// and against one that is held back after its runs have ended.
#[test]
fn team_limit() {
    let mut world = JobWorld::with_rules(4, 1, rules(amount(8_000, 0)));
    world.submit(UNREAD, job(vec![step(3, 2_000)]));
    world.run(1);
    world.submit(4, job(vec![step(1, 2_000)]));
    world.run(1);
    assert_eq!(total_use(&world).cpu_millis, 8_000);
    world.take_over_without([SILENT]);
    world.submit(8, job(vec![step(20, 2_000)]));
    let mut highest = 0;
    for _ in 0..60 {
        world.round();
        highest = highest.max(total_use(&world).cpu_millis);
    }
    assert_eq!(highest, 8_000, "above the limit, or held back for too long");
    world.read_partition(SILENT);
    world.run(120);
    assert_eq!(world.phase(JobId(8)), JobPhase::Finished);
    assert_eq!(world.phase(JobId(UNREAD)), JobPhase::Finished);
}

/// Guards against more than the limit of a team for any sequence of takeovers and silent partitions.
#[test]
fn random_limits() {
    for seed in 1..40 {
        let mut world = JobWorld::with_rules(4, seed, rules(amount(12_000, 0)));
        for number in 0..40 {
            world.submit(number, job(vec![step(3, 1_500), long_running(1, 500)]));
            if number % 5 == 4 {
                let silent = (0..4).filter(|partition| (seed >> partition) & 1 == 1);
                world.take_over_without(silent);
            }
            for _ in 0..6 {
                world.round();
                let total = total_use(&world).cpu_millis;
                assert!(total <= 12_000, "seed {seed}, {} ms: {total}", world.now);
            }
            if number % 2 == 0
                && let Some(partition) = world.unread.first().copied()
            {
                world.read_partition(partition);
            }
        }
        assert!(world.violations.is_empty(), "{:?}", world.violations);
    }
}
