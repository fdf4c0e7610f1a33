//! Retries, counted failures, quarantine and leaving workers.

mod scheduling;

use assert_matches::assert_matches;
use scheduling::{at, dispatches, fleet, job, scheduler};
use sesamedeal_core::code::ResultCode;
use sesamedeal_core::fleet::InstanceState;
use sesamedeal_core::ids::{InstanceName, PoolName};
use sesamedeal_core::retry::{RetryBudget, RetryReason};
use sesamedeal_core::scheduler::{
    AttemptOutcome, DispatchOrder, FinishOutcome, JobScheduler, JobSpec,
};

fn start(workers: usize) -> JobScheduler {
    scheduler(&fleet(workers, &[("one", 1, 100)], 1))
}

fn run(scheduler: &mut JobScheduler, spec: JobSpec, now: u64) -> DispatchOrder {
    scheduler.submit(spec, at(now)).unwrap();
    dispatches(scheduler, at(now)).remove(0)
}

/// Guards against retries that multiply the load.
#[test]
fn budget_bound() {
    let mut budget = RetryBudget::new();
    for _ in 0..100 {
        budget.add_request();
    }
    let spent = (0..100).filter(|_| budget.spend(RetryReason::Lost)).count();
    assert_eq!(spent, 20);
    assert_eq!(budget.spent(RetryReason::Lost), 20);
    assert_eq!(budget.spent(RetryReason::Failed), 0);
}

/// Guards against a second execution of a non-idempotent job that may have started, and against a
/// retry on the same worker.
#[test]
fn retry_rules() {
    let mut scheduler = start(2);
    let order = run(&mut scheduler, job("one", at(0)), 0);
    let outcome = scheduler.finish(order.attempt, AttemptOutcome::Lost, at(1));
    assert_eq!(outcome, FinishOutcome::Retry);
    let again = dispatches(&mut scheduler, at(1)).remove(0);
    assert_eq!(again.job, order.job);
    assert_ne!(again.worker, order.worker);
    assert_eq!(scheduler.running(), 2);
    assert_eq!(scheduler.retries().spent(RetryReason::Lost), 1);
    let once = JobSpec {
        idempotent: false,
        ..job("one", at(2))
    };
    let order = run(&mut scheduler, once.clone(), 2);
    let outcome = scheduler.finish(order.attempt, AttemptOutcome::Lost, at(3));
    assert_matches!(outcome, FinishOutcome::Refuse(refusal)
        if refusal.code == ResultCode::OutcomeUnknown);
    let order = run(&mut scheduler, once, 4);
    let outcome = scheduler.finish(order.attempt, AttemptOutcome::NotStarted, at(5));
    assert_eq!(outcome, FinishOutcome::Retry);
}

/// Guards against endless retries of a job that fails on every worker, and against the quarantine
/// of healthy workers because of its failures.
#[test]
fn always_failing_job() {
    let mut scheduler = start(6);
    for _ in 0..2 {
        let mut order = run(&mut scheduler, job("one", at(0)), 0);
        for _ in 0..2 {
            let outcome = scheduler.finish(order.attempt, AttemptOutcome::Failed, at(1));
            assert_eq!(outcome, FinishOutcome::Retry);
            order = dispatches(&mut scheduler, at(1)).remove(0);
        }
        let outcome = scheduler.finish(order.attempt, AttemptOutcome::Failed, at(2));
        assert_matches!(outcome, FinishOutcome::Refuse(refusal)
            if refusal.code == ResultCode::CannotRun);
    }
    assert!(scheduler.quarantine_suggestions(at(3)).is_empty());
}

/// Runs `jobs` jobs one after the other, one per millisecond. They fail on the workers in `bad`
/// and succeed elsewhere. Returns the number of failed jobs.
fn fail_on(scheduler: &mut JobScheduler, jobs: usize, now: u64, bad: &[&str]) -> usize {
    let mut failed = 0;
    for millis in 0..jobs as u64 {
        let once = JobSpec {
            idempotent: false,
            ..job("one", at(now + millis))
        };
        let order = run(scheduler, once, now + millis);
        let is_bad = bad.contains(&order.worker.as_str());
        failed += usize::from(is_bad);
        let outcome = if is_bad {
            AttemptOutcome::Failed
        } else {
            AttemptOutcome::Answered
        };
        scheduler.finish(order.attempt, outcome, at(now + millis));
    }
    failed
}

/// Guards against a worker that fails all jobs at once and, being free again, receives most of the
/// jobs.
#[test]
fn failing_worker() {
    let mut scheduler = start(4);
    let failed = fail_on(&mut scheduler, 200, 0, &["worker-1"]);
    assert!((3..=4).contains(&failed), "{failed} jobs failed");
    let suggested = scheduler.quarantine_suggestions(at(200));
    assert_eq!(suggested, [InstanceName::new("worker-1")]);
}

/// Guards against suggestions to quarantine more workers than the pool's availability budget of
/// three allows.
#[test]
fn quarantine_bound() {
    let mut state = fleet(4, &[("one", 1, 100)], 1);
    let pool = state.pools.get_mut(&PoolName::new("main")).unwrap();
    pool.max_unavailable = 3;
    let mut scheduler = scheduler(&state);
    fail_on(
        &mut scheduler,
        200,
        0,
        &["worker-0", "worker-1", "worker-2", "worker-3"],
    );
    assert_eq!(scheduler.quarantine_suggestions(at(200)).len(), 3);
}

