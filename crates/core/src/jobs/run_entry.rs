use std::time::Duration;

use super::WorkerKey;
use crate::time::TimePoint;

/// Time for which a worker has to run a task before a crash is no longer put down to its start.
const STARTUP_TIME: Duration = Duration::from_millis(300);

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
    /// Link to the worker by which the run was ordered or adopted.
    pub link: u64,
    pub state: RunState,
    /// Whether the run is to be stopped only because its start had no answer.
    pub is_revoked: bool,
    /// When the run was ordered, confirmed or adopted.
    pub since: TimePoint,
    /// When the owner stopped waiting for the answer to the start order, if it has.
    pub given_up: Option<TimePoint>,
    /// Whether the worker has confirmed the run, by its answer or in a list.
    pub is_confirmed: bool,
    /// Start of the worker in whose list of runs this one last appeared; none before that.
    pub listed_boot: Option<u64>,
    /// Time for which the worker is known to have run the task.
    pub run_time: Duration,
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
    pub(crate) const fn new(worker: WorkerKey, run: u64, link: u64, now: TimePoint) -> Self {
        Self {
            worker,
            run,
            link,
            state: RunState::Ordered,
            is_revoked: false,
            since: now,
            given_up: None,
            is_confirmed: false,
            listed_boot: None,
            run_time: Duration::ZERO,
            percent: 0.0,
            progressed: now,
            gauge: None,
            pace: 100,
            paced: TimePoint::ORIGIN,
        }
    }

    /// Whether the worker has not been seen to run the task for [`STARTUP_TIME`], so that a crash may
    /// be put down to the start.
    pub(crate) fn is_starting(&self) -> bool {
        self.run_time < STARTUP_TIME
    }

    pub(crate) const fn is_stopping(&self) -> bool {
        matches!(self.state, RunState::Stopping { .. })
    }

    /// Revokes a start that had no answer. If the run turns out to exist, it is kept. Returns whether
    /// the run was not being stopped before.
    #[must_use = "the job of a run to stop belongs in `JobDispatcher::stopping_jobs`"]
    pub(crate) const fn revoke(&mut self) -> bool {
        let is_new = self.request_stop();
        self.is_revoked = true;
        is_new
    }

    /// Whether a revoked start may still be kept: no stop of it is confirmed.
    pub(crate) const fn is_revocation_open(&self) -> bool {
        self.is_revoked
            && matches!(
                self.state,
                RunState::Stopping {
                    confirmed: None,
                    ..
                }
            )
    }

    /// Marks the run to be stopped. Returns false if it is already being stopped.
    #[must_use = "the job of a run to stop belongs in `JobDispatcher::stopping_jobs`"]
    pub(crate) const fn request_stop(&mut self) -> bool {
        self.is_revoked = false;
        if self.is_stopping() {
            return false;
        }
        self.state = RunState::Stopping {
            sent: None,
            confirmed: None,
        };
        true
    }
}
