use super::WorkerKey;
use crate::time::TimePoint;

/// What is known of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunState {
    /// The start was sent.
    Ordered,
    /// The start had no answer. The run may be there or begin later.
    Unconfirmed {
        /// When the answer was given up.
        since: TimePoint,
    },
    /// The worker has confirmed it.
    Running,
    /// A stop was sent, or has to be.
    Stopping {
        /// When the stop was sent last.
        sent: Option<TimePoint>,
        /// When the worker confirmed the stop. A later list without the run settles it.
        confirmed: Option<TimePoint>,
    },
}

/// A run of a task that exists or may exist at a worker.
#[derive(Debug, Clone)]
pub(crate) struct RunEntry {
    pub worker: WorkerKey,
    pub run: u64,
    pub state: RunState,
    /// When the run was ordered, confirmed or adopted.
    pub since: TimePoint,
    pub percent: f64,
    /// When the progress changed last.
    pub progressed: TimePoint,
    pub gauge: Option<f64>,
    pub pace: u8,
    pub paced: TimePoint,
}

impl RunEntry {
    pub(crate) const fn new(worker: WorkerKey, run: u64, now: TimePoint) -> Self {
        Self {
            worker,
            run,
            state: RunState::Ordered,
            since: now,
            percent: 0.0,
            progressed: now,
            gauge: None,
            pace: 100,
            paced: TimePoint::ORIGIN,
        }
    }

    pub(crate) const fn is_stopping(&self) -> bool {
        matches!(self.state, RunState::Stopping { .. })
    }

    /// Requests a stop; a stop that was sent already stays as it is.
    pub(crate) const fn request_stop(&mut self) {
        if !self.is_stopping() {
            self.state = RunState::Stopping {
                sent: None,
                confirmed: None,
            };
        }
    }
}
