//! Copies of tasks whose run may be lost or is slow.
//!
//! Load pattern: a lost rack, or a slow worker, at the peak of a surge. A step that allows copies
//! need not wait until the lease of a lost worker has passed.

use std::time::Duration;

use super::JobDispatcher;
use crate::ids::PoolName;
use crate::jobs::StepSpec;
use crate::jobs::job_entry::StepEntry;
use crate::jobs::run_entry::{RunEntry, RunState};
use crate::jobs::task_entry::TaskEntry;
use crate::time::TimePoint;

/// Runs that a task has at most at the same time.
const MAX_RUNS: usize = 2;

/// Multiple of the usual time beyond which the time that a run still needs makes it slow. A copy
/// takes the usual time, so that it ends well before.
const SLOW_FACTOR: f64 = 2.0;

/// Least number of runs of a step whose progress says more of its usual time than its estimate.
const LEAST_PEERS: usize = 3;

/// Least progress, in percent, from which the time of a run is projected.
const LEAST_PERCENT: f64 = 2.0;

/// Least age of a run that is taken for a slow one.
const LEAST_AGE: Duration = Duration::from_millis(500);

impl JobDispatcher {
    /// Whether a copy of a task is of use.
    ///
    /// `usual` is the time that tasks of its step take.
    pub(super) fn needs_copy(&self, task: &TaskEntry, usual: Duration, now: TimePoint) -> bool {
        !task.is_done
            && !task.runs.is_empty()
            && task.runs.len() < MAX_RUNS
            && task
                .runs
                .iter()
                .all(|run| self.workers[run.worker].is_unresponsive || is_slow(run, usual, now))
    }

    /// Time that the tasks of a step take: the median of its ended runs and, by their progress, of
    /// the others, or its estimate as far as estimates of the pool hold. None if the step allows no
    /// copies.
    pub(super) fn usual_time(
        &self,
        step: &StepEntry,
        spec: &StepSpec,
        pool: &PoolName,
    ) -> Option<Duration> {
        if !spec.allows_copies || spec.is_gang || spec.is_lasting {
            return None;
        }
        let runs = step.tasks.iter().flat_map(|task| &task.runs);
        let mut totals: Vec<Duration> = runs.filter_map(projected_time).collect();
        totals.extend(&step.run_times);
        if totals.len() >= LEAST_PEERS {
            totals.sort_unstable();
            return Some(totals[totals.len() / 2]);
        }
        let ratio = self.ratios.get(pool);
        Some(ratio.map_or(spec.estimate, |ratio| ratio.apply_to_time(spec.estimate)))
    }
}

/// Time that a run takes in all, judged by its progress; none while it has made too little.
fn projected_time(run: &RunEntry) -> Option<Duration> {
    let is_telling = run.state == RunState::Running && run.percent >= LEAST_PERCENT;
    let spent = run.progressed.since(run.since);
    is_telling.then(|| spent.mul_f64(100.0 / run.percent))
}

/// Whether a run needs much longer than usual from now on.
fn is_slow(run: &RunEntry, usual: Duration, now: TimePoint) -> bool {
    let age = now.since(run.since);
    if run.state != RunState::Running || age < LEAST_AGE {
        return false;
    }
    let limit = usual.mul_f64(SLOW_FACTOR);
    projected_time(run).map_or(age > limit, |total| total.saturating_sub(age) > limit)
}
