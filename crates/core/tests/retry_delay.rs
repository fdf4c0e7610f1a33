//! Load pattern: the fleet without its store.

use std::time::Duration;

use sesamedeal_core::jobs::retry_delay;

/// Attempts of a caller after the first.
const RETRIES: u32 = 4;

/// Whether one of a caller's attempts falls after the outage. It comes `first` after the beginning.
fn is_served(first: Duration, outage: Duration, pause: impl Fn(Duration) -> Duration) -> bool {
    let mut at = first;
    for _ in 0..RETRIES {
        if at >= outage {
            return true;
        }
        at += pause(at);
    }
    at >= outage
}

/// Guards against callers that use up their attempts within the outage: each was told to come back
/// after one second.
#[test]
fn outlasts_outage() {
    let outage = Duration::from_secs(8);
    for first in [0, 400, 900, 1_500, 3_000] {
        let first = Duration::from_millis(first);
        assert!(is_served(first, outage, retry_delay), "{first:?}");
    }
    let hammering = |_| Duration::from_millis(500);
    assert!(!is_served(Duration::from_secs(1), outage, hammering));
}

/// Guards against callers that are sent away for long although another entry instance is served.
#[test]
fn short_at_first() {
    assert_eq!(retry_delay(Duration::ZERO), Duration::from_secs(1));
    assert_eq!(
        retry_delay(Duration::from_millis(800)),
        Duration::from_secs(1)
    );
    assert_eq!(retry_delay(Duration::from_secs(60)), Duration::from_secs(4));
}
