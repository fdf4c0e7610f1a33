//! Delay after which a caller retries a request that was refused during a store outage.
//!
//! Load pattern: the store is unavailable to the fleet. Callers make only a few attempts, and an
//! outage that has lasted for a while is likely to last about as long again. The first refusals
//! return a short delay, because another entry instance may be able to serve the request.

use std::time::Duration;

/// Minimum delay, which is the smallest value that the header can express.
const MIN_DELAY: Duration = Duration::from_secs(1);

/// Maximum delay. Callers wait 3 s for an answer, and store outages rarely last longer than 10 s.
const MAX_DELAY: Duration = Duration::from_secs(4);

/// Returns the delay before a retry when the store has been unavailable for `outage`.
#[must_use]
pub fn retry_delay(outage: Duration) -> Duration {
    outage.clamp(MIN_DELAY, MAX_DELAY)
}
