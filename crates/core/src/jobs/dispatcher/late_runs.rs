//! Runs that may outlast the lease that the owner has asked for, because the worker was started again
//! under its name. Its new life takes calls that were meant for the former one, and the end of a lease
//! in them is a time on another clock, so that it grants the longest lease whatever they name.
//!
//! - If the owner has not noticed the restart, any start that no list has shown may be such a run. A
//!   run that a list has shown ended with the restart, or is on the life whose clock the owner knows.
//! - If the owner has noticed it, starts without an answer may still be carried out late, until the new
//!   life has answered once and so refuses calls by earlier links.

use std::time::Duration;

use super::JobDispatcher;
use crate::jobs::WorkerKey;
use crate::jobs::run_entry::RunEntry;
use crate::time::TimePoint;

/// Tells which runs of a worker may outlast its lease.
#[derive(Debug, Clone, Copy)]
pub(super) struct LateRunLimit {
    /// End of the longest lease that the worker may have granted after an unnoticed restart.
    unnoticed_lease_end: TimePoint,
    /// Current link to the worker if it has not been answered yet.
    open_link: Option<u64>,
    /// Time after which a start that was given up can neither begin nor run any more.
    late_start_time: Duration,
}

impl LateRunLimit {
    /// Latest time at which a run ends that may outlast the lease of the worker.
    fn latest_end(&self, run: &RunEntry) -> Option<TimePoint> {
        let is_unlisted = run.listed_boot.is_none();
        let unnoticed = is_unlisted.then_some(self.unnoticed_lease_end);
        let is_superseded = self.open_link.is_some_and(|link| run.link < link);
        let late_start = run.given_up.filter(|_| is_superseded && !run.is_confirmed);
        unnoticed.max(late_start.map(|given_up| given_up.after(self.late_start_time)))
    }

    /// Whether a run may still exist although the lease of the worker has expired.
    pub(super) fn includes(&self, run: &RunEntry, now: TimePoint) -> bool {
        self.latest_end(run).is_some_and(|end| now <= end)
    }
}

impl JobDispatcher {
    pub(super) fn late_run_limit(&self, key: WorkerKey) -> LateRunLimit {
        let entry = &self.workers[key];
        let longest = self.policy.longest_grant();
        LateRunLimit {
            unnoticed_lease_end: entry.unnoticed_lease_end,
            open_link: entry.list_requested.is_none().then_some(entry.link),
            late_start_time: self.policy.max_call_delay.saturating_add(longest),
        }
    }

    /// Whether a worker whose lease has expired has runs that have ended, or nothing that may still
    /// run or begin.
    pub(super) fn has_expired_run(&self, key: WorkerKey, now: TimePoint) -> bool {
        let limit = self.late_run_limit(key);
        let runs = &self.workers[key].runs;
        let mut entries = runs.keys().map(|&(task, run)| self.run(task, run, key));
        runs.is_empty() || entries.any(|run| run.is_none_or(|run| !limit.includes(run, now)))
    }

    /// Latest time at which a run ends that a worker has or may still begin, provided that its lease
    /// is not extended.
    pub(super) fn latest_end(&self, key: WorkerKey) -> TimePoint {
        let limit = self.late_run_limit(key);
        let entry = &self.workers[key];
        let runs = entry.runs.keys();
        let runs = runs.filter_map(|&(task, run)| self.run(task, run, key));
        let ends = runs.filter_map(|run| limit.latest_end(run));
        ends.fold(entry.lease_end, TimePoint::max)
    }
}
