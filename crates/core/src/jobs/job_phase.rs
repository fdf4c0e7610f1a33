use serde::{Deserialize, Serialize};

/// Where a job stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobPhase {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// All tasks are done.
    Finished,
    /// A task has failed as often as its queue allows.
    Failed,
    /// The caller has cancelled it.
    Cancelled,
}

impl JobPhase {
    /// Whether the job has ended.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Finished | Self::Failed | Self::Cancelled)
    }
}
