//! Calls that were meant for the former life of a worker, which was started again under its name.

mod jobs;

use std::time::Duration;

use jobs::{JobWorld, LEASE, at, job, step};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sesamedeal_core::jobs::{JobPhase, StartOrder, StartOutcome, WorkerState};

/// Rounds in a second.
const SECOND: usize = 20;

/// Rounds in the time within which a worker answers an order.
const ORDER_TIME: usize = 18;

/// Number of tasks of a job.
const TASKS: u16 = 4;

/// A world of two workers, on the first of which lasting tasks have run for 3 s. The second one takes
/// no tasks yet.
fn world() -> JobWorld {
    let mut world = JobWorld::new(2, 3);
    world.workers[1].report.state = WorkerState::Draining;
    world.list_workers();
    world.run(2);
    let mut spec = step(TASKS, 1_000);
    spec.is_lasting = true;
    world.submit(1, job(vec![spec]));
    world.run(3 * SECOND);
    assert_eq!(running(&world, 0), usize::from(TASKS));
    world
}

fn running(world: &JobWorld, index: usize) -> usize {
    world.workers[index].tasks().len()
}

fn assert_sound(world: &JobWorld) {
    let violations = &world.violations;
    assert!(violations.is_empty(), "{violations:#?}");
}

/// Starts the first worker again, as its answers or the list show first, and waits until it runs the
/// tasks again. The second worker takes tasks from then on.
fn restart(world: &mut JobWorld, is_listed_first: bool) {
    world.restart(0);
    if is_listed_first {
        world.list_workers();
    }
    world.run(SECOND);
    assert!(running(world, 0) >= usize::from(TASKS), "back after 1 s");
    admit_second(world);
}

fn admit_second(world: &mut JobWorld) {
    world.workers[1].report.state = WorkerState::Ready;
    world.list_workers();
}

/// Guards against tasks that run twice when a worker is cut off after its return: a call that was
/// meant for its former life extends its lease, on another clock, for longer than the owner knows.
#[test]
fn late_extension() {
    for is_listed_first in [true, false] {
        for delay in [0, 1, 2 * SECOND, 4 * SECOND] {
            let mut world = world();
            let fence = world.fence(0);
            restart(&mut world, is_listed_first);
            world.workers[0].is_reachable = false;
            world.run(delay);
            world.late_hold(0, fence, 0);
            world.run(8 * SECOND);
            assert_sound(&world);
            assert_eq!(running(&world, 1), usize::from(TASKS), "the tasks run");
        }
    }
}

/// Guards against tasks that run twice because the lease was extended before the new life of the
/// worker had answered, also under a later owner.
#[test]
fn early_extension() {
    for is_owner_new in [false, true] {
        let mut world = world();
        let fence = world.fence(0);
        world.restart(0);
        world.late_hold(0, fence, 0);
        if is_owner_new {
            world.take_over();
        }
        for _ in 0..SECOND {
            if running(&world, 0) == 0 {
                world.run(1);
            }
        }
        assert_eq!(running(&world, 0), usize::from(TASKS));
        for run in world.workers[0].running.values_mut() {
            run.lease_end = run.started + 6_000;
        }
        admit_second(&mut world);
        world.workers[0].is_reachable = false;
        world.run(8 * SECOND);
        assert_sound(&world);
        assert_eq!(running(&world, 1), usize::from(TASKS), "the tasks run");
    }
}

/// Orders the first start of a job, and returns the order and its fence number.
fn order_start(world: &mut JobWorld) -> (StartOrder, u64) {
    let mut spec = step(1, 1_000);
    spec.is_lasting = true;
    world.submit(2, job(vec![spec]));
    let (key, order) = world.plan_starts().remove(0);
    assert_eq!(Some(key), world.workers[0].key);
    (order, world.fence(0))
}

fn answer(world: &mut JobWorld, order: &StartOrder, outcome: StartOutcome) {
    let key = world.workers[0].key.unwrap();
    world.answer_start(key, order, outcome);
}

