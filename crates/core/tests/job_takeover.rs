//! Takeovers: which tasks a new owner starts, and when.

mod jobs;

use jobs::{JobWorld, at, job, rules, starts, step};
use sesamedeal_core::ids::PoolName;
use sesamedeal_core::jobs::{JobPhase, ResourceAmount, WorkerOrder};

fn long_running(count: u16) -> sesamedeal_core::jobs::StepSpec {
    let mut step = step(count, 500);
    step.is_lasting = true;
    step
}

/// Guards against a second run of a task that an unreachable worker may still run.
#[test]
fn unreachable_worker() {
    let mut world = JobWorld::new(2, 1);
    world.submit(1, job(vec![long_running(4)]));
    world.run(10);
    let unreachable = world.busy_worker();
    let tasks = world.workers[unreachable].tasks().len();
    world.workers[unreachable].is_reachable = false;
    world.take_over();
    world.run(80);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    assert_eq!(world.starts, 4, "started while a lease may last");
    world.run(80);
    assert_eq!(world.starts, 4 + tasks, "not started after the leases");
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Creates a world after a takeover in which a worker with running tasks is no longer listed.
/// Returns the worker and the number of its tasks too.
fn unlisted_world() -> (JobWorld, usize, usize) {
    let mut world = JobWorld::new(2, 1);
    world.submit(1, job(vec![long_running(4)]));
    world.run(10);
    let unlisted = world.busy_worker();
    let tasks = world.workers[unlisted].tasks().len();
    world.workers[unlisted].is_listed = false;
    world.take_over();
    (world, unlisted, tasks)
}

/// Guards against a second run of a task whose worker is no longer listed but still runs it:
/// entries of workers expire while the store is unavailable, and return some time after it.
#[test]
fn unlisted_worker() {
    let (mut world, unlisted, tasks) = unlisted_world();
    assert!(tasks > 0);
    world.run(40);
    assert_eq!(world.starts, 4, "started while it may run elsewhere");
    world.workers[unlisted].is_listed = true;
    world.list_workers();
    world.run(40);
    assert_eq!(
        world.starts, 4,
        "started although its worker is listed again"
    );
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against tasks that wait indefinitely for a worker that has been removed.
#[test]
fn removed_worker() {
    let (mut world, unlisted, tasks) = unlisted_world();
    world.workers.swap_remove(unlisted);
    world.run(5);
    assert_eq!(
        world.starts, 4,
        "started before the inventory shows that the worker is gone"
    );
    world.read_inventory();
    world.run(5);
    assert_eq!(world.starts, 4 + tasks, "waits for a removed worker");
}

/// Guards against starts, before the inventory is known, of tasks that a previous owner may have
/// started.
#[test]
fn unknown_inventory() {
    let mut world = JobWorld::new(1, 1);
    world.submit(1, job(vec![long_running(2)]));
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

/// Guards against a task that waits for the leases of other workers although this owner has seen it
/// run and stopped it: after the ownership expired, such a task waited 12 s.
#[test]
fn stopped_by_owner() {
    let mut world = JobWorld::new(3, 1);
    world.submit(1, job(vec![long_running(2)]));
    world.run(10);
    let busy = world.busy_worker();
    let unreachable = (busy + 1) % 3;
    assert!(world.workers[unreachable].tasks().is_empty());
    world.workers[unreachable].is_reachable = false;
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
    assert_eq!(running, 2, "stopped tasks wait for an unreachable worker");
}

/// Guards against starts on a worker with runs of unknown resource use: a new owner started tasks
/// beside runs of jobs that it had not loaded yet.
#[test]
fn unknown_runs() {
    let mut world = JobWorld::new(1, 1);
    world.submit(1, job(vec![long_running(2)]));
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

/// Guards against reuse of run numbers of a previous owner.
#[test]
fn run_numbers() {
    let mut world = JobWorld::new(1, 1);
    world.submit(1, job(vec![long_running(1)]));
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

/// Guards against tasks that wait 10 s after a takeover for an unreachable worker that cannot run
/// them: the previous owner had published which tasks may run there.
#[test]
fn published_tasks() {
    let mut world = JobWorld::new(3, 1);
    world.submit(1, job(vec![long_running(2)]));
    world.run(10);
    let unreachable = world.busy_worker();
    let tasks = world.workers[unreachable].tasks().len();
    world.workers[unreachable].is_reachable = false;
    world.run(20);
    let id = world.submit(2, job(vec![step(2, 1_000)]));
    world.take_over();
    world.run(40);
    assert_eq!(
        world.phase(id),
        JobPhase::Finished,
        "waits for an unreachable worker"
    );
    assert_eq!(world.starts, 2 + 2, "{tasks} tasks may still run");
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against tasks of a lost worker that never restart while takeovers follow one another:
/// each new owner waited for a full lease, although no owner extends the lease of an unreachable
/// worker.
#[test]
fn published_lease() {
    let mut world = JobWorld::new(3, 1);
    world.submit(1, job(vec![long_running(2)]));
    world.run(10);
    let unreachable = world.busy_worker();
    let tasks = world.workers[unreachable].tasks().len();
    world.workers[unreachable].is_reachable = false;
    for _ in 0..3 {
        world.run(30);
        world.take_over();
    }
    // The lease takes 4.9 s, and each of the inherited publications adds half a second.
    world.run(38);
    assert_eq!(world.starts, 2 + tasks, "not started 6.4 s after the loss");
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against tasks that run twice after two takeovers in quick succession: the second owner
/// started tasks on a worker that the stored publication still showed as unreachable, so the third
/// owner considered the leases of that worker expired.
#[test]
fn stale_publication() {
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

/// Guards against stopping two tasks of a step at once: a stop that the previous owner had sent was
/// still in flight, so its task was listed as available.
#[test]
fn takeover_pause() {
    let mut world = JobWorld::new(3, 1);
    let mut step = long_running(3);
    step.disruption_budget = Some(1);
    world.submit(1, job(vec![step]));
    world.run(10);
    let busy = world.busy_worker();
    let tasks = world.workers[busy].tasks().len();
    world.take_over();
    let name = world.workers[busy].report.name.clone();
    world.dispatcher.set_evacuating(&name, true);
    world.run(30);
    assert_eq!(world.workers[busy].tasks().len(), tasks, "stopped too soon");
    world.run(60);
    assert!(world.workers[busy].tasks().is_empty());
}

/// Guards against a second start of tasks whose queue has moved to another pool, while they run on a
/// worker of the old one that the previous owner could not reach.
#[test]
fn moved_queue() {
    let mut world = JobWorld::new(2, 1);
    world.workers[0].report.pool = PoolName::new("other");
    world.list_workers();
    world.submit(1, job(vec![long_running(2)]));
    world.run(10);
    assert_eq!(world.workers[1].tasks().len(), 2);
    world.workers[1].is_reachable = false;
    world.run(30);
    world.move_queue("other");
    world.take_over();
    world.run(20);
    assert_eq!(world.starts, 2, "started while the lease may last");
    world.run(120);
    assert_eq!(world.starts, 4, "not started after the lease");
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against the same if the previous owner has published nothing about the worker, and against tasks
/// of another pool that wait for it.
#[test]
fn moved_unpublished() {
    let mut world = JobWorld::new(2, 1);
    world.workers[0].report.pool = PoolName::new("other");
    world.list_workers();
    let mut order = job(vec![long_running(2)]);
    order.rules = rules(ResourceAmount::default()).order_rules(&order.queue, order.team.as_ref());
    world.submit(1, order);
    world.run(10);
    assert_eq!(world.workers[1].tasks().len(), 2);
    world.workers[1].is_reachable = false;
    world.move_queue("other");
    let mut order = job(vec![long_running(2)]);
    order.rules = rules(ResourceAmount::default()).order_rules(&order.queue, order.team.as_ref());
    order.rules.as_mut().unwrap().queue.pool = PoolName::new("other");
    world.submit(2, order);
    world.take_over();
    world.run(20);
    assert_eq!(
        world.starts, 4,
        "started while the lease may last, or waits"
    );
    world.run(140);
    assert_eq!(world.starts, 6, "not started after the lease");
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}
