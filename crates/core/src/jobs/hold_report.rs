use compact_str::CompactString;

use super::TaskName;
use crate::time::TimePoint;

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndKind {
    /// The task is done.
    Done,
    /// The task failed, through its own fault or the worker's.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// Its lease ran out.
    LeaseExpired,
    /// Another member of its gang ended.
    GangBroken,
    /// The other members of its gang did not come in time.
    GangIncomplete,
}

/// A run that a worker lists as running.
#[derive(Debug, Clone)]
pub struct RunReport {
    /// The task.
    pub task: TaskName,
    /// Number of the run.
    pub run: u64,
    /// Saved progress; empty if there is none.
    pub saved: CompactString,
    /// Progress, or for a lasting task how much it is at work, in percent.
    pub percent: f64,
    /// Tail latency in milliseconds of a serving task, processor in use of any other.
    pub gauge: Option<f64>,
}

/// A run that a worker lists as ended.
#[derive(Debug, Clone)]
pub struct RunEnd {
    /// Number of the end in this boot of the worker.
    pub number: u64,
    /// The task.
    pub task: TaskName,
    /// Number of the run.
    pub run: u64,
    /// How it ended.
    pub kind: EndKind,
    /// Saved progress; empty if there is none.
    pub saved: CompactString,
}

/// Answer of a worker to a call that extends its lease.
#[derive(Debug, Clone)]
pub struct HoldReport {
    /// When the call was sent.
    pub sent: TimePoint,
    /// The worker's clock at the answer, in milliseconds.
    pub clock_ms: u64,
    /// Unix time of the worker's start, in milliseconds; it tells its boots apart.
    pub boot: u64,
    /// Runs in progress.
    pub running: Vec<RunReport>,
    /// Ends that have not been acknowledged.
    pub ended: Vec<RunEnd>,
}
