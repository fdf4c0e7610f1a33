//! When a caller comes back after a refusal in an outage of the store.
//!
//! Load pattern: the fleet without its store. Callers have few attempts, and an outage that has
//! lasted for a while is likely to last about as long again. The first refusals name a short time,
//! because another entry instance may be served.

use std::time::Duration;

/// Shortest time. It is the smallest that the header can name.
const SHORTEST: Duration = Duration::from_secs(1);

/// Longest time. Callers wait 3 s for an answer, and the store is seldom away for longer than 10 s.
const LONGEST: Duration = Duration::from_secs(4);

/// Time after which to come back when the store has been away for `outage`.
#[must_use]
pub fn retry_delay(outage: Duration) -> Duration {
    outage.clamp(SHORTEST, LONGEST)
}
