use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::StepSpec;
use crate::ids::{QueueName, TeamName};

/// Times at which a repeated job is due.
#[serde_as]
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct JobSchedule {
    /// Number of occurrences.
    pub count: u32,
    /// Unix time of the first one, in milliseconds.
    pub start_ms: u64,
    /// Time between two of them.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub interval: Duration,
}

impl JobSchedule {
    /// Unix time at which an occurrence is due, in milliseconds.
    #[must_use]
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        let interval = u64::try_from(self.interval.as_millis()).unwrap_or(u64::MAX);
        self.start_ms
            .saturating_add(interval.saturating_mul(u64::from(occurrence)))
    }
}

/// What a caller submits, as it is stored.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobOrder {
    /// Queue that the job was submitted to.
    pub queue: QueueName,
    /// Team whose key came with the job; none on an open queue.
    pub team: Option<TeamName>,
    /// Unix time of the acceptance, in milliseconds.
    pub accepted_ms: u64,
    /// Text that is handed to each task.
    pub spec: CompactString,
    /// The steps.
    pub steps: Vec<StepSpec>,
    /// Times of a repeated job.
    #[serde(default)]
    pub schedule: Option<JobSchedule>,
}

impl JobOrder {
    /// Number of occurrences.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.count)
    }

    /// First problem that makes the job impossible to run.
    ///
    /// # Errors
    ///
    /// Returns what is wrong, for the caller.
    pub fn check(&self) -> Result<(), &'static str> {
        if self.steps.is_empty() {
            return Err("a job needs at least one step");
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return Err("a step needs at least one task");
            }
            if step
                .after
                .iter()
                .any(|&earlier| usize::from(earlier) >= number)
            {
                return Err("a step can only wait for earlier steps");
            }
        }
        Ok(())
    }
}
