//! Evacuations and the disruption budget of a step.
//!
//! Load pattern: a rack fails while instances are evacuated for maintenance.

mod jobs;

use jobs::{JobWorld, job, step};
use sesamedeal_core::ids::InstanceName;
use sesamedeal_core::jobs::next_candidate;

/// Number of rounds of 50 ms until the tasks are available and the pause after a takeover is over.
const SETTLE_ROUNDS: usize = 60;

/// Creates a world with a job of three long-running tasks on three workers and a disruption budget
/// of one task. The other workers are idle.
fn spread_world(workers: usize) -> JobWorld {
    let mut world = JobWorld::new(workers, 1);
    let mut long_running = step(3, 500);
    long_running.is_lasting = true;
    long_running.max_per_worker = Some(1);
    long_running.disruption_budget = Some(1);
    world.submit(1, job(vec![long_running]));
    world.run(SETTLE_ROUNDS);
    world
}

/// Returns the indexes of the workers that run a task.
fn busy_workers(world: &JobWorld) -> Vec<usize> {
    let workers = world.workers.iter().enumerate();
    let busy = workers.filter(|(_, worker)| !worker.tasks().is_empty());
    busy.map(|(index, _)| index).collect()
}

fn evacuate(world: &mut JobWorld, worker: usize) {
    let name: InstanceName = world.workers[worker].report.name.clone();
    world.dispatcher.set_evacuating(&name, true);
}

/// Guards against budget tests that pass because no task is ever relocated.
#[test]
fn task_relocated() {
    let mut world = spread_world(4);
    let busy = busy_workers(&world);
    evacuate(&mut world, busy[1]);
    world.run(40);
    assert!(world.workers[busy[1]].tasks().is_empty(), "not relocated");
    assert_eq!(busy_workers(&world).len(), 3);
}

/// Guards against stopping a task while another task of its step is on an unreachable worker: until
/// the lease expired, the other task was counted as available.
#[test]
fn unreachable_worker() {
    let mut world = spread_world(4);
    let busy = busy_workers(&world);
    world.workers[busy[0]].is_reachable = false;
    world.run(2);
    evacuate(&mut world, busy[1]);
    world.run(90);
    assert!(
        !world.workers[busy[1]].tasks().is_empty(),
        "stopped while another task may be lost"
    );
}

/// Guards against stopping a task while another task of its step is on a lost worker, before the
/// call to that worker has failed.
#[test]
fn unanswered_call() {
    let mut world = spread_world(4);
    let busy = busy_workers(&world);
    world.workers[busy[0]].is_hanging = true;
    world.run(24);
    evacuate(&mut world, busy[1]);
    world.run(10);
    assert!(
        !world.workers[busy[1]].tasks().is_empty(),
        "stopped on the basis of a list that is 1.2 s old"
    );
}

/// Guards against a maintenance wave that is late because long-running tasks leave its instances
/// only when these are evacuated. The tasks are to move earlier, one at a time, to instances
/// outside the wave, while the instances of the wave still accept batch tasks.
#[test]
fn early_relocation() {
    let mut world = spread_world(6);
    let due = busy_workers(&world);
    assert_eq!(due.len(), 3);
    for &worker in &due {
        let name = world.workers[worker].report.name.clone();
        world.dispatcher.set_maintenance_due(&name, true);
    }
    for _ in 0..200 {
        world.run(1);
        assert!(busy_workers(&world).len() >= 2, "two tasks were stopped");
    }
    assert!(
        busy_workers(&world)
            .iter()
            .all(|worker| !due.contains(worker))
    );
    let mut batch = step(48, 1_000);
    batch.estimate = std::time::Duration::from_millis(500);
    world.submit(2, job(vec![batch]));
    world.run(2);
    assert!(
        due.iter()
            .all(|&worker| !world.workers[worker].tasks().is_empty())
    );
}

