//! Load pattern: the store is unavailable to the fleet.

use std::time::Duration;

use sesamedeal_core::jobs::retry_delay;

/// Number of attempts that a caller makes after the first.
const RETRIES: u32 = 4;

/// Whether one of a caller's attempts is made after the end of an outage. The first attempt is made
/// `first` after its start.
fn is_served(first: Duration, outage: Duration, delay: impl Fn(Duration) -> Duration) -> bool {
    let mut at = first;
    for _ in 0..RETRIES {
        if at >= outage {
            return true;
        }
        at += delay(at);
    }
    at >= outage
}

/// Guards against callers that use up their attempts during the outage, as they do when the delay
/// is always one second.
#[test]
fn outlasts_outage() {
    let outage = Duration::from_secs(8);
    for first in [0, 400, 900, 1_500, 3_000] {
        let first = Duration::from_millis(first);
        assert!(is_served(first, outage, retry_delay), "{first:?}");
    }
    let short_delay = |_| Duration::from_millis(500);
    assert!(!is_served(Duration::from_secs(1), outage, short_delay));
}

/// Guards against a long delay although another entry instance can serve the request.
#[test]
fn short_at_first() {
    assert_eq!(retry_delay(Duration::ZERO), Duration::from_secs(1));
    assert_eq!(
        retry_delay(Duration::from_millis(800)),
        Duration::from_secs(1)
    );
    assert_eq!(retry_delay(Duration::from_secs(60)), Duration::from_secs(4));
}
