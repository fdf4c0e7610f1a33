use super::JobRefusal;
use crate::retry::RetryReason;

/// Outcome of one attempt as seen by the dispatcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The backend server sent a complete answer to this request.
    Answered,
    /// The backend server answered that the task failed.
    Failed,
    /// The backend server proved that nothing was started, or no connection could be made.
    NotStarted,
    /// The entry instance did not send the request in time, for instance after a pause.
    NotSent,
    /// The backend server is leaving and started nothing.
    Draining,
    /// The request was sent and no answer came. The task may still be running.
    Lost,
    /// The answer was truncated or belonged to another request. The task may still be running.
    BadAnswer,
    /// The backend server confirmed that it stopped the task on request.
    Stopped,
}

impl AttemptOutcome {
    /// Returns the reason for a retry, or `None` when the job has its answer.
    #[must_use]
    pub const fn retry_reason(self) -> Option<RetryReason> {
        match self {
            Self::Answered => None,
            Self::Failed => Some(RetryReason::Failed),
            Self::NotStarted => Some(RetryReason::NotStarted),
            Self::NotSent => Some(RetryReason::NotSent),
            Self::Draining => Some(RetryReason::Draining),
            Self::Lost => Some(RetryReason::Lost),
            Self::BadAnswer => Some(RetryReason::BadAnswer),
            Self::Stopped => Some(RetryReason::Preempted),
        }
    }
}

/// Handling of a job after an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinishOutcome {
    /// The backend server's answer goes to the caller.
    Answer,
    /// The job is queued again for another worker.
    Retry,
    /// The caller gets the refusal.
    Refuse(JobRefusal),
}
