//! Pure parts of the retry policy.

use std::time::Duration;

use sesamedeal_store::{
    BreakerState, CircuitBreaker, MAX_BACKOFF, MIN_BACKOFF, RetryBudget, backoff_delay,
};
use tokio::time::Instant;

/// Single failures between successes must not open the breaker; five in a row must.
#[tokio::test(start_paused = true)]
async fn failure_threshold() {
    let now = Instant::now();
    let mut breaker = CircuitBreaker::new();
    for _ in 0..20 {
        for _ in 0..4 {
            let permit = breaker.admit(now).unwrap();
            breaker.fail(permit, now, 0.0);
        }
        let permit = breaker.admit(now).unwrap();
        breaker.succeed(permit);
    }
    assert_eq!(breaker.state(), BreakerState::Closed);
    for _ in 0..5 {
        let permit = breaker.admit(now).unwrap();
        breaker.fail(permit, now, 0.0);
    }
    assert_eq!(breaker.state(), BreakerState::Open);
    assert_eq!(breaker.admit(now), None);
}

/// The answer to a call from before the opening must not close the breaker, nor end a probe.
#[tokio::test(start_paused = true)]
async fn old_answer() {
    let now = Instant::now();
    let mut breaker = CircuitBreaker::new();
    let old = breaker.admit(now).unwrap();
    for _ in 0..5 {
        let permit = breaker.admit(now).unwrap();
        breaker.fail(permit, now, 0.0);
    }
    breaker.succeed(old);
    assert_eq!(breaker.state(), BreakerState::Open);
    let later = now + MAX_BACKOFF;
    let probe = breaker.admit(later).unwrap();
    assert_eq!(breaker.admit(later), None);
    breaker.fail(old, later, 0.0);
    assert_eq!(breaker.state(), BreakerState::HalfOpen);
    breaker.succeed(probe);
    assert_eq!(breaker.state(), BreakerState::Closed);
}

/// The delay must grow from 100 ms to 5 s and no further, and the jitter must only shorten it.
#[test]
fn delay_bounds() {
    assert_eq!(backoff_delay(0, 0.0), MIN_BACKOFF);
    assert_eq!(backoff_delay(1, 0.0), MIN_BACKOFF * 2);
    assert_eq!(backoff_delay(u32::MAX, 0.0), MAX_BACKOFF);
    assert_eq!(backoff_delay(0, 1.0), Duration::from_millis(50));
}

/// A budget must not earn more than its reserve.
#[test]
fn earned_retries() {
    let mut budget = RetryBudget::new(2);
    assert!(budget.spend() && budget.spend());
    assert!(!budget.spend());
    for _ in 0..9 {
        budget.earn();
    }
    assert!(!budget.spend());
    budget.earn();
    assert!(budget.spend());
    for _ in 0..1000 {
        budget.earn();
    }
    assert!(budget.spend() && budget.spend());
    assert!(!budget.spend());
}
