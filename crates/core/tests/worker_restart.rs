//! Workers that are started again under their name, while the list of workers and their answers are
//! of different ages.

mod jobs;

use jobs::{JobWorld, WorldFaults, at, job, step};
use sesamedeal_core::jobs::{JobPhase, WorkerReport};

/// Rounds in 3 s. Tasks that have run for less are held back when their worker crashes.
const SETTLED: usize = 60;

/// Number of tasks of a job.
const TASKS: u16 = 4;

/// Rack of the first worker.
const DATA_RACK: &str = "rack-0";

/// A world of two workers. Tasks prefer the first one, which holds their data.
fn world() -> JobWorld {
    let mut world = JobWorld::new(2, 3);
    world.workers[0].report.labels = vec![DATA_RACK.into()];
    world.list_workers();
    world.run(2);
    world
}

/// Submits a job of lasting tasks and lets them run for a while.
fn run_job(world: &mut JobWorld) {
    let mut spec = step(TASKS, 1_000);
    spec.is_lasting = true;
    spec.data_rack = Some(DATA_RACK.into());
    world.submit(1, job(vec![spec]));
    world.run(SETTLED);
    assert_eq!(world.starts, usize::from(TASKS));
}

/// Starts a worker again while the list keeps its old entry.
fn restart_unlisted(world: &mut JobWorld, index: usize) {
    let entry = world.workers[index].report.clone();
    world.restart(index);
    world.workers[index].outdated_entry = Some(entry);
}

/// Shows the list to the owner, which plans before the workers answer again. `outdated` stands for
/// the entry of the first worker.
fn list_and_plan(world: &mut JobWorld, outdated: Option<WorkerReport>) {
    world.workers[0].outdated_entry = outdated;
    world.list_workers();
    world.plan();
    world.run(5);
}

/// Checks that all tasks have been started once.
fn assert_undisturbed(world: &JobWorld) {
    assert_eq!(world.starts, usize::from(TASKS));
    assert_sound(world);
}

fn assert_sound(world: &JobWorld) {
    let violations = &world.violations;
    assert!(violations.is_empty(), "{violations:#?}");
}

/// Guards against the second start of tasks on a worker whose list entry shows a restart later than
/// its answers do.
#[test]
fn late_entry() {
    let mut world = world();
    restart_unlisted(&mut world, 0);
    world.run(2);
    run_job(&mut world);
    list_and_plan(&mut world, None);
    assert_undisturbed(&world);
}

/// Guards against the second start of tasks of a previous owner whose list was ahead of the one that
/// the new owner reads first.
#[test]
fn late_list() {
    let mut world = world();
    let entry = world.workers[0].report.clone();
    world.restart(0);
    list_and_plan(&mut world, None);
    world.run(2);
    run_job(&mut world);
    assert_eq!(world.workers[0].tasks().len(), usize::from(TASKS));
    world.workers[0].outdated_entry = Some(entry);
    world.take_over();
    world.run(SETTLED);
    list_and_plan(&mut world, None);
    assert_undisturbed(&world);
}

/// Guards against the second start of tasks after the list shows an entry from before the last
/// restart, as a late write leaves it.
#[test]
fn older_entry() {
    let mut world = world();
    let first = world.workers[0].report.clone();
    world.restart(0);
    let second = world.workers[0].report.clone();
    world.run(5);
    world.restart(0);
    list_and_plan(&mut world, None);
    world.run(2);
    run_job(&mut world);
    assert_eq!(world.workers[0].tasks().len(), usize::from(TASKS));
    for entry in [Some(second), Some(first), None] {
        list_and_plan(&mut world, entry);
        world.run(5);
    }
    assert_undisturbed(&world);
}

/// Guards against the second start of tasks after the list shows an entry of a boot that ended before
/// it could answer, because its write was late.
#[test]
fn unseen_boot() {
    let mut world = world();
    world.restart(0);
    let second = world.workers[0].report.clone();
    world.restart(0);
    list_and_plan(&mut world, None);
    world.run(2);
    run_job(&mut world);
    for entry in [Some(second), None] {
        list_and_plan(&mut world, entry);
        world.run(5);
    }
    assert_undisturbed(&world);
}

