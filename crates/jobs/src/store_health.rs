use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use sesamedeal_core::jobs::retry_delay;
use sesamedeal_core::time::TimePoint;
use sesamedeal_store::{PlatformError, Result};

use crate::{BootClock, StoreClock};

/// Number of consecutive failures after which this entry instance treats the store as down. A
/// single failure may be just a broken connection.
const DOWN_FAILURES: u32 = 2;

/// Time after a failure during which calls are refused without being sent. After it, one call is
/// sent as a probe.
const REFUSAL_TIME: Duration = Duration::from_millis(400);

/// Time after which a probe without a result is abandoned and another one is allowed. The store
/// answers within 0.9 s or not at all.
const PROBE_TIMEOUT: Duration = Duration::from_millis(900);

/// Circuit breaker for calls of this entry instance to the store, and an estimate of its clock.
#[derive(Debug, Clone, Default)]
pub struct StoreHealth {
    failures: Arc<AtomicU32>,
    last_failure_ms: Arc<AtomicU64>,
    /// Time of the first of the consecutive failures.
    first_failure_ms: Arc<AtomicU64>,
    /// First and last failure of the last outage.
    outage_start_ms: Arc<AtomicU64>,
    outage_end_ms: Arc<AtomicU64>,
    /// Time at which the last probe was sent.
    last_probe_ms: Arc<AtomicU64>,
    /// Time of the last answer.
    last_answer_ms: Arc<AtomicU64>,
    pub(crate) clock: StoreClock,
}

impl StoreHealth {
    /// Records the result of a call. A store that answers with an old state is not down.
    pub(crate) fn record<T>(&self, result: &Result<T>) {
        if matches!(result, Ok(_) | Err(PlatformError::Outdated { .. })) {
            self.failures.store(0, Ordering::Release);
            self.last_answer_ms.store(now_ms(), Ordering::Release);
        } else {
            let now = now_ms();
            let failures = self.failures.fetch_add(1, Ordering::AcqRel);
            if failures == 0 {
                self.first_failure_ms.store(now, Ordering::Release);
            }
            if failures + 1 >= DOWN_FAILURES {
                let start = self.first_failure_ms.load(Ordering::Acquire);
                self.outage_start_ms.store(start, Ordering::Release);
                self.outage_end_ms.store(now, Ordering::Release);
            }
            self.last_failure_ms.store(now, Ordering::Release);
        }
    }

    /// Whether the store counts as down because several calls in a row failed.
    #[must_use]
    pub fn is_down(&self) -> bool {
        self.failures.load(Ordering::Acquire) >= DOWN_FAILURES
    }

    /// Begin and end of the last outage that this process has seen; none if there was none.
    pub(crate) fn last_outage(&self) -> Option<(TimePoint, TimePoint)> {
        let end = self.outage_end_ms.load(Ordering::Acquire);
        let first_failure = self.outage_start_ms.load(Ordering::Acquire);
        let start = TimePoint::with_millis(first_failure).before(PROBE_TIMEOUT);
        (end > 0).then(|| (start, TimePoint::with_millis(end)))
    }

    /// Whether the store answered a call within the last `time`.
    pub(crate) fn answered_within(&self, time: Duration) -> bool {
        let age = now_ms().saturating_sub(self.last_answer_ms.load(Ordering::Acquire));
        u128::from(age) < time.as_millis()
    }

    /// Returns the delay after which a refused caller should retry. It depends on how long the
    /// store has been down.
    #[must_use]
    pub fn retry_after(&self) -> Duration {
        let outage = if self.is_down() {
            now_ms().saturating_sub(self.first_failure_ms.load(Ordering::Acquire))
        } else {
            0
        };
        retry_delay(Duration::from_millis(outage))
    }

    /// Whether a call is refused without being sent to the store. A caller that is refused at once
    /// can try another entry instance; a caller whose write remains unanswered cannot.
    ///
    /// While the store counts as down, one call at a time is let through as a probe. If all calls
    /// were let through, they could overload a store that has just recovered.
    #[must_use]
    pub fn refuses_call(&self) -> bool {
        if !self.is_down() {
            return false;
        }
        let now = now_ms();
        let age = now.saturating_sub(self.last_failure_ms.load(Ordering::Acquire));
        if u128::from(age) < REFUSAL_TIME.as_millis() {
            return true;
        }
        let last = self.last_probe_ms.load(Ordering::Acquire);
        let is_probing = u128::from(now.saturating_sub(last)) < PROBE_TIMEOUT.as_millis();
        is_probing
            || self
                .last_probe_ms
                .compare_exchange(last, now, Ordering::AcqRel, Ordering::Acquire)
                .is_err()
    }
}

fn now_ms() -> u64 {
    u64::try_from(BootClock.now().since_origin().as_millis()).unwrap_or(u64::MAX)
}
