use super::WorkerKey;
use crate::time::TimePoint;

/// State of a run as far as the owner can tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunState {
    /// The start order was sent.
    Ordered,
    /// The start order was not answered. The run may exist already or start later.
    Unconfirmed {
        /// When the owner stopped waiting for the answer.
        since: TimePoint,
    },
    /// The worker has confirmed the run.
    Running,
    /// A stop order was sent or is due to be sent.
    Stopping {
        /// When the stop order was last sent.
        sent: Option<TimePoint>,
        /// When the worker confirmed the stop. The run has ended once a list requested later no
        /// longer shows it.
        confirmed: Option<TimePoint>,
    },
}

/// Run of a task that exists or may exist on a worker.
#[derive(Debug, Clone)]
pub(crate) struct RunEntry {
    pub worker: WorkerKey,
    pub run: u64,
    pub state: RunState,
    /// When the run was ordered, confirmed or adopted.
    pub since: TimePoint,
    /// Whether the worker has run the task long enough that a crash is not put down to its start.
    pub is_proven: bool,
    /// Progress as last reported, in percent.
    pub percent: f64,
    /// When the progress last changed.
    pub progressed: TimePoint,
    /// Gauge as last reported.
    pub gauge: Option<f64>,
    /// Share of its CPU that a filler may use, in percent.
    pub pace: u8,
    /// When the pace last changed.
    pub paced: TimePoint,
}

impl RunEntry {
    pub(crate) const fn new(worker: WorkerKey, run: u64, now: TimePoint) -> Self {
        Self {
            worker,
            run,
            state: RunState::Ordered,
            since: now,
            is_proven: false,
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

    /// Marks the run to be stopped. Does nothing if it is already being stopped.
    pub(crate) const fn request_stop(&mut self) {
        if !self.is_stopping() {
            self.state = RunState::Stopping {
                sent: None,
                confirmed: None,
            };
        }
    }
}
