use super::JobRefusal;

/// What the dispatcher saw of one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A whole answer to this request came back.
    Answered,
    /// The backend server answered that the task failed.
    Failed,
    /// The backend server proved that nothing was started, or no connection could be made.
    NotStarted,
    /// The backend server is leaving and started nothing.
    Draining,
    /// The request was sent and no answer came. The task may still be running.
    Lost,
    /// The answer was truncated or belonged to another request. The task may still be running.
    BadAnswer,
    /// The backend server confirmed that it stopped the task on request.
    Stopped,
}

/// What becomes of the job after an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinishOutcome {
    /// The backend server's answer goes to the caller.
    Answer,
    /// The job is queued again for another worker.
    Retry,
    /// The caller gets the refusal.
    Refuse(JobRefusal),
}
