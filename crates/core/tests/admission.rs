//! Admission of jobs: sizes, queue bounds, deadlines, keys and wait estimates.

mod scheduling;

use std::time::Duration;

use assert_matches::assert_matches;
use scheduling::{at, dispatches, drain, fleet, job, scheduler};
use sesamedeal_core::code::ResultCode;
use sesamedeal_core::ids::{KeyId, TeamName};
use sesamedeal_core::scheduler::{AttemptOutcome, JobScheduler, JobSpec, SchedulerAction};

/// Returns a scheduler with one worker whose 8 slots are all used by team `one`.
fn full() -> JobScheduler {
    let mut scheduler = scheduler(&fleet(1, &[("one", 1, 100), ("two", 1, 100)], 1));
    for _ in 0..8 {
        scheduler.submit(job("one", at(0)), at(0)).unwrap();
    }
    assert_eq!(dispatches(&mut scheduler, at(0)).len(), 8);
    scheduler
}

/// Guards against queueing a job that is too large for any worker.
#[test]
fn oversized_job() {
    let mut scheduler = full();
    let spec = JobSpec {
        cores: 33,
        ..job("one", at(0))
    };
    let refusal = scheduler.submit(spec, at(0)).unwrap_err();
    assert_eq!(refusal.code, ResultCode::NeverFits);
}

/// Guards against an unbounded queue and a rejection without a retry delay.
#[test]
fn full_queue() {
    let mut scheduler = full();
    for _ in 0..1_000 {
        let mut spec = job("one", at(0));
        spec.deadline = at(3_600_000);
        scheduler.submit(spec, at(0)).unwrap();
    }
    let spec = JobSpec {
        deadline: at(3_600_000),
        ..job("one", at(0))
    };
    let refusal = scheduler.submit(spec, at(0)).unwrap_err();
    assert_eq!(refusal.code, ResultCode::QueueFull);
    assert_matches!(refusal.retry_after, Some(delay) if delay >= Duration::from_millis(500));
    assert!(scheduler.submit(job("two", at(0)), at(0)).is_ok());
}

/// Guards against a queued job without an answer at its deadline.
#[test]
fn passed_deadline() {
    let mut scheduler = full();
    let key = scheduler.submit(job("one", at(0)), at(0)).unwrap();
    assert!(scheduler.next_wake().unwrap() <= at(30_000));
    let actions = drain(&mut scheduler, at(30_000));
    let refused = actions.iter().any(|action| {
        matches!(action, SchedulerAction::Refuse { job, refusal }
            if *job == key && refusal.code == ResultCode::DeadlinePassed)
    });
    assert!(refused);
}

/// Guards against queueing a job that, at the observed service rate, cannot start before its
/// deadline.
#[test]
fn excessive_wait() {
    let mut scheduler = full();
    let mut now = 0;
    let mut running = Vec::new();
    for _ in 0..40 {
        scheduler.submit(job("one", at(now)), at(now)).unwrap();
    }
    running.extend(dispatches(&mut scheduler, at(now)));
    // The service rate is one job per second.
    for _ in 0..16 {
        now += 1_000;
        let mut first = finish_one(&mut scheduler, &mut running, now);
        running.append(&mut first);
    }
    let refusal = scheduler.submit(job("one", at(now)), at(now));
    let soon = JobSpec {
        deadline: at(now + 5_000),
        ..job("one", at(now))
    };
    let refusal = refusal
        .and_then(|_| scheduler.submit(soon, at(now)))
        .unwrap_err();
    assert_eq!(refusal.code, ResultCode::WaitTooLong);
    assert_matches!(refusal.retry_after, Some(delay) if delay > Duration::from_secs(5));
}

/// Finishes one running attempt and returns the dispatches that follow.
fn finish_one(
    scheduler: &mut JobScheduler,
    running: &mut Vec<sesamedeal_core::scheduler::DispatchOrder>,
    now: u64,
) -> Vec<sesamedeal_core::scheduler::DispatchOrder> {
    if let Some(order) = running.pop() {
        scheduler.finish(order.attempt, AttemptOutcome::Answered, at(now));
    }
    dispatches(scheduler, at(now))
}

