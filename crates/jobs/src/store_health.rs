use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use sesamedeal_core::jobs::retry_delay;
use sesamedeal_store::Result;

use crate::{BootClock, StoreClock};

/// Failures in a row after which the store counts as down for this entry instance. One may be a
/// connection that broke.
const DOWN_FAILURES: u32 = 2;

/// Time after a failure in which callers are refused without another attempt. After it, one call
/// finds out whether the store is back.
const REFUSAL_TIME: Duration = Duration::from_millis(400);

/// Time for which the call that finds out is waited for. The store answers within 0.9 s or not at
/// all.
const PROBE_TIME: Duration = Duration::from_millis(900);

/// Whether the store answers this entry instance, and its clock.
#[derive(Debug, Clone, Default)]
pub struct StoreHealth {
    failures: Arc<AtomicU32>,
    failed_ms: Arc<AtomicU64>,
    /// When the first of these failures was.
    lost_ms: Arc<AtomicU64>,
    /// When the last call was let through while the store counted as down.
    probed_ms: Arc<AtomicU64>,
    /// When the last call was answered.
    answered_ms: Arc<AtomicU64>,
    pub(crate) clock: StoreClock,
}

impl StoreHealth {
    /// Notes how a call ended.
    pub(crate) fn record<T>(&self, result: &Result<T>) {
        if result.is_ok() {
            self.failures.store(0, Ordering::Release);
            self.answered_ms.store(now_ms(), Ordering::Release);
        } else {
            let now = now_ms();
            if self.failures.fetch_add(1, Ordering::AcqRel) == 0 {
                self.lost_ms.store(now, Ordering::Release);
            }
            self.failed_ms.store(now, Ordering::Release);
        }
    }

    /// Whether the last calls failed.
    #[must_use]
    pub fn is_down(&self) -> bool {
        self.failures.load(Ordering::Acquire) >= DOWN_FAILURES
    }

    /// Whether a call was answered within the last `time`.
    pub(crate) fn answered_within(&self, time: Duration) -> bool {
        let age = now_ms().saturating_sub(self.answered_ms.load(Ordering::Acquire));
        u128::from(age) < time.as_millis()
    }

    /// Time after which a caller comes back that the store has turned away.
    #[must_use]
    pub fn retry_after(&self) -> Duration {
        let outage = if self.is_down() {
            now_ms().saturating_sub(self.lost_ms.load(Ordering::Acquire))
        } else {
            0
        };
        retry_delay(Duration::from_millis(outage))
    }

    /// Whether a caller is refused without asking the store: a caller that is refused at once can
    /// try another entry instance, one whose write has no answer cannot.
    ///
    /// While the store counts as down, one call at a time finds out whether it is back. If all went
    /// through, they would keep a store busy that has just come back.
    #[must_use]
    pub fn refuses_call(&self) -> bool {
        if !self.is_down() {
            return false;
        }
        let now = now_ms();
        let age = now.saturating_sub(self.failed_ms.load(Ordering::Acquire));
        if u128::from(age) < REFUSAL_TIME.as_millis() {
            return true;
        }
        let last = self.probed_ms.load(Ordering::Acquire);
        let is_probing = u128::from(now.saturating_sub(last)) < PROBE_TIME.as_millis();
        is_probing
            || self
                .probed_ms
                .compare_exchange(last, now, Ordering::AcqRel, Ordering::Acquire)
                .is_err()
    }
}

fn now_ms() -> u64 {
    u64::try_from(BootClock.now().since_origin().as_millis()).unwrap_or(u64::MAX)
}
