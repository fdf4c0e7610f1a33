/// Reason why a job is queued again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryReason {
    /// The backend server confirmed that nothing was started, or could not be reached.
    NotStarted,
    /// The entry instance did not send the request in time.
    NotSent,
    /// The backend server is draining.
    Draining,
    /// An idempotent task failed.
    Failed,
    /// The response to an idempotent task was lost.
    Lost,
    /// The response to an idempotent task was truncated or belonged to another request.
    BadAnswer,
    /// An idempotent task was stopped in favour of urgent work.
    Preempted,
}

impl RetryReason {
    /// All reasons, in the order of the counters of `RetryBudget`.
    pub const ALL: [Self; 7] = [
        Self::NotStarted,
        Self::NotSent,
        Self::Draining,
        Self::Failed,
        Self::Lost,
        Self::BadAnswer,
        Self::Preempted,
    ];

    /// Label for metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::NotStarted => "not-started",
            Self::NotSent => "not-sent",
            Self::Draining => "draining",
            Self::Failed => "failed",
            Self::Lost => "lost",
            Self::BadAnswer => "bad-answer",
            Self::Preempted => "preempted",
        }
    }
}
