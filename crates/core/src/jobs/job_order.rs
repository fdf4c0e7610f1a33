use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::{OrderRules, StepSpec};
use crate::ids::{QueueName, TeamName};

/// Maximum number of tasks of a job over all occurrences. The owner keeps all of them in memory.
const MAX_TASKS: u64 = 4_096;

/// Maximum number of steps of a job over all occurrences. The record has an entry for each.
const MAX_STEPS: u64 = 1_536;

/// Schedule of a repeated job.
#[serde_as]
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct JobSchedule {
    /// Number of occurrences.
    pub count: u32,
    /// Unix time of the first occurrence, in milliseconds.
    pub start_ms: u64,
    /// Interval between occurrences.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub interval: Duration,
}

impl JobSchedule {
    /// Returns the Unix time at which an occurrence is due, in milliseconds.
    #[must_use]
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        let interval = u64::try_from(self.interval.as_millis()).unwrap_or(u64::MAX);
        self.start_ms
            .saturating_add(interval.saturating_mul(u64::from(occurrence)))
    }
}

/// Job as submitted by a caller and stored.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobOrder {
    /// Queue to which the job was submitted.
    pub queue: QueueName,
    /// Team whose key authorized the submission; none on a queue that needs no key.
    pub team: Option<TeamName>,
    /// Unix time at which the job was accepted, in milliseconds.
    pub accepted_ms: u64,
    /// Specification passed unchanged to each task.
    pub spec: CompactString,
    /// Steps of the job, each after the steps that it depends on.
    pub steps: Vec<StepSpec>,
    /// Schedule of a repeated job; none for a job that runs once.
    #[serde(default)]
    pub schedule: Option<JobSchedule>,
    /// Rules at the acceptance of the job; none if it was accepted by an older version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rules: Option<OrderRules>,
}

impl JobOrder {
    /// Number of occurrences.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.count)
    }

    /// Declared run time of the longest chain of steps.
    #[must_use]
    pub fn critical_path(&self) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            ends.push(step.earliest_start(&ends).saturating_add(step.estimate));
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Declared work of the batch tasks, in core milliseconds.
    pub(super) fn batch_work(&self) -> u64 {
        let work = |spec: &StepSpec| {
            let cpu = spec.worker_amount().cpu_millis;
            let cpu = cpu.saturating_mul(u64::from(spec.count));
            let time = u64::try_from(spec.estimate.as_millis()).unwrap_or(u64::MAX);
            cpu.saturating_mul(time) / 1_000
        };
        let batch = self.steps.iter().filter(|spec| !spec.is_lasting);
        batch.map(work).fold(0, u64::saturating_add)
    }

    /// Checks that the job can be run.
    ///
    /// # Errors
    ///
    /// Returns the first problem found, as a message for the caller.
    pub fn check(&self) -> Result<(), &'static str> {
        if self.steps.is_empty() {
            return Err("a job needs at least one step");
        }
        let occurrences = u64::from(self.occurrences());
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        let steps = u64::try_from(self.steps.len()).unwrap_or(u64::MAX);
        if tasks.saturating_mul(occurrences) > MAX_TASKS {
            return Err("a job can have at most 4,096 tasks over all its occurrences");
        }
        if steps.saturating_mul(occurrences) > MAX_STEPS {
            return Err("a job can have at most 1,536 steps over all its occurrences");
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
