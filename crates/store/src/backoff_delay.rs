use std::time::Duration;

/// Shortest delay before jitter.
pub const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Longest delay before jitter.
pub const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Delay before retry number `retry` (from 0): doubles from 100 ms to 5 s.
///
/// `jitter` lies in 0..1 and shortens the delay by up to a half.
#[must_use]
pub fn backoff_delay(retry: u32, jitter: f64) -> Duration {
    let doubled = MIN_BACKOFF.saturating_mul(1_u32.checked_shl(retry.min(16)).unwrap_or(u32::MAX));
    doubled
        .min(MAX_BACKOFF)
        .mul_f64(1.0 - jitter.clamp(0.0, 1.0) / 2.0)
}
