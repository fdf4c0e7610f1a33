//! Cancellation of jobs whose callers disconnect before the result.

mod scheduling;

use scheduling::{at, dispatches, drain, fleet, job, scheduler};
use sesamedeal_core::ids::SessionId;
use sesamedeal_core::scheduler::{AttemptOutcome, JobScheduler, JobSpec, SchedulerPolicy};

/// Returns the number of job record accesses for `wave` cancellations in a queue of `wave` jobs.
/// Another team's job is submitted, dispatched and finished after each thousandth of the wave.
fn cancel_wave(wave: usize, order: impl Fn(usize) -> usize) -> u64 {
    let state = fleet(1, &[("one", 1, 7), ("two", 1, 100)], 1);
    let policy = SchedulerPolicy {
        max_queued: wave,
        ..SchedulerPolicy::new()
    };
    let mut scheduler = JobScheduler::new(SessionId(1), policy, 7);
    scheduler.apply(&state, state.generation, at(0));
    for _ in 0..7 {
        scheduler.submit(job("one", at(0)), at(0)).unwrap();
    }
    assert_eq!(dispatches(&mut scheduler, at(0)).len(), 7);
    let spec = JobSpec {
        deadline: at(3_600_000),
        ..job("one", at(0))
    };
    let keys: Vec<_> = (0..wave)
        .map(|_| scheduler.submit(spec.clone(), at(0)).unwrap())
        .collect();
    assert!(dispatches(&mut scheduler, at(0)).is_empty());
    let mut accesses = 0;
    for place in 0..wave {
        let before = scheduler.job_accesses();
        scheduler.cancel(keys[order(place)], at(1));
        assert!(drain(&mut scheduler, at(1)).is_empty());
        accesses += scheduler.job_accesses() - before;
        if place % (wave / 1_000) == 0 {
            let other = scheduler.submit(job("two", at(1)), at(1)).unwrap();
            let orders = dispatches(&mut scheduler, at(1));
            assert_eq!(
                orders.iter().map(|one| one.job).collect::<Vec<_>>(),
                [other]
            );
            let outcome = AttemptOutcome::Answered;
            scheduler.finish(orders[0].attempt, outcome, at(1));
        }
    }
    let last = scheduler.submit(job("one", at(2)), at(2)).unwrap();
    assert!(dispatches(&mut scheduler, at(2)).is_empty());
    let orders = dispatches(&mut scheduler, at(10_600));
    assert_eq!(orders.first().map(|order| order.job), Some(last));
    accesses
}

/// Guards against cancellations that delay other callers. The cost of one cancellation must not
/// grow with the queue length, at any position in the queue, and other teams' jobs must be served
/// during a wave of 10,000 cancellations.
#[test]
fn cancellation_wave() {
    const WAVE: usize = 10_000;
    let orders: [fn(usize, usize) -> usize; 3] = [
        |place, _| place,
        |place, wave| wave - 1 - place,
        // Visits all positions in scattered order, as the factor is coprime to the queue length.
        |place, wave| place * 7_919 % wave,
    ];
    for order in orders {
        let short = cancel_wave(WAVE / 10, |place| order(place, WAVE / 10));
        let long = cancel_wave(WAVE, |place| order(place, WAVE));
        println!(
            "{short} records for {} cancellations, {long} for {WAVE}",
            WAVE / 10
        );
        // Ten times as many cancellations; expired or compacted timers can double the cost.
        assert!(long <= 2 * 10 * short, "{short} records, then {long}");
    }
}

/// Guards against job records that are never removed when callers cancel running jobs, whether the
/// end is confirmed before or after the lease expires.
#[test]
fn abandoned_jobs() {
    let mut scheduler = scheduler(&fleet(1, &[("one", 1, 100)], 1));
    for round in 0..100 {
        let now = round * 20_000;
        let key = scheduler.submit(job("one", at(now)), at(now)).unwrap();
        let orders = dispatches(&mut scheduler, at(now));
        scheduler.cancel(key, at(now));
        assert_eq!(scheduler.open_jobs(), 1);
        let end = at(now + if round % 2 == 0 { 1 } else { 11_000 });
        drain(&mut scheduler, end);
        scheduler.confirm_end(orders[0].attempt, end);
        assert_eq!((scheduler.open_jobs(), scheduler.running()), (0, 0));
    }
}
