use serde::{Deserialize, Serialize};

/// Phase of a job's life cycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobPhase {
    /// No task has started.
    Queued,
    /// At least one task has started.
    Running,
    /// All tasks are done.
    Finished,
    /// A task failed as many times as its queue allows.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
}

impl JobPhase {
    /// Whether the job has ended.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Finished | Self::Failed | Self::Cancelled)
    }
}
