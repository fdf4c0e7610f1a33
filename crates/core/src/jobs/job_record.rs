use serde::{Deserialize, Serialize};

use super::{JobPhase, TaskCrashes};

/// Upper bound of the encoded size of a number, in bytes.
const NUMBER_BYTES: usize = 9;

/// Upper bound of the encoded size of a step or of a record without its lists, in bytes.
const STRUCT_BYTES: usize = 64;

/// Upper bound of the encoded size of a crash, in bytes. It has two names of up to 200 bytes.
const CRASH_BYTES: usize = 640;

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

    /// Upper bound of the size of the encoded record, in bytes.
    #[must_use]
    pub fn size_bound(&self) -> usize {
        let steps = self.steps.iter().map(|step| {
            let failed = step.failed.iter();
            let failed = failed.map(|(_, runs)| NUMBER_BYTES * (runs.len() + 2));
            STRUCT_BYTES + NUMBER_BYTES * step.done.len() + failed.sum::<usize>()
        });
        let crashes = self.crashes.iter();
        let crashes = crashes.map(|entry| CRASH_BYTES * (entry.crashes.len() + 1));
        STRUCT_BYTES + steps.sum::<usize>() + crashes.sum::<usize>()
    }
}

impl Default for JobRecord {
    fn default() -> Self {
        Self::new()
    }
}
