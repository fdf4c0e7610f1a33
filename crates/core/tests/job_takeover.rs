//! What a new owner may start, and when.

mod jobs;

use jobs::{JobWorld, at, job, step};
use sesamedeal_core::jobs::{JobDispatcher, JobPhase, WorkerOrder};

fn lasting(count: u16) -> sesamedeal_core::jobs::StepSpec {
    let mut step = step(count, 500);
    step.is_lasting = true;
    step
}

fn starts(dispatcher: &mut JobDispatcher, now: u64) -> usize {
    let orders = dispatcher.plan(at(now), now);
    let starts = orders.iter();
    starts
        .filter(|order| matches!(order, WorkerOrder::Start(..)))
        .count()
}

/// Guards against a second run of what a worker that cannot be reached may still run.
#[test]
fn silent_worker() {
    let mut world = JobWorld::new(2, 1);
    world.submit(1, job(vec![lasting(4)]));
    world.run(10);
    let silent = world.busy_worker();
    let tasks = world.workers[silent].tasks().len();
    world.workers[silent].is_reachable = false;
    world.take_over();
    world.run(80);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    assert_eq!(world.starts, 4, "started while a lease may last");
    world.run(80);
    assert_eq!(world.starts, 4 + tasks, "not started after the leases");
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// A world after a takeover in which the list has dropped a worker that runs tasks; returns the
/// worker and the number of its tasks.
fn dropped_world() -> (JobWorld, usize, usize) {
    let mut world = JobWorld::new(2, 1);
    world.submit(1, job(vec![lasting(4)]));
    world.run(10);
    let dropped = world.busy_worker();
    let tasks = world.workers[dropped].tasks().len();
    world.workers[dropped].is_listed = false;
    world.take_over();
    (world, dropped, tasks)
}

/// Guards against a second run of what a worker still runs that the list has dropped: entries of
/// workers lapse while the store is away, and come back some time after it.
#[test]
fn unlisted_worker() {
    let (mut world, dropped, tasks) = dropped_world();
    assert!(tasks > 0);
    world.run(40);
    assert_eq!(world.starts, 4, "started while it may run elsewhere");
    world.workers[dropped].is_listed = true;
    world.list_workers();
    world.run(40);
    assert_eq!(world.starts, 4, "started although its worker is back");
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against tasks that wait for ever for a worker that is gone for good.
#[test]
fn vanished_worker() {
    let (mut world, dropped, tasks) = dropped_world();
    world.workers.swap_remove(dropped);
    world.run(5);
    assert_eq!(
        world.starts, 4,
        "started before the inventory says it is gone"
    );
    world.read_inventory();
    world.run(5);
    assert_eq!(world.starts, 4 + tasks, "waits for a worker that is gone");
}

/// Guards against starts of what an earlier owner may have started before the inventory is known.
#[test]
fn unknown_instances() {
    let mut world = JobWorld::new(1, 1);
    world.submit(1, job(vec![lasting(2)]));
    world.run(10);
    let mut next = sesamedeal_core::jobs::JobDispatcher::new(
        sesamedeal_core::jobs::DispatchPolicy::default(),
        jobs::rules(jobs::amount(0, 0)),
        2,
        at(world.now),
    );
    let (id, (order, record)) = world.stored.first_key_value().unwrap();
    next.add_job(*id, order.clone(), record.clone(), true, at(world.now));
    let mut report = world.workers[0].report.clone();
    report.name = sesamedeal_core::ids::InstanceName::new("other");
    let (key, _) = next.set_worker(report, at(world.now));
    let empty = sesamedeal_core::jobs::HoldReport {
        sent: at(world.now),
        clock_ms: 0,
        boot: 1,
        running: Vec::new(),
        ended: Vec::new(),
    };
    next.note_hold(key, &empty, at(world.now));
    assert_eq!(starts(&mut next, world.now), 0);
    next.note_inventory(std::collections::HashMap::new());
    assert_eq!(starts(&mut next, world.now), 2);
}

/// Guards against a wait for other workers' leases of a task that this owner has seen running and
/// stopped itself: it waited 12 s after an expired ownership.
#[test]
fn seen_running() {
    let mut world = JobWorld::new(3, 1);
    world.submit(1, job(vec![lasting(2)]));
    world.run(10);
    let busy = world.busy_worker();
    let silent = (busy + 1) % 3;
    assert!(world.workers[silent].tasks().is_empty());
    world.workers[silent].is_reachable = false;
    world.take_over();
    world.run(2);
    let name = world.workers[busy].report.name.clone();
    world.dispatcher.set_evacuating(&name, true);
    world.run(10);
    assert!(world.workers[busy].tasks().is_empty());
    let running: usize = world
        .workers
        .iter()
        .map(|worker| worker.tasks().len())
        .sum();
    assert_eq!(running, 2, "stopped tasks wait for a silent worker");
}

/// Guards against starts on a worker that runs something of unknown size: a new owner started
/// tasks beside runs whose jobs it had not loaded yet.
#[test]
fn unknown_runs() {
    let mut world = JobWorld::new(1, 1);
    world.submit(1, job(vec![lasting(2)]));
    world.run(10);
    let stored = std::mem::take(&mut world.stored);
    world.take_over();
    world.stored = stored;
    world.submit(2, job(vec![step(1, 1_000)]));
    let now = world.now;
    assert_eq!(starts(&mut world.dispatcher, now), 0, "before any list");
    world.run(1);
    assert_eq!(world.starts, 2, "beside unknown runs");
    world.run(20);
    assert_eq!(
        world.phase(sesamedeal_core::jobs::JobId(2)),
        JobPhase::Finished
    );
}

/// Guards against run numbers that an earlier owner used.
#[test]
fn higher_runs() {
    let mut world = JobWorld::new(1, 1);
    world.submit(1, job(vec![lasting(1)]));
    world.run(10);
    world.take_over();
    world.workers[0].report.boot += 1;
    world.list_workers();
    let first: Vec<_> = world.dispatcher.plan(at(world.now), world.now);
    assert!(first.is_empty());
    let report = sesamedeal_core::jobs::HoldReport {
        sent: at(world.now),
        clock_ms: 0,
        boot: world.workers[0].report.boot,
        running: Vec::new(),
        ended: Vec::new(),
    };
    let key = world.workers[0].key.unwrap();
    world.dispatcher.note_hold(key, &report, at(world.now));
    let orders = world.dispatcher.plan(at(world.now), world.now);
    let runs: Vec<u64> = orders
        .iter()
        .filter_map(|order| match order {
            WorkerOrder::Start(_, order) => Some(order.run),
            _ => None,
        })
        .collect();
    assert_eq!(runs, [1_001]);
}

/// Guards against tasks that wait 10 s after a takeover because a worker is silent on which they
/// cannot be: the earlier owner had published what may run there.
#[test]
fn published_silence() {
    let mut world = JobWorld::new(3, 1);
    world.submit(1, job(vec![lasting(2)]));
    world.run(10);
    let silent = world.busy_worker();
    let held = world.workers[silent].tasks().len();
    world.workers[silent].is_reachable = false;
    world.run(20);
    let id = world.submit(2, job(vec![step(2, 1_000)]));
    world.take_over();
    world.run(40);
    assert_eq!(
        world.phase(id),
        JobPhase::Finished,
        "waits for a silent worker"
    );
    assert_eq!(world.starts, 2 + 2, "{held} tasks may still run");
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against tasks of a lost worker that wait for as long as owners follow one another: each
/// waited for a lease of its own time, although nobody extends the lease of a worker out of reach.
#[test]
fn published_lease() {
    let mut world = JobWorld::new(3, 1);
    world.submit(1, job(vec![lasting(2)]));
    world.run(10);
    let silent = world.busy_worker();
    let held = world.workers[silent].tasks().len();
    world.workers[silent].is_reachable = false;
    for _ in 0..3 {
        world.run(30);
        world.take_over();
    }
    // The lease of 4.9 s, and half a second for each publication that was taken over.
    world.run(38);
    assert_eq!(world.starts, 2 + held, "not started 6.4 s after the loss");
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against tasks that run twice after two takeovers in quick succession: the second owner
/// started tasks on a worker that the stored publication still showed as out of reach, so that the
/// third one took its leases there for passed.
#[test]
fn unpublished_worker() {
    let mut world = JobWorld::new(1, 1);
    world.run(2);
    world.workers[0].is_reachable = false;
    world.run(120);
    world.workers[0].is_reachable = true;
    while !world.now.is_multiple_of(500) {
        world.run(1);
    }
    world.workers[0].is_reachable = false;
    world.run(10);
    world.workers[0].is_reachable = true;
    world.take_over();
    world.submit(1, job(vec![step(1, 1_000)]));
    world.run(4);
    assert_eq!(world.starts, 0, "started before the publication was stored");
    world.run(10);
    assert_eq!(world.starts, 1);
}

/// Guards against two tasks of a step taken out at once: a stop of the earlier owner was still
/// under way, so that its task was listed as at work.
#[test]
fn quiet_takeover() {
    let mut world = JobWorld::new(3, 1);
    let mut step = lasting(3);
    step.disruption_budget = Some(1);
    world.submit(1, job(vec![step]));
    world.run(10);
    let busy = world.busy_worker();
    let tasks = world.workers[busy].tasks().len();
    world.take_over();
    let name = world.workers[busy].report.name.clone();
    world.dispatcher.set_evacuating(&name, true);
    world.run(30);
    assert_eq!(
        world.workers[busy].tasks().len(),
        tasks,
        "taken out too soon"
    );
    world.run(60);
    assert!(world.workers[busy].tasks().is_empty());
}
