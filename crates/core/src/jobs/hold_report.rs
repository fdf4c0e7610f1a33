use compact_str::CompactString;

use super::TaskName;
use crate::time::TimePoint;

/// How a run ended. The variant names are label values of the metric `sesamedeal_task_ends_total`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndKind {
    /// The task completed.
    Done,
    /// The task failed, because of the task itself or the worker.
    Failed,
    /// A stop order ended the run.
    Stopped,
    /// The worker's lease expired.
    Lapsed,
    /// Another member of the gang ended.
    Broken,
    /// The other members of the gang did not start in time.
    Alone,
}

/// Run that a worker lists as running.
#[derive(Debug, Clone)]
pub struct RunReport {
    /// The task.
    pub task: TaskName,
    /// Number of the run.
    pub run: u64,
    /// Saved progress; empty if there is none.
    pub saved: CompactString,
    /// Progress in percent. A long-running task reports 100 once it has started up.
    pub percent: f64,
    /// Tail latency of a serving task in milliseconds; CPU use of any other task.
    pub gauge: Option<f64>,
}

/// Run that a worker lists as ended.
#[derive(Debug, Clone)]
pub struct RunEnd {
    /// Sequence number of the end within this boot of the worker.
    pub number: u64,
    /// The task.
    pub task: TaskName,
    /// Number of the run.
    pub run: u64,
    /// How the run ended.
    pub kind: EndKind,
    /// Saved progress; empty if there is none.
    pub saved: CompactString,
}

/// Answer of a worker to a hold call, which extends its lease.
#[derive(Debug, Clone)]
pub struct HoldReport {
    /// When the owner sent the call.
    pub sent: TimePoint,
    /// The worker's clock when it answered, in milliseconds.
    pub clock_ms: u64,
    /// Unix time of the worker's start, in milliseconds, which identifies the boot.
    pub boot: u64,
    /// Runs in progress.
    pub running: Vec<RunReport>,
    /// Ended runs that the owner has not acknowledged yet.
    pub ended: Vec<RunEnd>,
}

impl HoldReport {
    /// Tasks of the listed runs and ends.
    pub(crate) fn tasks(&self) -> impl Iterator<Item = TaskName> {
        let running = self.running.iter().map(|run| run.task);
        running.chain(self.ended.iter().map(|end| end.task))
    }
}
