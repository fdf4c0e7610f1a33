//! Estimate of the store's clock.

use std::time::Duration;

use sesamedeal_core::time::TimePoint;
use sesamedeal_jobs::StoreClock;

const fn at(millis: u64) -> TimePoint {
    TimePoint::with_millis(millis)
}

fn age(clock: &StoreClock, at_ms: u64, now: u64) -> u64 {
    let age = clock.age(at_ms, at(now)).unwrap();
    u64::try_from(age.as_millis()).unwrap()
}

/// Guards against returning an age before the store has answered.
#[test]
fn no_answer() {
    assert_eq!(StoreClock::default().age(5, at(1_000)), None);
}

/// Guards against underestimated ages after a slow answer: the fastest answer determines the
/// offset.
#[test]
fn fastest_answer() {
    let clock = StoreClock::default();
    // The clocks are 1 s apart; the first answer takes 400 ms, the second one 5 ms.
    clock.record(10_000, at(11_400));
    assert_eq!(age(&clock, 10_000, 11_400), 0);
    clock.record(10_500, at(11_505));
    assert_eq!(age(&clock, 10_500, 11_505), 0);
    assert_eq!(age(&clock, 10_000, 11_505), 500);
    clock.record(11_000, at(12_300));
    assert_eq!(age(&clock, 11_000, 12_300), 295);
}

/// Guards against an estimate that does not follow the drift between the clocks.
#[test]
fn drifting_clocks() {
    let clock = StoreClock::default();
    // The store's clock loses 1 ms every 100 ms.
    for step in 0..1_000 {
        clock.record(99 * step, at(100 * step + 1_000));
    }
    let newest = 99 * 999;
    let error = age(&clock, newest, 100 * 999 + 1_000);
    assert!(
        error <= Duration::from_secs(20).as_millis() as u64 / 100,
        "{error} ms"
    );
}

/// Guards against overestimated ages for 20 s after the store's clock was set back.
#[test]
fn clock_reset() {
    let clock = StoreClock::default();
    clock.record(500_000, at(1_000_000));
    clock.record(1_000, at(1_001_000));
    assert_eq!(age(&clock, 1_000, 1_001_000), 0);
}