/// Guards against rejections by a wait estimate from a backlog that ended long ago.
#[test]
fn stale_estimate() {
    let mut scheduler = scheduler(&fleet(1, &[("one", 1, 100)], 1));
    let mut running = Vec::new();
    for _ in 0..30 {
        scheduler.submit(job("one", at(0)), at(0)).unwrap();
    }
    running.extend(dispatches(&mut scheduler, at(0)));
    let mut now = 0;
    while !running.is_empty() {
        now += 900;
        let mut next = finish_one(&mut scheduler, &mut running, now);
        running.append(&mut next);
    }
    now += 60_000;
    for _ in 0..20 {
        let spec = JobSpec {
            deadline: at(now + 10_000),
            ..job("one", at(now))
        };
        assert!(scheduler.submit(spec, at(now)).is_ok());
        dispatches(&mut scheduler, at(now));
    }
}

/// Guards against an open queue that demands a key, and against queueing a job of a team whose
/// limit is zero.
#[test]
fn open_team_and_zero_limit() {
    let mut scheduler = scheduler(&fleet(1, &[("one", 1, 100), ("none", 1, 0)], 1));
    let open = JobSpec {
        key: None,
        team: TeamName::new("open"),
        ..job("one", at(0))
    };
    scheduler.submit(open, at(0)).unwrap();
    assert_eq!(dispatches(&mut scheduler, at(0)).len(), 1);
    let refusal = scheduler.submit(job("none", at(0)), at(0)).unwrap_err();
    assert_eq!(refusal.code, ResultCode::WaitTooLong);
}

/// Guards against jobs that are accepted with another team's key, with a withdrawn key or while
/// keyed work is forbidden because of stale state.
#[test]
fn unusable_keys() {
    let mut state = fleet(1, &[("one", 1, 1), ("two", 1, 100)], 1);
    let mut scheduler = scheduler(&state);
    let foreign = JobSpec {
        key: Some(KeyId::new("key-two")),
        ..job("one", at(0))
    };
    assert_eq!(
        scheduler.submit(foreign, at(0)).unwrap_err().code,
        ResultCode::WithdrawnKey
    );
    scheduler.submit(job("one", at(0)), at(0)).unwrap();
    assert_eq!(dispatches(&mut scheduler, at(0)).len(), 1);
    let queued = scheduler.submit(job("one", at(0)), at(0)).unwrap();
    state.generation = state.generation.next();
    state
        .keys
        .get_mut(&KeyId::new("key-one"))
        .unwrap()
        .withdrawn = true;
    scheduler.apply(&state, state.generation, at(1));
    assert_matches!(drain(&mut scheduler, at(1))[..], [SchedulerAction::Refuse { job, refusal }]
        if job == queued && refusal.code == ResultCode::WithdrawnKey);
    for _ in 0..9 {
        scheduler.submit(job("two", at(1)), at(1)).unwrap();
    }
    assert_eq!(dispatches(&mut scheduler, at(1)).len(), 7);
    scheduler.set_keyed_work_allowed(false, at(2));
    assert_matches!(drain(&mut scheduler, at(2))[..], [
        SchedulerAction::Refuse { refusal, .. },
        SchedulerAction::Refuse { .. },
    ] if refusal.code == ResultCode::StaleState);
    let refusal = scheduler.submit(job("two", at(2)), at(2)).unwrap_err();
    assert_eq!(refusal.code, ResultCode::StaleState);
}

/// Guards against queued jobs that get no answer at a shutdown.
#[test]
fn shutdown_answers() {
    let mut scheduler = full();
    let queued = scheduler.submit(job("one", at(0)), at(0)).unwrap();
    scheduler.shut_down(at(1));
    assert_matches!(drain(&mut scheduler, at(1))[..], [SchedulerAction::Refuse { job, refusal }]
        if job == queued && refusal.code == ResultCode::ShuttingDown);
    let refusal = scheduler.submit(job("one", at(1)), at(1)).unwrap_err();
    assert_eq!(refusal.code, ResultCode::ShuttingDown);
}

/// Guards against dispatching a job that cannot end before its deadline: it would be stopped there,
/// and its caller would get an unknown outcome.
#[test]
fn too_late_to_end() {
    let mut scheduler = scheduler(&fleet(1, &[("one", 1, 100)], 1));
    for _ in 0..8 {
        scheduler.submit(job("one", at(0)), at(0)).unwrap();
    }
    let orders = dispatches(&mut scheduler, at(0));
    let waiting = JobSpec {
        deadline: at(150),
        ..job("one", at(0))
    };
    let late = scheduler.submit(waiting, at(0)).unwrap();
    for order in orders {
        scheduler.finish(order.attempt, AttemptOutcome::Answered, at(100));
    }
    let actions = drain(&mut scheduler, at(100));
    assert_matches!(actions.as_slice(), [SchedulerAction::Refuse { job, refusal }]
        if *job == late && refusal.code == ResultCode::DeadlinePassed);
}
