//! The order in which waiting jobs are placed, and the choice of a worker.
//!
//! Load pattern: in a surge, more work arrives than the pool can hold.

mod jobs;

use std::time::Duration;

use jobs::{JobWorld, job, step};
use sesamedeal_core::jobs::{
    PriorityKey, ResourceAmount, UrgencyClass, WorkerOffer, choose_worker, pace_percent,
};

fn key(age: u64, remaining: u64) -> PriorityKey {
    let millis = Duration::from_millis;
    PriorityKey::new(false, 0, millis(age), millis(remaining), millis(2_000))
}

/// Guards against placing jobs that are already too late before jobs that can still meet their
/// objective.
#[test]
fn urgency_order() {
    let (in_time, late, too_late) = (key(500, 1_000), key(3_000, 1_000), key(9_000, 1_000));
    assert_eq!(in_time.class, UrgencyClass::InTime);
    assert_eq!(late.class, UrgencyClass::Late);
    assert_eq!(too_late.class, UrgencyClass::TooLate);
    assert!(in_time < late && late < too_late);
    assert!(
        key(900, 1_000) < in_time,
        "the earliest objective comes first"
    );
    assert!(too_late.with_long_running() < in_time);
}

/// Guards against long-running tasks that starve in a pool full of short tasks.
#[test]
fn long_running_placed() {
    let mut world = JobWorld::new(2, 1);
    for number in 0..30 {
        world.submit(number, job(vec![step(8, 2_000)]));
    }
    world.run(10);
    let mut long_running = step(1, 7_000);
    long_running.is_lasting = true;
    world.submit(99, job(vec![long_running]));
    world.run(60);
    let mut tasks = world.workers.iter().flat_map(|worker| worker.tasks());
    assert!(tasks.any(|task| task.step.job.0 == 99), "no room in 3 s");
}

fn offer(key: u32, free: u64) -> WorkerOffer<u32> {
    let amount = |cpu_millis| ResourceAmount {
        cpu_millis,
        memory_mb: cpu_millis,
        accelerators: 0,
    };
    WorkerOffer {
        key,
        room: amount(free),
        capacity: amount(32_000),
        is_near: false,
        is_on_trial: false,
        is_cold: false,
        is_maintenance_due: false,
    }
}

fn choose(cpu_millis: u64, is_long_running: bool, offers: &[WorkerOffer<u32>]) -> Option<u32> {
    let amount = ResourceAmount {
        cpu_millis,
        ..ResourceAmount::default()
    };
    choose_worker(amount, is_long_running, offers.iter().copied())
}

/// Guards against fragmented capacity that has no room for the next large task, and against small
/// tasks on every worker of a pool after a surge, which keep all instances from leaving.
#[test]
fn tasks_packed() {
    let offers = [offer(1, 30_000), offer(2, 12_000), offer(3, 4_000)];
    assert_eq!(choose(10_000, false, &offers), Some(2));
    assert_eq!(choose(1_000, false, &offers), Some(3));
    assert_eq!(choose(40_000, false, &offers), None);
}

/// Guards against long-running tasks spread over all workers, which keep all instances from moving
/// to another pool.
#[test]
fn long_running_packed() {
    let offers = [offer(1, 30_000), offer(2, 12_000), offer(3, 4_000)];
    assert_eq!(choose(1_000, true, &offers), Some(3));
}

/// Guards against placing new tasks on a worker that has just failed several.
#[test]
fn trial_last() {
    let mut on_trial = offer(1, 30_000);
    on_trial.is_on_trial = true;
    assert_eq!(choose(1_000, false, &[on_trial, offer(2, 3_000)]), Some(2));
}

/// Guards against fillers that slow down serving tasks, and against an oscillating pace.
#[test]
fn filler_pace() {
    assert_eq!(pace_percent(100, 0.9), 50);
    assert_eq!(pace_percent(50, 1.2), 0);
    assert_eq!(pace_percent(50, 0.7), 50);
    assert_eq!(pace_percent(95, 0.1), 100);
}
