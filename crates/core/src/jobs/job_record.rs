use serde::{Deserialize, Serialize};

use super::JobPhase;

/// Ends of one step of one occurrence.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct StepRecord {
    /// Number of the occurrence.
    pub occurrence: u32,
    /// Number of the step.
    pub step: u16,
    /// Tasks that are done, one bit each.
    pub done: Vec<u64>,
    /// Tasks with failed runs, and the numbers of these runs.
    pub failed: Vec<(u16, Vec<u64>)>,
}

/// Progress of a job, as it is stored.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobRecord {
    /// Where the job stands.
    pub phase: JobPhase,
    /// Unix time of the end, in milliseconds; 0 while the job has not ended.
    pub ended_ms: u64,
    /// Steps with ends. Empty once the job has ended.
    pub steps: Vec<StepRecord>,
}

impl JobRecord {
    /// Record of a job that was just accepted.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            phase: JobPhase::Queued,
            ended_ms: 0,
            steps: Vec::new(),
        }
    }
}

impl Default for JobRecord {
    fn default() -> Self {
        Self::new()
    }
}