/// Orders the first start of a job, which has no answer, and returns the order and its fence number.
fn unanswered_start(world: &mut JobWorld) -> (StartOrder, u64) {
    let (order, fence) = order_start(world);
    answer(world, &order, StartOutcome::Unknown);
    (order, fence)
}

/// Guards against a task that runs twice because its start, which was on its way when the worker was
/// started again, reaches the new life before that has answered: it grants the longest lease from then
/// on, while the worker is cut off.
#[test]
fn slow_order() {
    // A start without an answer may be carried out up to 12 s later, see `given_up_order`.
    let runs_within = [
        (StartOutcome::Started, 8 * SECOND),
        (StartOutcome::Unknown, 19 * SECOND),
    ];
    for (outcome, limit) in runs_within {
        let mut world = world();
        let (order, fence) = order_start(&mut world);
        world.workers[0].is_reachable = false;
        world.restart(0);
        world.list_workers();
        world.run(SECOND / 2);
        world.late_start(0, fence, &order);
        answer(&mut world, &order, outcome);
        admit_second(&mut world);
        world.run(8 * SECOND);
        assert!(running(&world, 1) >= usize::from(TASKS), "the others run");
        world.run(limit - 8 * SECOND);
        assert_sound(&world);
        assert_eq!(running(&world, 1), usize::from(TASKS) + 1, "the tasks run");
    }
}

/// Guards against a task that runs twice because its start, which was given up before the worker was
/// started again, is carried out seconds later by the new life, which has not answered yet: the task
/// was started elsewhere once the leases known to the owner had passed.
#[test]
fn given_up_order() {
    for delay in [0, 2, 5, 8, 11] {
        for is_owner_new in [false, true] {
            let mut world = world();
            let (order, fence) = unanswered_start(&mut world);
            world.workers[0].is_reachable = false;
            world.run(SECOND / 2);
            world.restart(0);
            world.list_workers();
            admit_second(&mut world);
            world.run(delay * SECOND);
            world.late_start(0, fence, &order);
            world.run(SECOND);
            if is_owner_new {
                world.take_over();
            }
            world.run((18 - delay) * SECOND);
            assert_sound(&world);
            assert_eq!(running(&world, 1), usize::from(TASKS) + 1, "the tasks run");
        }
    }
}

/// Guards against a task that waits for the latest end of a late start although the new life of the
/// worker has answered, which shows that the start was not carried out.
#[test]
fn answered_restart() {
    let mut world = world();
    unanswered_start(&mut world);
    restart(&mut world, true);
    world.run(SECOND);
    assert_sound(&world);
    assert_eq!(
        running(&world, 0) + running(&world, 1),
        usize::from(TASKS) + 1
    );
}

/// Guards against a start that the new life of a worker carries out after the task was started
/// elsewhere: only the former life knew that it had been stopped.
#[test]
fn late_start() {
    for settle in [0, 2 * SECOND] {
        let mut world = world();
        let (order, fence) = unanswered_start(&mut world);
        world.run(settle);
        restart(&mut world, true);
        world.run(SECOND);
        let starts = world.starts;
        world.late_start(0, fence, &order);
        world.run(SECOND);
        assert_sound(&world);
        assert_eq!(world.starts, starts);
    }
}

/// Guards against a start that the new life of a worker has carried out before it answered, and that
/// is not counted or is started a second time.
#[test]
fn early_start() {
    let mut world = world();
    let (order, fence) = unanswered_start(&mut world);
    world.restart(0);
    world.late_start(0, fence, &order);
    let starts = world.starts;
    world.list_workers();
    world.run(2 * SECOND);
    assert_sound(&world);
    assert_eq!(world.starts, starts + usize::from(TASKS));
    assert_eq!(running(&world, 0), usize::from(TASKS) + 1);
}

/// Guards against ends that the new life of a worker forgets, because a call has acknowledged those
/// of its former life.
#[test]
fn late_acknowledgement() {
    let mut world = world();
    let fence = world.fence(0);
    world.restart(0);
    world.list_workers();
    world.run(2);
    let id = world.submit(2, job(vec![step(2, 1_000)]));
    world.run(2);
    world.workers[0].is_reachable = false;
    for _ in 0..2 * SECOND {
        world.round();
        world.late_hold(0, fence, 50);
    }
    world.workers[0].is_reachable = true;
    world.run(2 * SECOND);
    assert_eq!(world.phase(id), JobPhase::Finished);
    assert_sound(&world);
}