/// Guards against the second start of tasks whose worker has another address.
#[test]
fn other_address() {
    let mut world = world();
    run_job(&mut world);
    world.workers[0].report.address = "10.0.0.2:80".parse().unwrap();
    list_and_plan(&mut world, None);
    world.run(5);
    assert_undisturbed(&world);
}

/// Guards against starts that rely on the capacity of an earlier start of the worker, long after the
/// list should have shown the new one.
#[test]
fn unknown_capacity() {
    let mut world = JobWorld::new(1, 3);
    world.run(2);
    restart_unlisted(&mut world, 0);
    world.run(50);
    let id = world.submit(1, job(vec![step(1, 1_000)]));
    world.run(20);
    assert_eq!(world.starts, 0);
    list_and_plan(&mut world, None);
    world.run(40);
    assert_eq!(world.phase(id), JobPhase::Finished);
}

/// Guards against starts that rely on a label of an earlier start of the worker, and against a worker
/// that gets no tasks at all until the list shows its restart.
#[test]
fn unknown_label() {
    let mut world = JobWorld::new(1, 3);
    world.run(2);
    restart_unlisted(&mut world, 0);
    let mut spec = step(1, 1_000);
    spec.required_label = Some("rack-1".into());
    let labelled = world.submit(1, job(vec![spec]));
    let other = world.submit(2, job(vec![step(1, 1_000)]));
    world.run(40);
    assert_eq!(world.phase(other), JobPhase::Finished);
    assert_eq!(world.starts, 1);
    list_and_plan(&mut world, None);
    world.run(40);
    assert_eq!(world.phase(labelled), JobPhase::Finished);
}

/// Guards against tasks that wait for the end of a lease although their worker was started again.
#[test]
fn freed_runs() {
    for is_reachable in [true, false] {
        for is_listed_first in [true, false] {
            let mut world = world();
            run_job(&mut world);
            world.restart(0);
            world.workers[0].is_reachable = is_reachable;
            if !is_listed_first {
                world.run(2);
            }
            list_and_plan(&mut world, None);
            world.run(20);
            assert_eq!(
                world.starts,
                2 * usize::from(TASKS),
                "reachable: {is_reachable}"
            );
            assert_sound(&world);
        }
    }
}

/// Guards against tasks that run twice or are never finished when workers restart in series and the
/// list shows it late.
#[test]
fn random_restarts() {
    for seed in 0..32 {
        let faults = WorldFaults {
            reboots: 0.02,
            late_entries: 0.7,
            takeovers: 0.01,
            lost_starts: 0.05,
            ..WorldFaults::default()
        };
        let mut world = JobWorld::new(4, seed).with_faults(faults);
        let ids: Vec<_> = (0..30)
            .map(|number| {
                world.run(10);
                world.submit(number, job(vec![step(5, 1_500)]))
            })
            .collect();
        world = world.with_faults(WorldFaults::default());
        world.run(300);
        let violations = &world.violations;
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
        for id in ids {
            assert_eq!(world.phase(id), JobPhase::Finished, "seed {seed}: job {id}");
        }
    }
}

/// Guards against ends that a worker forgets before they are stored, because a write with ends of its
/// previous start was still under way.
#[test]
fn stored_ends() {
    let mut world = JobWorld::new(1, 3);
    world.submit(1, job(vec![step(4, 1_000)]));
    for _ in 0..40 {
        world.round_without_write();
    }
    let batch = world.dispatcher.take_records(72, world.now);
    world.restart(0);
    world.list_workers();
    world.submit(2, job(vec![step(2, 1_000)]));
    for _ in 0..40 {
        world.round_without_write();
    }
    let key = world.workers[0].key.unwrap();
    assert_eq!(world.dispatcher.processed_end(key), 2);
    world.dispatcher.note_stored(&batch, at(world.now));
    assert_eq!(world.dispatcher.stored_end(key), 0);
}
