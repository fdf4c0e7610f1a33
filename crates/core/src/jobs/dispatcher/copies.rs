//! Copies of tasks whose run may be lost or is slow.
//!
//! Load pattern: a lost rack, or a slow worker, at the peak of a surge. A step that allows copies
//! need not wait until the lease of a lost worker has passed.

use std::time::Duration;

use super::JobDispatcher;
use crate::jobs::StepSpec;
use crate::jobs::run_entry::{RunEntry, RunState};
use crate::jobs::task_entry::TaskEntry;
use crate::time::TimePoint;

/// Runs that a task has at most at the same time.
const MAX_RUNS: usize = 2;

/// Multiple of the estimate beyond which the time that a run still needs makes it slow. Estimates
/// are off by up to a factor of two.
const SLOW_FACTOR: f64 = 2.0;

/// Least progress, in percent, from which the time of a run is projected.
const LEAST_PERCENT: f64 = 2.0;

/// Least age of a run that is taken for a slow one.
const LEAST_AGE: Duration = Duration::from_millis(500);

impl JobDispatcher {
    /// Whether a copy of a task is of use.
    pub(super) fn needs_copy(&self, task: &TaskEntry, spec: &StepSpec, now: TimePoint) -> bool {
        let is_allowed = spec.allows_copies && !spec.is_gang && !spec.is_lasting;
        is_allowed
            && !task.is_done
            && !task.runs.is_empty()
            && task.runs.len() < MAX_RUNS
            && task
                .runs
                .iter()
                .all(|run| self.workers[run.worker].is_silent || is_slow(run, spec, now))
    }
}

/// Whether a run needs much longer than its estimate from now on, judged by its progress.
fn is_slow(run: &RunEntry, spec: &StepSpec, now: TimePoint) -> bool {
    if run.state != RunState::Running || now.since(run.since) < LEAST_AGE {
        return false;
    }
    let spent = run.progressed.since(run.since);
    if run.percent < LEAST_PERCENT {
        return spec.estimate.mul_f64(SLOW_FACTOR) < now.since(run.since);
    }
    let total = spent.mul_f64(100.0 / run.percent);
    total.saturating_sub(now.since(run.since)) > spec.estimate.mul_f64(SLOW_FACTOR)
}