/// Runs eight jobs, which end with `outcome` on `worker-1` and succeed elsewhere. Returns the
/// number of jobs that were dispatched to `worker-1` in the first round.
fn try_jobs(scheduler: &mut JobScheduler, now: u64, outcome: AttemptOutcome) -> usize {
    let mut tried = 0;
    for _ in 0..8 {
        scheduler.submit(job("one", at(now)), at(now)).unwrap();
    }
    for order in dispatches(scheduler, at(now)) {
        let bad = order.worker.as_str() == "worker-1";
        tried += usize::from(bad);
        let outcome = if bad {
            outcome
        } else {
            AttemptOutcome::Answered
        };
        scheduler.finish(order.attempt, outcome, at(now));
    }
    for order in dispatches(scheduler, at(now)) {
        scheduler.finish(order.attempt, AttemptOutcome::Answered, at(now));
    }
    tried
}

/// Guards against a worker that the fleet never releases from quarantine, that is quarantined again
/// before its trial, or whose delay until the next trial does not grow after a failed trial.
#[test]
fn release_suggested() {
    let mut state = fleet(2, &[("one", 1, 100)], 1);
    let mut scheduler = scheduler(&state);
    let name = InstanceName::new("worker-1");
    let mut set_state = |scheduler: &mut JobScheduler, next: InstanceState, now: u64| {
        state.generation = state.generation.next();
        state.instances.get_mut(&name).unwrap().state = next;
        scheduler.apply(&state, state.generation, at(now));
    };
    let mut now = 0;
    for delay in [60_000, 120_000, 240_000] {
        set_state(&mut scheduler, InstanceState::Quarantined, now);
        now += delay;
        assert!(scheduler.release_suggestions(at(now - 1)).is_empty());
        let released = scheduler.release_suggestions(at(now));
        assert_eq!(released, std::slice::from_ref(&name));
        set_state(&mut scheduler, InstanceState::Active, now);
        assert!(scheduler.release_suggestions(at(now)).is_empty());
        assert!(scheduler.quarantine_suggestions(at(now)).is_empty());
        let tried = try_jobs(&mut scheduler, now, AttemptOutcome::Failed);
        assert_eq!(tried, 1, "one trial");
        let reported = scheduler.quarantine_suggestions(at(now));
        assert_eq!(reported, std::slice::from_ref(&name));
    }
}

/// Guards against a quarantine that never ends, or that ends before a trial has succeeded.
#[test]
fn trial_jobs() {
    let mut scheduler = start(2);
    fail_on(&mut scheduler, 100, 0, &["worker-1"]);
    let mut trials = |now, outcome| try_jobs(&mut scheduler, now, outcome);
    assert_eq!(trials(50_000, AttemptOutcome::Answered), 0);
    assert_eq!(trials(61_000, AttemptOutcome::Failed), 1);
    assert_eq!(trials(122_000, AttemptOutcome::Answered), 0);
    assert_eq!(trials(182_000, AttemptOutcome::Answered), 1);
    assert!(trials(183_000, AttemptOutcome::Answered) > 1);
}

/// Guards against dispatches to a leaving worker.
#[test]
fn leaving_worker() {
    let mut scheduler = start(2);
    let order = run(&mut scheduler, job("one", at(0)), 0);
    let outcome = scheduler.finish(order.attempt, AttemptOutcome::Draining, at(1));
    assert_eq!(outcome, FinishOutcome::Retry);
    for _ in 0..20 {
        scheduler.submit(job("one", at(1)), at(1)).unwrap();
    }
    let orders = dispatches(&mut scheduler, at(1));
    assert_eq!(orders.len(), 8);
    assert!(orders.iter().all(|next| next.worker != order.worker));
    let other = orders[0].worker.clone();
    scheduler.mark_leaving(&other, at(2));
    scheduler.finish(orders[0].attempt, AttemptOutcome::Answered, at(3));
    assert!(dispatches(&mut scheduler, at(3)).is_empty());
}

/// Guards against a worker that is quarantined or no longer used because the entry instance was
/// paused between the dispatch decision and sending the request.
#[test]
fn unsent_attempts() {
    let mut scheduler = start(1);
    for number in 0..5 {
        let once = JobSpec {
            idempotent: false,
            ..job("one", at(number))
        };
        let order = run(&mut scheduler, once, number);
        let outcome = scheduler.finish(order.attempt, AttemptOutcome::NotSent, at(number));
        assert_eq!(outcome, FinishOutcome::Retry);
        let again = dispatches(&mut scheduler, at(number)).remove(0);
        assert_eq!(again.job, order.job);
        let outcome = scheduler.finish(again.attempt, AttemptOutcome::Answered, at(number));
        assert_eq!(outcome, FinishOutcome::Answer);
    }
    assert_eq!(scheduler.retries().spent(RetryReason::NotSent), 5);
    assert_eq!(scheduler.retries().spent(RetryReason::NotStarted), 0);
}
