//! Starts without an answer that were meant for the former life of a worker. Until its new life has
//! answered once, and so refuses calls by earlier links, it may carry them out late and run the task
//! for the longest lease from then on, whatever lease the order named: its clock is another one.

use std::time::Duration;

use super::JobDispatcher;
use crate::jobs::WorkerKey;
use crate::jobs::run_entry::RunEntry;
use crate::time::TimePoint;

/// Tells which starts the new life of a worker may still carry out, or run.
#[derive(Debug, Clone, Copy)]
pub(super) struct LateStartLimit {
    /// Current link to the worker if it has not been answered yet.
    open_link: Option<u64>,
    /// Starts that were given up before this time have ended, if they have been carried out at all.
    given_up_since: TimePoint,
}

impl LateStartLimit {
    pub(super) fn includes(&self, run: &RunEntry) -> bool {
        let is_superseded = self.open_link.is_some_and(|link| run.link < link);
        let given_up = run.given_up;
        is_superseded
            && !run.is_confirmed
            && given_up.is_some_and(|given_up| given_up > self.given_up_since)
    }
}

impl JobDispatcher {
    pub(super) fn late_start_limit(&self, key: WorkerKey, now: TimePoint) -> LateStartLimit {
        let entry = &self.workers[key];
        LateStartLimit {
            open_link: entry.list_requested.is_none().then_some(entry.link),
            given_up_since: now.before(self.late_start_time()),
        }
    }

    /// Time after which a start that was given up can neither begin nor run any more.
    fn late_start_time(&self) -> Duration {
        let lease = self.policy.max_lease;
        let lease = self.policy.longest_lease(lease, Duration::ZERO);
        self.policy.max_call_delay.saturating_add(lease)
    }

    /// Whether a worker whose lease has expired has runs that have ended, or nothing that may still
    /// begin.
    pub(super) fn has_expired_run(&self, key: WorkerKey, now: TimePoint) -> bool {
        let limit = self.late_start_limit(key, now);
        let runs = &self.workers[key].runs;
        let mut entries = runs.keys().map(|&(task, run)| self.run(task, run, key));
        runs.is_empty() || entries.any(|run| run.is_none_or(|run| !limit.includes(run)))
    }

    /// Latest time at which a run ends that a worker has or may still begin, provided that its lease
    /// is not extended.
    pub(super) fn latest_end(&self, key: WorkerKey, now: TimePoint) -> TimePoint {
        let limit = self.late_start_limit(key, now);
        let entry = &self.workers[key];
        let runs = entry.runs.keys();
        let runs = runs.filter_map(|&(task, run)| self.run(task, run, key));
        let late = runs.filter(|run| limit.includes(run));
        let ends = late.filter_map(|run| Some(run.given_up?.after(self.late_start_time())));
        ends.fold(entry.lease_end, TimePoint::max)
    }
}
