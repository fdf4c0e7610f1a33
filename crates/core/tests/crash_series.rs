//! Crashes of workers that no task causes: in series, of whole racks and at changes of the owner.

mod jobs;

use jobs::{JobWorld, WorldFaults, at, job, step};
use sesamedeal_core::jobs::{JobPhase, StartOutcome};

/// Number of random histories of each kind.
const SEEDS: u64 = 24;

/// Submits jobs for 20 s and then waits until they have ended.
fn play(faults: WorldFaults, seed: u64, mut each_round: impl FnMut(&mut JobWorld, u64)) {
    let mut world = JobWorld::new(8, seed).with_faults(faults);
    let mut lasting = step(4, 1_000);
    lasting.is_lasting = true;
    world.submit(1_000, job(vec![lasting]));
    for number in 0..40 {
        let mut second = step(3, 2_500);
        second.after = vec![0];
        second.allows_copies = number % 3 == 0;
        second.is_gang = number % 7 == 0;
        world.submit(number, job(vec![step(4, 1_500), second]));
        for round in 0..10 {
            each_round(&mut world, number * 10 + round);
            world.round();
        }
    }
    world.run(1_000);
    for (id, (_, record)) in &world.stored {
        let expected = if id.0 == 1_000 {
            JobPhase::Running
        } else {
            JobPhase::Finished
        };
        let abandoned = &world.crashes.abandoned;
        assert_eq!(
            record.phase, expected,
            "seed {seed}: job {id}, given up: {abandoned:#?}"
        );
    }
    let violations = &world.violations;
    assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
}

/// Guards against healthy jobs that are given up because workers crash in series under them.
#[test]
fn single_workers() {
    for seed in 0..SEEDS {
        let faults = WorldFaults {
            kept_names: 0.5,
            ..WorldFaults::default()
        };
        play(faults, seed, |world, round| {
            if round % 12 == 0 {
                let index = usize::from(world.pick(8));
                world.crash(index);
            }
        });
    }
}

/// Guards against healthy jobs that are given up because racks crash under them.
#[test]
fn whole_racks() {
    for seed in 0..SEEDS {
        play(WorldFaults::default(), seed, |world, round| {
            if round % 80 == 40 {
                let rack = usize::from(world.pick(2)) * 4;
                (rack..rack + 4).for_each(|index| world.crash(index));
            }
        });
    }
}

/// Guards against healthy jobs that are given up because workers crash while the owner changes,
/// writes fail and starts have no answer.
#[test]
fn changing_owners() {
    for seed in 0..SEEDS {
        let faults = WorldFaults {
            takeovers: 0.01,
            refused_writes: 0.2,
            lost_starts: 0.05,
            kept_names: 0.3,
            ..WorldFaults::default()
        };
        play(faults, seed, |world, round| {
            if round % 16 == 0 {
                let index = usize::from(world.pick(8));
                world.crash(index);
            }
        });
    }
}

/// Guards against tasks that a single worker, which crashes soon after each start, takes with it.
#[test]
fn unstable_worker() {
    for seed in 0..SEEDS {
        let faults = WorldFaults {
            kept_names: 1.0,
            ..WorldFaults::default()
        };
        play(faults, seed, |world, _| {
            if !world.workers[0].tasks().is_empty() {
                world.crash(0);
            }
        });
    }
}

/// Guards against a job that is given up although its task has never run: the orders were lost, and
/// their workers crashed for another reason.
#[test]
fn unanswered_starts() {
    let mut world = JobWorld::new(4, 1);
    world.crashes.lost_orders = 3;
    let id = world.submit(1, job(vec![step(1, 1_000)]));
    world.run(800);
    assert_eq!(world.phase(id), JobPhase::Finished);
}

/// Guards against a task that is never started again: the worker on which it was about to start was
/// started again while that was being stored, so that the record did not show what was known by then.
#[test]
fn restarted_meanwhile() {
    let mut world = JobWorld::new(2, 3);
    world.run(2);
    let id = world.submit(1, job(vec![step(1, 1_000)]));
    world.run(1);
    let crashed = world.busy_worker();
    world.crash(crashed);
    let planned = 1 - crashed;
    let batch = loop {
        world.round_without_write();
        let batch = world.dispatcher.take_records(72, world.now);
        let mut crashes = batch.records.iter().flat_map(|(_, record)| &record.crashes);
        if crashes.any(|entry| entry.crashes.len() == 2) {
            break batch;
        }
        world.dispatcher.note_stored(&batch, at(world.now));
    };
    world.restart(planned);
    world.list_workers();
    world.dispatcher.note_stored(&batch, at(world.now));
    world.run(100);
    assert_eq!(world.phase(id), JobPhase::Finished);
}

/// Time in which all workers are back, and all tasks start again and end, in rounds: 3.2 s, 7 s and
/// 1.2 s. A task may wait for 3 s beside free capacity, from 4 s after the last disruption on.
const RECOVERY: usize = 228;

/// Guards against tasks that wait for each other's turn for long: all workers crash at once while many
/// tasks start, and each of them may be the cause.
#[test]
fn all_workers() {
    let mut world = JobWorld::new(4, 3);
    world.run(2);
    let mut spec = step(4, 100);
    spec.amount.memory_mb = 10;
    let ids: Vec<_> = (0..60)
        .map(|id| world.submit(id, job(vec![spec.clone()])))
        .collect();
    world.run(1);
    assert_eq!(world.starts, 240);
    (0..4).for_each(|index| world.crash(index));
    world.run(RECOVERY);
    let open = ids.iter();
    let open = open.filter(|id| world.phase(**id) != JobPhase::Finished);
    assert_eq!(open.count(), 0);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against a task that is given up too soon: its start had no answer, and the crash of the worker
/// and the silence of the next life of that worker counted as two crashes.
#[test]
fn single_start() {
    let mut world = JobWorld::new(1, 3);
    world.run(2);
    world.submit(1, job(vec![step(1, 1_000)]));
    let (key, order) = world.plan_starts().remove(0);
    world.answer_start(key, &order, StartOutcome::Unknown);
    world.restart(0);
    world.list_workers();
    world.dispatcher.note_unresponsive(key);
    let batch = world.dispatcher.take_records(72, world.now);
    let crashes = batch.records.iter().flat_map(|(_, record)| &record.crashes);
    let crashes: Vec<usize> = crashes.map(|entry| entry.crashes.len()).collect();
    assert_eq!(crashes, [1]);
}
