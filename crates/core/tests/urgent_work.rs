//! Urgent jobs: order within the team and preemption of running tasks.

mod scheduling;

use assert_matches::assert_matches;
use scheduling::{at, dispatches, drain, fleet, job, scheduler};
use sesamedeal_core::code::ResultCode;
use sesamedeal_core::scheduler::{
    AttemptOutcome, DispatchOrder, FinishOutcome, JobScheduler, JobSpec, SchedulerAction,
};

fn full(idempotent: bool) -> (JobScheduler, Vec<DispatchOrder>) {
    let mut scheduler = scheduler(&fleet(1, &[("one", 1, 100), ("two", 1, 100)], 1));
    for _ in 0..8 {
        let spec = JobSpec {
            idempotent,
            ..job("two", at(0))
        };
        scheduler.submit(spec, at(0)).unwrap();
    }
    let orders = dispatches(&mut scheduler, at(0));
    (scheduler, orders)
}

fn urgent() -> JobSpec {
    JobSpec {
        urgent: true,
        ..job("one", at(0))
    }
}

/// Guards against urgent jobs that wait behind other jobs of the team.
#[test]
fn urgent_first() {
    let (mut scheduler, orders) = full(true);
    scheduler.submit(job("one", at(0)), at(0)).unwrap();
    let first = scheduler.submit(urgent(), at(0)).unwrap();
    scheduler.finish(orders[0].attempt, AttemptOutcome::Answered, at(10));
    let next = dispatches(&mut scheduler, at(10));
    assert_eq!(
        next.iter().map(|order| order.job).collect::<Vec<_>>(),
        [first]
    );
}

fn stopped(scheduler: &mut JobScheduler, now: u64) -> Vec<sesamedeal_core::scheduler::AttemptKey> {
    drain(scheduler, at(now))
        .into_iter()
        .filter_map(|action| match action {
            SchedulerAction::Stop { attempt, .. } => Some(attempt),
            _ => None,
        })
        .collect()
}

/// Guards against an urgent job that misses its start limit on a full pool, and against a preempted
/// job that is not run again.
#[test]
fn preempts_task() {
    let (mut scheduler, orders) = full(true);
    let first = scheduler.submit(urgent(), at(0)).unwrap();
    assert!(stopped(&mut scheduler, 3_600).is_empty());
    let stopped = stopped(&mut scheduler, 3_650);
    assert_eq!(stopped.len(), 1);
    let victim = orders
        .iter()
        .find(|order| order.attempt == stopped[0])
        .unwrap();
    let outcome = scheduler.finish(stopped[0], AttemptOutcome::Stopped, at(3_700));
    assert_eq!(outcome, FinishOutcome::Retry);
    assert_eq!(dispatches(&mut scheduler, at(3_700))[0].job, first);
    scheduler.finish(orders[1].attempt, AttemptOutcome::Answered, at(3_800));
    scheduler.finish(orders[2].attempt, AttemptOutcome::Answered, at(3_800));
    let next = dispatches(&mut scheduler, at(3_800));
    assert!(next.iter().any(|order| order.job == victim.job));
}

/// Guards against the preemption of non-idempotent tasks, which must not run twice.
#[test]
fn non_idempotent_kept() {
    let (mut scheduler, orders) = full(false);
    scheduler.submit(urgent(), at(0)).unwrap();
    assert!(stopped(&mut scheduler, 5_000).is_empty());
    let outcome = scheduler.finish(orders[0].attempt, AttemptOutcome::Stopped, at(5_000));
    assert_matches!(outcome, FinishOutcome::Refuse(refusal)
        if refusal.code == ResultCode::Stopped);
}

/// Guards against the preemption of a team at or below its share, of an older task of the chosen
/// team, or of an urgent task.
#[test]
fn furthest_above() {
    let teams = [("one", 1, 100), ("two", 1, 100), ("three", 2, 100)];
    let mut scheduler = scheduler(&fleet(1, &teams, 1));
    let mut started = Vec::new();
    // Of eight slots, team two holds five (share: two) and team three holds three (share: four).
    for (now, team) in ["two", "two", "three", "two", "three", "two", "three", "two"]
        .into_iter()
        .enumerate()
    {
        let now = 10 * now as u64;
        scheduler.submit(job(team, at(now)), at(now)).unwrap();
        started.extend(dispatches(&mut scheduler, at(now)));
    }
    assert_eq!(started.len(), 8);
    let first = scheduler.submit(urgent(), at(100)).unwrap();
    let newest_of_two = started[7].attempt;
    assert_eq!(stopped(&mut scheduler, 3_750), [newest_of_two]);
    let outcome = scheduler.finish(newest_of_two, AttemptOutcome::Stopped, at(3_800));
    assert_eq!(outcome, FinishOutcome::Retry);
    let next = dispatches(&mut scheduler, at(3_800));
    assert_eq!(
        next.iter().map(|order| order.job).collect::<Vec<_>>(),
        [first]
    );
    // The running urgent task is not preempted when the next urgent job needs a slot.
    scheduler.submit(urgent(), at(3_900)).unwrap();
    let second = stopped(&mut scheduler, 7_550);
    assert_eq!(second, [started[5].attempt]);
}
