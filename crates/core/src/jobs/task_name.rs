use std::fmt;
use std::str::FromStr;

use serde_with::{DeserializeFromStr, SerializeDisplay};

use super::JobId;

/// Name of a step within one occurrence of a job, with the text form `job.occurrence.step`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StepName {
    /// Job of the step.
    pub job: JobId,
    /// Number of the occurrence; 0 for a job that runs once.
    pub occurrence: u32,
    /// Number of the step within the job, from 0.
    pub step: u16,
}

/// Name of a task, with the text form `job.occurrence.step.index`.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct TaskName {
    /// Step of the task.
    pub step: StepName,
    /// Index of the task within the step, from 0.
    pub index: u16,
}

impl StepName {
    /// Returns the name of a task of this step.
    #[must_use]
    pub const fn task(self, index: u16) -> TaskName {
        TaskName { step: self, index }
    }
}

impl fmt::Display for StepName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step, self.index)
    }
}

impl FromStr for TaskName {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        const PROBLEM: &str = "a task name is job.occurrence.step.index";
        let mut parts = text.split('.');
        let mut part = || parts.next().ok_or(PROBLEM);
        let job = part()?.parse()?;
        let occurrence = part()?.parse().map_err(|_error| PROBLEM)?;
        let step = part()?.parse().map_err(|_error| PROBLEM)?;
        let index = part()?.parse().map_err(|_error| PROBLEM)?;
        if parts.next().is_some() {
            return Err(PROBLEM);
        }
        let step = StepName {
            job,
            occurrence,
            step,
        };
        Ok(step.task(index))
    }
}
