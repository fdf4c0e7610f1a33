use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use sesamedeal_core::time::TimePoint;

use crate::BootClock;

/// What the follower of a table is doing.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum FeedPhase {
    /// It waits for the answer to a read of the whole table.
    #[default]
    Reading,
    /// It waits for changes.
    Following,
    /// It pauses after a failed call.
    Paused,
}

/// State of the follower of a table, for logs and metrics.
#[derive(Debug, Clone, Copy, Default)]
pub struct FeedSnapshot {
    /// What the follower is doing.
    pub phase: FeedPhase,
    /// Time since it started to do so.
    pub phase_age: Duration,
    /// Version of the store up to which it has received changes.
    pub position: Option<u64>,
    /// Time since the last answer of the store; `None` before the first one.
    pub answer_age: Option<Duration>,
    /// Number of calls that have failed since the last answer.
    pub failures: u32,
}

#[derive(Debug, Default)]
struct FeedState {
    phase: FeedPhase,
    phase_since: TimePoint,
    position: Option<u64>,
    answered: Option<TimePoint>,
    failures: u32,
}

/// Shared record of what the follower of a table is doing.
#[derive(Debug, Clone, Default)]
pub struct FeedStatus {
    state: Arc<Mutex<FeedState>>,
}

impl FeedStatus {
    pub(crate) fn enter(&self, phase: FeedPhase) {
        let mut state = self.state.lock();
        state.phase = phase;
        state.phase_since = BootClock.now();
    }

    pub(crate) fn record_answer(&self, position: Option<u64>) {
        let mut state = self.state.lock();
        state.position = position;
        state.answered = Some(BootClock.now());
        state.failures = 0;
    }

    pub(crate) fn record_failure(&self) {
        self.state.lock().failures += 1;
    }

    /// Returns the current state.
    #[must_use]
    pub fn snapshot(&self) -> FeedSnapshot {
        let now = BootClock.now();
        let state = self.state.lock();
        FeedSnapshot {
            phase: state.phase,
            phase_age: now.since(state.phase_since),
            position: state.position,
            answer_age: state.answered.map(|answered| now.since(answered)),
            failures: state.failures,
        }
    }
}
