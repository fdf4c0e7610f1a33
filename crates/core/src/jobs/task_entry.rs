use compact_str::CompactString;

use super::run_entry::RunEntry;
use crate::time::TimePoint;

/// A task of a job.
#[derive(Debug, Clone, Default)]
pub(crate) struct TaskEntry {
    pub is_done: bool,
    /// Runs that failed, by number.
    pub failed_runs: Vec<u64>,
    /// Runs that exist or may exist.
    pub runs: Vec<RunEntry>,
    /// Newest saved progress.
    pub saved: CompactString,
    /// Highest run number so far.
    pub last_run: u64,
    /// Earliest time of the next start.
    pub not_before: TimePoint,
    /// Whether this owner has started it or seen it run, so that no run of an earlier owner exists
    /// elsewhere.
    pub is_settled: bool,
}

impl TaskEntry {
    pub(crate) fn is_waiting(&self, now: TimePoint) -> bool {
        !self.is_done && self.runs.is_empty() && self.not_before <= now
    }

    pub(crate) fn has_started(&self) -> bool {
        self.is_done || self.last_run > 0 || !self.runs.is_empty()
    }
}