/// Guards against a worker that is of no use for long after its return, and against tasks that wait
/// for the longest lease although the worker has answered for long.
#[test]
fn prompt_return() {
    for is_listed_first in [true, false] {
        let mut world = world();
        restart(&mut world, is_listed_first);
        world.run(4 * SECOND);
        world.workers[0].is_reachable = false;
        world.run(5 * SECOND);
        assert_eq!(running(&world, 1), usize::from(TASKS), "after one lease");
        assert_sound(&world);
    }
}

/// Guards against a task that runs twice because the owner counts on an ordinary lease: its worker was
/// started again unnoticed, took the start for its former life, on another clock, and granted the
/// longest lease before it was cut off.
#[test]
fn unnoticed_restart() {
    for outcome in [StartOutcome::Started, StartOutcome::Unknown] {
        for (is_owner_new, transit) in [(false, 0), (true, 0), (false, ORDER_TIME)] {
            let mut world = world();
            let (order, fence) = order_start(&mut world);
            grant_lease(&mut world);
            world.workers[0].outdated_entry = Some(world.workers[0].report.clone());
            world.workers[0].is_hanging = true;
            world.restart(0);
            world.run(transit);
            world.late_start(0, fence, &order);
            world.workers[0].is_hanging = false;
            answer(&mut world, &order, outcome);
            world.workers[0].is_reachable = false;
            admit_second(&mut world);
            if is_owner_new {
                world.run(SECOND);
                world.take_over();
            }
            world.run(8 * SECOND);
            assert_sound(&world);
            assert_eq!(running(&world, 1), usize::from(TASKS) + 1, "the tasks run");
        }
    }
}

/// Guards against a task that runs twice because its start, which the previous owner sent just before
/// the takeover, reaches a worker that has been started again and has not answered the new owner.
#[test]
fn call_beside_takeover() {
    let mut world = world();
    let (order, fence) = order_start(&mut world);
    world.workers[0].outdated_entry = Some(world.workers[0].report.clone());
    world.workers[0].is_reachable = false;
    world.restart(0);
    world.take_over();
    admit_second(&mut world);
    world.run(ORDER_TIME);
    world.late_start(0, fence, &order);
    world.run(8 * SECOND);
    assert_sound(&world);
    assert_eq!(running(&world, 1), usize::from(TASKS) + 1, "the tasks run");
}

/// Extends the lease of the first worker, as the owner does with each start and hold call.
fn grant_lease(world: &mut JobWorld) {
    let key = world.workers[0].key.unwrap();
    world
        .dispatcher
        .note_extension(key, LEASE, Duration::ZERO, at(world.now));
}

/// Guards against tasks that run twice when workers are started again and cut off in series, at any
/// moment between two answers, and the list shows the restarts only afterwards.
#[test]
fn unnoticed_series() {
    for seed in 0..24 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut world = JobWorld::new(3, seed);
        for number in 0..8 {
            let mut spec = step(1, 1_000);
            spec.is_lasting = true;
            let index = random.random_range(0..3);
            let entry = world.workers[index].report.clone();
            world.workers[index].outdated_entry = Some(entry);
            world.workers[index].is_hanging = true;
            world.restart(index);
            world.run(random.random_range(0..10));
            world.submit(number, job(vec![spec]));
            world.run(random.random_range(0..10));
            world.workers[index].is_hanging = false;
            world.workers[index].is_reachable = false;
            if random.random_bool(0.2) {
                world.take_over();
            }
            world.run(random.random_range(4 * SECOND..8 * SECOND));
            world.workers[index].is_reachable = true;
            world.workers[index].outdated_entry = None;
            world.list_workers();
            world.run(2 * SECOND);
        }
        let violations = &world.violations;
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
    }
}
