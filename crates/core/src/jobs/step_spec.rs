use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::ResourceAmount;

/// A step of a job: a number of equal tasks and the rules for running them.
#[serde_as]
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u16,
    /// What each task takes from its worker and from the limit of its team.
    pub amount: ResourceAmount,
    /// Declared run time of a task; a rough estimate.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub estimate: Duration,
    /// Numbers of the steps that must be done before this one starts.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<u16>,
    /// Whether a task saves its progress.
    #[serde(default)]
    pub saves_progress: bool,
    /// Whether the tasks work only together, and end together.
    #[serde(default)]
    pub is_gang: bool,
    /// Whether the tasks run faster on one rack.
    #[serde(default)]
    pub prefers_one_rack: bool,
    /// Label that a worker must have.
    #[serde(default)]
    pub required_label: Option<CompactString>,
    /// Rack with the step's data, on which the tasks run faster.
    #[serde(default)]
    pub data_rack: Option<CompactString>,
    /// Most tasks of the step on one worker; none for no limit.
    #[serde(default)]
    pub max_per_worker: Option<u16>,
    /// Whether copies of a task may run at the same time.
    #[serde(default)]
    pub allows_copies: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(default)]
    pub is_lasting: bool,
    /// What the tasks run; tasks of one image behave alike.
    #[serde(default)]
    pub image: CompactString,
    /// Longest tail latency of a serving task.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(default)]
    pub target_latency: Option<Duration>,
    /// Whether the tasks use only the processor that the others on their worker leave.
    #[serde(default)]
    pub is_filler: bool,
    /// Most tasks that planned actions may take out at once; none for no limit.
    #[serde(default)]
    pub disruption_budget: Option<u16>,
}

impl StepSpec {
    /// What a task takes of its worker's capacity. A filler's processor does not count.
    #[must_use]
    pub const fn worker_amount(&self) -> ResourceAmount {
        let mut amount = self.amount;
        if self.is_filler {
            amount.cpu_millis = 0;
        }
        amount
    }
}