/// Guards against a long-running task that no worker accepts: all three workers of a pool were
/// evacuated for maintenance at once, so a stopped task did not restart for 11 s.
#[test]
fn last_worker_stays() {
    let mut world = JobWorld::new(3, 1);
    let mut long_running = step(1, 500);
    long_running.is_lasting = true;
    long_running.disruption_budget = Some(1);
    world.submit(1, job(vec![long_running]));
    world.run(SETTLE_ROUNDS);
    let mut evacuating = Vec::new();
    for worker in 0..3 {
        let name = world.workers[worker].report.name.clone();
        let candidate =
            world
                .dispatcher
                .maintenance_candidate(&name, name.clone(), jobs::at(world.now));
        let candidates: Vec<_> = candidate.into_iter().collect();
        if next_candidate(3, 0, &candidates, |_| true).is_some() {
            world.dispatcher.set_evacuating(&name, true);
            evacuating.push(worker);
        }
    }
    assert_eq!(evacuating.len(), 2);
    world.run(60);
    let busy = busy_workers(&world);
    assert_eq!(busy.len(), 1, "not restarted within 3 s");
    assert!(!evacuating.contains(&busy[0]));
}

/// Guards against a maintenance wave that never ends because a pool has only one worker.
#[test]
fn single_worker() {
    let mut world = JobWorld::new(1, 1);
    world.run(2);
    let name = world.workers[0].report.name.clone();
    let candidate =
        world
            .dispatcher
            .maintenance_candidate(&name, name.clone(), jobs::at(world.now));
    assert!(next_candidate(1, 0, &[candidate.unwrap()], |_| true).is_some());
}

/// Guards against waves that end nowhere: two of three workers of a pool were evacuated at once, the
/// task that was stopped first had no room on the third one, and the disruption budget of its step
/// kept the others from being stopped. Each worker is emptied in its turn.
#[test]
fn workers_in_turn() {
    let mut world = JobWorld::new(3, 1);
    let mut long_running = step(5, 500);
    long_running.is_lasting = true;
    long_running.disruption_budget = Some(1);
    long_running.max_per_worker = Some(2);
    world.submit(1, job(vec![long_running]));
    world.run(SETTLE_ROUNDS);
    let mut open = vec![0, 1, 2];
    while !open.is_empty() {
        let mut evacuating = Vec::new();
        for &worker in &open {
            let name = world.workers[worker].report.name.clone();
            let now = jobs::at(world.now);
            let candidate = world
                .dispatcher
                .maintenance_candidate(&name, name.clone(), now);
            let candidates: Vec<_> = candidate.into_iter().collect();
            let waiting = world.dispatcher.waiting_long_running(now);
            let may_leave = |_: &_| world.dispatcher.can_spare(&name, &waiting, now);
            if next_candidate(3, 0, &candidates, may_leave).is_some() {
                world.dispatcher.set_evacuating(&name, true);
                evacuating.push(worker);
            }
        }
        assert_eq!(evacuating.len(), 1, "at {} ms", world.now);
        let worker = evacuating[0];
        world.run(80);
        assert!(world.workers[worker].tasks().is_empty(), "not emptied");
        // The maintenance ends.
        let name = world.workers[worker].report.name.clone();
        world.restart(worker);
        world.list_workers();
        world.dispatcher.set_evacuating(&name, false);
        world.run(60);
        let running: usize = world
            .workers
            .iter()
            .map(|worker| worker.tasks().len())
            .sum();
        assert_eq!(running, 5, "not at work within 3 s");
        open.retain(|open| *open != worker);
    }
}

/// Guards against a task that is stopped again and again: its worker waits for maintenance, and no
/// other one has room for it, so that it starts there again.
#[test]
fn no_target() {
    let mut world = spread_world(3);
    let name = world.workers[0].report.name.clone();
    world.dispatcher.set_maintenance_due(&name, true);
    world.run(100);
    assert_eq!(world.starts, 3, "stopped without room elsewhere");
    evacuate(&mut world, 0);
    world.run(20);
    assert!(world.workers[0].tasks().is_empty(), "not emptied");
}
