use compact_str::CompactString;

use super::run_entry::RunEntry;
use crate::time::TimePoint;

/// Scheduling state of a task.
#[derive(Debug, Clone, Default)]
pub(crate) struct TaskEntry {
    pub is_done: bool,
    /// Numbers of the failed runs.
    pub failed_runs: Vec<u64>,
    /// Runs that exist or may exist on workers.
    pub runs: Vec<RunEntry>,
    /// Last saved progress; empty if there is none.
    pub saved: CompactString,
    /// Highest run number so far; 0 before the first run.
    pub last_run: u64,
    /// Earliest time at which the task may start again.
    pub not_before: TimePoint,
    /// Whether this owner has started the task or seen it run, so that no unknown run from a
    /// previous owner can exist.
    pub is_settled: bool,
}

impl TaskEntry {
    /// Whether the task is ready to be placed.
    pub(crate) fn is_waiting(&self, now: TimePoint) -> bool {
        !self.is_done && self.runs.is_empty() && self.not_before <= now
    }
}
