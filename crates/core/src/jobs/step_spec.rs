use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::ResourceAmount;

/// Step of a job: a number of identical tasks and the rules for running them.
#[serde_as]
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u16,
    /// Resources that each task uses on its worker and of its team's limit.
    pub amount: ResourceAmount,
    /// Run time of a task as estimated by the caller; may be inaccurate.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub estimate: Duration,
    /// Numbers of the steps that must be done before this step starts.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<u16>,
    /// Whether a task saves its progress.
    #[serde(default)]
    pub saves_progress: bool,
    /// Whether the tasks run only as a gang, which starts and ends together.
    #[serde(default)]
    pub is_gang: bool,
    /// Whether the tasks run faster if all are on the same rack.
    #[serde(default)]
    pub prefers_one_rack: bool,
    /// Label that a worker must have to run the tasks.
    #[serde(default)]
    pub required_label: Option<CompactString>,
    /// Rack that holds the step's data, where the tasks run faster.
    #[serde(default)]
    pub data_rack: Option<CompactString>,
    /// Maximum number of the step's tasks per worker; none means unlimited.
    #[serde(default)]
    pub max_per_worker: Option<u16>,
    /// Whether speculative copies of a task may run at the same time.
    #[serde(default)]
    pub allows_copies: bool,
    /// Whether the tasks are long-running: they run until the job is cancelled.
    #[serde(default)]
    pub is_lasting: bool,
    /// Image that the tasks run; tasks with the same image behave alike.
    #[serde(default)]
    pub image: CompactString,
    /// Target tail latency of a serving task.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(default)]
    pub target_latency: Option<Duration>,
    /// Whether the tasks are fillers: they run best-effort on the CPU that other tasks on the
    /// worker leave unused.
    #[serde(default)]
    pub is_filler: bool,
    /// Maximum number of tasks that planned actions may stop at once; none means unlimited.
    #[serde(default)]
    pub disruption_budget: Option<u16>,
}

impl StepSpec {
    /// Returns the resources that a task reserves on its worker. A filler reserves no CPU.
    #[must_use]
    pub const fn worker_amount(&self) -> ResourceAmount {
        let mut amount = self.amount;
        if self.is_filler {
            amount.cpu_millis = 0;
        }
        amount
    }

    /// Returns when the step can start, given the ends of the earlier steps of its job.
    pub(crate) fn earliest_start(&self, ends: &[Duration]) -> Duration {
        let ends = self
            .after
            .iter()
            .filter_map(|&at| ends.get(usize::from(at)));
        ends.max().copied().unwrap_or_default()
    }
}
