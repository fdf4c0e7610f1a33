//! Planned actions and the disruption budget of a step.
//!
//! Load pattern: a rack is lost while instances are emptied for maintenance.

mod jobs;

use jobs::{JobWorld, job, step};
use sesamedeal_core::ids::InstanceName;
use sesamedeal_core::jobs::next_candidate;

/// Rounds of 50 ms until the tasks are at work and the quiet time after the takeover has passed.
const SETTLED: usize = 60;

/// A job of three lasting tasks, one a worker, of which planned actions may take out one. The other
/// workers are free.
fn spread_world(workers: usize) -> JobWorld {
    let mut world = JobWorld::new(workers, 1);
    let mut lasting = step(3, 500);
    lasting.is_lasting = true;
    lasting.max_per_worker = Some(1);
    lasting.disruption_budget = Some(1);
    world.submit(1, job(vec![lasting]));
    world.run(SETTLED);
    world
}

/// Workers with a task.
fn busy_workers(world: &JobWorld) -> Vec<usize> {
    let workers = world.workers.iter().enumerate();
    let busy = workers.filter(|(_, worker)| !worker.tasks().is_empty());
    busy.map(|(index, _)| index).collect()
}

fn evacuate(world: &mut JobWorld, worker: usize) {
    let name: InstanceName = world.workers[worker].report.name.clone();
    world.dispatcher.set_evacuating(&name, true);
}

/// Guards against a check that passes because nothing is ever moved.
#[test]
fn budget_used() {
    let mut world = spread_world(4);
    let busy = busy_workers(&world);
    evacuate(&mut world, busy[1]);
    world.run(40);
    assert!(world.workers[busy[1]].tasks().is_empty(), "not moved");
    assert_eq!(busy_workers(&world).len(), 3);
}

/// Guards against a task that is taken out while another of its step is on a worker that does not
/// answer: until the lease passes, its run was counted as at work.
#[test]
fn silent_worker() {
    let mut world = spread_world(4);
    let busy = busy_workers(&world);
    world.workers[busy[0]].is_reachable = false;
    world.run(2);
    evacuate(&mut world, busy[1]);
    world.run(90);
    assert!(
        !world.workers[busy[1]].tasks().is_empty(),
        "taken out while another task may be gone"
    );
}

/// Guards against the same before the call to the lost worker has failed.
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
        "taken out on a list that is 1.2 s old"
    );
}

/// Guards against a wave that is late because tasks that last leave its instances only when the
/// instances are emptied: they leave before, one at a time, to instances outside the wave, and the
/// instances still take other tasks meanwhile.
#[test]
fn due_workers() {
    let mut world = spread_world(6);
    let due = busy_workers(&world);
    assert_eq!(due.len(), 3);
    for &worker in &due {
        let name = world.workers[worker].report.name.clone();
        world.dispatcher.set_maintenance_due(&name, true);
    }
    for _ in 0..200 {
        world.run(1);
        assert!(busy_workers(&world).len() >= 2, "two were taken out");
    }
    assert!(
        busy_workers(&world)
            .iter()
            .all(|worker| !due.contains(worker))
    );
    let mut short = step(48, 1_000);
    short.estimate = std::time::Duration::from_millis(500);
    world.submit(2, job(vec![short]));
    world.run(2);
    assert!(
        due.iter()
            .all(|&worker| !world.workers[worker].tasks().is_empty())
    );
}

/// Guards against a lasting task without a place: all workers of a pool of three were emptied for
/// maintenance at once, so that a task that had been stopped found none for 11 s.
#[test]
fn last_worker_stays() {
    let mut world = JobWorld::new(3, 1);
    let mut lasting = step(1, 500);
    lasting.is_lasting = true;
    lasting.disruption_budget = Some(1);
    world.submit(1, job(vec![lasting]));
    world.run(SETTLED);
    let mut emptied = Vec::new();
    for worker in 0..3 {
        let name = world.workers[worker].report.name.clone();
        let choice =
            world
                .dispatcher
                .maintenance_candidate(&name, name.clone(), jobs::at(world.now));
        let choices: Vec<_> = choice.into_iter().collect();
        if next_candidate(3, 0, &choices).is_some() {
            world.dispatcher.set_evacuating(&name, true);
            emptied.push(worker);
        }
    }
    assert_eq!(emptied.len(), 2);
    world.run(60);
    let busy = busy_workers(&world);
    assert_eq!(busy.len(), 1, "no place within 3 s");
    assert!(!emptied.contains(&busy[0]));
}

/// Guards against a wave that never ends because a pool has a single worker.
#[test]
fn single_worker() {
    let mut world = JobWorld::new(1, 1);
    world.run(2);
    let name = world.workers[0].report.name.clone();
    let choice = world
        .dispatcher
        .maintenance_candidate(&name, name.clone(), jobs::at(world.now));
    assert!(next_candidate(1, 0, &[choice.unwrap()]).is_some());
}
