use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use sesamedeal_core::time::TimePoint;

/// Time after which a positive verdict lapses when it is not renewed.
///
/// Evidence is at most 2.3 s old when it is judged, so that a loop that stopped judging keeps a
/// withdrawn key in force for 3 s at most.
const LAPSE: Duration = Duration::from_millis(700);

/// Verdict on the evidence of the state, shared between the loop that judges it and the request
/// path.
#[derive(Debug, Clone)]
pub(crate) struct EvidenceFlag {
    shared: Arc<FlagState>,
    isolation_limit: Duration,
}

/// Points in nanoseconds since the clock's origin plus one; zero stands for never.
#[derive(Debug, Default)]
struct FlagState {
    allowed_at: AtomicU64,
    renewed_at: AtomicU64,
    paused_at: AtomicU64,
}

impl EvidenceFlag {
    /// Creates a flag without a verdict. `isolation_limit` is the time without a positive verdict
    /// after which nothing is dispatched.
    pub(crate) fn new(isolation_limit: Duration) -> Self {
        Self {
            shared: Arc::default(),
            isolation_limit,
        }
    }

    /// Sets whether work that needs a key may be taken and dispatched, as judged at `at`.
    ///
    /// A positive verdict has to rest on evidence that is newer than the last pause.
    pub(crate) fn set(&self, allows_work: bool, at: TimePoint) {
        let at = stamp(at);
        let state = &self.shared;
        if allows_work {
            state.allowed_at.fetch_max(at, Ordering::AcqRel);
            state.renewed_at.fetch_max(at, Ordering::AcqRel);
        } else {
            state.allowed_at.store(0, Ordering::Release);
        }
    }

    /// Takes note that the process was paused until `now`.
    pub(crate) fn note_pause(&self, now: TimePoint) {
        self.shared
            .paused_at
            .fetch_max(stamp(now), Ordering::AcqRel);
    }

    /// Whether work that needs a key may be taken and dispatched.
    pub(crate) fn allows_keyed(&self, now: TimePoint) -> bool {
        let allowed = self.shared.allowed_at.load(Ordering::Acquire);
        let age = stamp(now).saturating_sub(allowed);
        allowed > self.shared.paused_at.load(Ordering::Acquire)
            && u128::from(age) < LAPSE.as_nanos()
    }

    /// Whether anything may be dispatched: there was no pause since the last positive verdict, and
    /// that verdict is not older than the isolation limit.
    ///
    /// The units of an entry instance that is cut off go to others once the platform's list has
    /// dropped it for the list lag and the task lease, so that it has to stop within the list lag.
    pub(crate) fn allows_dispatch(&self, now: TimePoint) -> bool {
        let renewed = self.shared.renewed_at.load(Ordering::Acquire);
        let age = stamp(now).saturating_sub(renewed);
        renewed > self.shared.paused_at.load(Ordering::Acquire)
            && u128::from(age) < self.isolation_limit.as_nanos()
    }
}

fn stamp(at: TimePoint) -> u64 {
    u64::try_from(at.since_origin().as_nanos()).map_or(u64::MAX, |nanos| nanos.saturating_add(1))
}
