//! Leases of workers, unanswered starts and the limits of teams.

mod jobs;

use std::time::Duration;

use compact_str::CompactString;
use jobs::{JobWorld, LEASE, WorldFaults, amount, at, job, rules, step};
use sesamedeal_core::jobs::{
    HoldReport, JobId, JobPhase, RunReport, StartOrder, StartOutcome, WorkerOrder,
};

/// Guards against tasks that are never restarted when their worker stops answering: the unanswered
/// calls kept extending the recorded lease.
#[test]
fn lost_worker() {
    let mut world = JobWorld::new(2, 1);
    let mut long_running = step(2, 500);
    long_running.is_lasting = true;
    world.submit(1, job(vec![long_running]));
    world.run(10);
    let lost = world.busy_worker();
    world.workers[lost].is_reachable = false;
    world.run(60);
    assert_eq!(world.starts, 2, "started while the lease may last");
    world.run(60);
    assert_eq!(world.starts, 4, "not started after the lease");
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against errors with runs that exist although their start had no answer.
#[test]
fn unanswered_start() {
    let faults = WorldFaults {
        lost_starts: 0.5,
        ..WorldFaults::default()
    };
    let mut world = JobWorld::new(2, 5).with_faults(faults);
    let id = world.submit(1, job(vec![step(8, 1_000)]));
    world.run(200);
    assert_eq!(world.phase(id), JobPhase::Finished);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against a team whose running tasks exceed its limit.
#[test]
fn team_limit() {
    let mut world = JobWorld::with_rules(4, 1, rules(amount(3_000, 0)));
    let id = world.submit(1, job(vec![step(12, 1_000)]));
    for _ in 0..120 {
        world.round();
        let running: usize = world
            .workers
            .iter()
            .map(|worker| worker.tasks().len())
            .sum();
        assert!(
            running <= 3,
            "{running} tasks of one core under a limit of three"
        );
    }
    assert_eq!(world.phase(id), JobPhase::Finished);
}

/// Answers a hold call of the only worker, which lists the runs of `orders`.
fn hold(world: &mut JobWorld, orders: &[StartOrder]) {
    world.now += 100;
    let running = orders.iter().map(|order| RunReport {
        task: order.task,
        run: order.run,
        saved: CompactString::default(),
        percent: 100.0,
        gauge: None,
    });
    let now = at(world.now);
    let worker = &world.workers[0];
    let report = HoldReport {
        sent: now,
        clock_ms: world.now,
        boot: worker.report.boot,
        running: running.collect(),
        ended: Vec::new(),
    };
    let key = worker.key.unwrap();
    world
        .dispatcher
        .note_extension(key, LEASE, Duration::ZERO, now);
    world.dispatcher.note_hold(key, &report, now);
}

/// Plans for 3 s, without any answer of the worker but its lists, and returns the number of stops.
fn count_stops(world: &mut JobWorld, orders: &[StartOrder]) -> usize {
    let rounds = (0..30).map(|_| {
        hold(world, orders);
        let planned = world.dispatcher.plan(at(world.now), world.now);
        let stops = planned.iter();
        stops
            .filter(|order| matches!(order, WorkerOrder::Stop(..)))
            .count()
    });
    rounds.sum()
}

/// A world whose only worker has not answered the start of a lasting task, and the order.
fn unanswered_world() -> (JobWorld, Vec<StartOrder>) {
    let mut world = JobWorld::new(1, 1);
    world.run(2);
    let mut spec = step(1, 1_000);
    spec.is_lasting = true;
    world.submit(1, job(vec![spec]));
    let now = at(world.now);
    let planned = world.dispatcher.plan(now, world.now);
    let starts = planned.into_iter().filter_map(|order| match order {
        WorkerOrder::Start(_, order) => Some(order),
        _ => None,
    });
    let starts: Vec<StartOrder> = starts.collect();
    let key = world.workers[0].key.unwrap();
    for order in &starts {
        let outcome = StartOutcome::Unknown;
        world
            .dispatcher
            .note_start(key, order.task, order.run, outcome, now);
    }
    assert_eq!(starts.len(), 1);
    assert!(count_stops(&mut world, &[]) > 0, "the start is not revoked");
    (world, starts)
}

/// Guards against a task that is stopped although it is at work: its start had no answer and was
/// carried out late, after the owner had ordered a stop as a precaution.
#[test]
fn late_start() {
    let (mut world, starts) = unanswered_world();
    assert_eq!(count_stops(&mut world, &starts), 0);
    assert_eq!(count_stops(&mut world, &starts), 0);
}

/// Guards against a late start of a cancelled job that goes on.
#[test]
fn cancelled_start() {
    let (mut world, starts) = unanswered_world();
    assert!(world.dispatcher.cancel_job(JobId(1)));
    assert!(count_stops(&mut world, &starts) > 0);
}

/// Guards against a task that is started again a moment before its worker ends it: the worker's clock
/// is 2% slow, also since it was read for the end of the lease.
#[test]
fn slow_clock() {
    let (mut world, starts) = unanswered_world();
    hold(&mut world, &starts);
    let key = world.workers[0].key.unwrap();
    let clock_age = Duration::from_secs(2);
    let granted = world.now;
    world
        .dispatcher
        .note_extension(key, LEASE, clock_age, at(granted));
    world.dispatcher.note_unresponsive(key);
    // 2 s and the lease of 4.8 s take 6.939 s on the worker's clock.
    for (time, lost) in [(4_938, 0), (4_940, 1)] {
        let now = granted + time;
        world.dispatcher.plan(at(now), now);
        assert_eq!(world.dispatcher.take_lost_runs().len(), lost, "{time} ms");
    }
}
