//! Speculative copies of tasks whose run is slow or may be lost.
//!
//! Load pattern: a rack fails or a worker is slow at the peak of a surge. Tasks of a step that
//! allows copies start again without waiting until the lease of the lost worker expires.

use std::time::Duration;

use super::JobDispatcher;
use crate::ids::PoolName;
use crate::jobs::StepSpec;
use crate::jobs::job_entry::StepEntry;
use crate::jobs::run_entry::{RunEntry, RunState};
use crate::jobs::task_entry::TaskEntry;
use crate::time::TimePoint;

/// Maximum number of concurrent runs of a task.
const MAX_RUNS: usize = 2;

/// A run is slow if its remaining time exceeds this multiple of the expected run time. A copy takes
/// the expected run time and so ends well before such a run.
const SLOW_FACTOR: f64 = 2.0;

/// Minimum number of runs of a step from which the expected run time is derived. With fewer runs,
/// the declared estimate is more accurate.
const MIN_SAMPLES: usize = 3;

/// Minimum progress, in percent, from which the total time of a run is projected.
const MIN_PERCENT: f64 = 2.0;

/// Minimum age of a run that can count as slow.
const MIN_AGE: Duration = Duration::from_millis(500);

impl JobDispatcher {
    /// Whether a copy of a task should start, because all its runs are slow or on unresponsive
    /// workers.
    ///
    /// `expected` is the expected run time of the step's tasks.
    pub(super) fn needs_copy(&self, task: &TaskEntry, expected: Duration, now: TimePoint) -> bool {
        !task.is_done
            && !task.runs.is_empty()
            && task.runs.len() < MAX_RUNS
            && task
                .runs
                .iter()
                .all(|run| self.workers[run.worker].is_unresponsive || is_slow(run, expected, now))
    }

    /// Returns the expected run time of a step's tasks, or `None` if the step allows no copies.
    ///
    /// This is the median over the ended runs and the projected times of the current runs. With too
    /// few of them, it is [`Self::estimated_time`].
    pub(super) fn expected_run_time(
        &self,
        step: &StepEntry,
        spec: &StepSpec,
        pool: &PoolName,
    ) -> Option<Duration> {
        if !spec.allows_copies || spec.is_gang || spec.is_lasting {
            return None;
        }
        let runs = step.tasks.iter().flat_map(|task| &task.runs);
        let mut run_times: Vec<Duration> = runs.filter_map(projected_time).collect();
        run_times.extend(&step.run_times);
        if run_times.len() >= MIN_SAMPLES {
            run_times.sort_unstable();
            return Some(run_times[run_times.len() / 2]);
        }
        Some(self.estimated_time(spec, pool))
    }

    /// Returns the declared run time of a step's tasks, corrected by the ratio of actual to estimated
    /// run times in the pool.
    pub(super) fn estimated_time(&self, spec: &StepSpec, pool: &PoolName) -> Duration {
        let ratio = self.estimate_ratios.get(pool);
        ratio.map_or(spec.estimate, |ratio| ratio.apply_to_time(spec.estimate))
    }
}

/// Projects the total time of a run from its progress; `None` while there is too little progress.
pub(super) fn projected_time(run: &RunEntry) -> Option<Duration> {
    let has_progress = run.state == RunState::Running && run.percent >= MIN_PERCENT;
    let spent = run.progressed.since(run.since);
    has_progress.then(|| spent.mul_f64(100.0 / run.percent))
}

/// Whether the remaining time of a run is much longer than the expected run time.
fn is_slow(run: &RunEntry, expected: Duration, now: TimePoint) -> bool {
    let age = now.since(run.since);
    if run.state != RunState::Running || age < MIN_AGE {
        return false;
    }
    let limit = expected.mul_f64(SLOW_FACTOR);
    projected_time(run).map_or(age > limit, |total| total.saturating_sub(age) > limit)
}
