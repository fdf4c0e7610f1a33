use serde::{Deserialize, Serialize};

use super::{JobPhase, TaskCrashes};

/// Stored task results of a step within one occurrence.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct StepRecord {
    /// Number of the occurrence.
    pub occurrence: u32,
    /// Number of the step.
    pub step: u16,
    /// Bitmap of the tasks that are done, 64 tasks a word.
    pub done: Vec<u64>,
    /// Indexes of the tasks with failed runs, and the numbers of those runs.
    pub failed: Vec<(u16, Vec<u64>)>,
}

/// Stored progress of a job.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobRecord {
    /// Current phase of the job.
    pub phase: JobPhase,
    /// Unix time of the end, in milliseconds; 0 while the job has not ended.
    pub ended_ms: u64,
    /// Steps with at least one done task or failed run; empty once the job has ended.
    pub steps: Vec<StepRecord>,
    /// Crashes of workers under the tasks; empty once the job has ended.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<TaskCrashes>,
}

impl JobRecord {
    /// Creates the record of a newly accepted job.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            phase: JobPhase::Queued,
            ended_ms: 0,
            steps: Vec::new(),
            crashes: Vec::new(),
        }
    }
}

impl Default for JobRecord {
    fn default() -> Self {
        Self::new()
    }
}
