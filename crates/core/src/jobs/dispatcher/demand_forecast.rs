//! Forecast of the CPU that the known jobs and continued arrivals will use.
//!
//! Load pattern: demand that rises faster than instances can move between pools. The steps of the
//! known jobs show most of the demand at the time at which an instance ordered now arrives.

use std::collections::HashMap;
use std::time::Duration;

use super::JobDispatcher;
use crate::ids::PoolName;
use crate::jobs::estimate_ratio::EstimateRatio;
use crate::jobs::job_entry::{JobEntry, OccurrenceEntry, StepEntry};
use crate::jobs::run_entry::RunEntry;
use crate::jobs::{JobOrder, StepSpec};
use crate::time::TimePoint;

/// Minimum progress from which the remaining run time is extrapolated, in percent.
const MIN_PROGRESS: f64 = 10.0;

/// Remaining run time of a task that has exceeded its estimate, as a fraction of the estimate.
const OVERRUN_FRACTION: f64 = 0.3;

impl JobDispatcher {
    /// Adds up the CPU that the batch tasks of the known jobs will use after `horizon`, by pool, in
    /// thousandths of a core. Waiting tasks are assumed to run then.
    pub(super) fn forecast_known(
        &self,
        horizon: Duration,
        now: TimePoint,
    ) -> HashMap<&PoolName, u64> {
        let mut expected: HashMap<&PoolName, u64> = HashMap::new();
        let default_ratio = EstimateRatio::default();
        for job in self.jobs.values().filter(|job| !job.phase.is_final()) {
            let Some(pool) = self.pool_of(&job.order.queue) else {
                continue;
            };
            let ratio = self.estimate_ratios.get(pool).unwrap_or(&default_ratio);
            let total = expected.entry(pool).or_default();
            for occurrence in job.due() {
                let cpu = occurrence_use(job, occurrence, ratio, horizon, now);
                *total = total.saturating_add(cpu);
            }
        }
        expected
    }
}

/// CPU that the batch tasks of an occurrence will use after `horizon`.
fn occurrence_use(
    job: &JobEntry,
    occurrence: &OccurrenceEntry,
    ratio: &EstimateRatio,
    horizon: Duration,
    now: TimePoint,
) -> u64 {
    let mut ends: Vec<Duration> = Vec::with_capacity(occurrence.steps.len());
    let mut used: u64 = 0;
    for (entry, spec) in occurrence.steps.iter().zip(&job.order.steps) {
        if spec.is_lasting || entry.remaining == 0 {
            ends.push(Duration::ZERO);
            continue;
        }
        let estimate = ratio.apply_to_time(spec.estimate);
        let start = spec.earliest_start(&ends);
        if start.is_zero() {
            let (cpu, end) = ready_step_use(entry, spec, estimate, horizon, now);
            used = used.saturating_add(cpu);
            ends.push(end);
        } else {
            let end = start.saturating_add(estimate);
            if start <= horizon && horizon < end {
                used = used.saturating_add(total_cpu(spec));
            }
            ends.push(end);
        }
    }
    used
}

/// CPU that the tasks of a step that may start will use after `horizon`, and the time until the
/// last of them ends.
fn ready_step_use(
    entry: &StepEntry,
    spec: &StepSpec,
    estimate: Duration,
    horizon: Duration,
    now: TimePoint,
) -> (u64, Duration) {
    let cpu = spec.worker_amount().cpu_millis;
    let mut used: u64 = 0;
    let mut end = Duration::ZERO;
    for task in entry.tasks.iter().filter(|task| !task.is_done) {
        let Some(run) = task.runs.first() else {
            used = used.saturating_add(cpu);
            end = end.max(estimate);
            continue;
        };
        let remaining = remaining_time(run, estimate, now);
        if remaining > horizon {
            used = used.saturating_add(cpu);
        }
        end = end.max(remaining);
    }
    (used, end)
}

/// Expected remaining time of a run, from its progress if it is known well enough.
pub(super) fn remaining_time(run: &RunEntry, estimate: Duration, now: TimePoint) -> Duration {
    if run.percent >= MIN_PROGRESS && run.progressed > run.since {
        let per_percent = run.progressed.since(run.since).as_secs_f64() / run.percent;
        let left = Duration::from_secs_f64(per_percent * (100.0 - run.percent).max(0.0));
        return left.saturating_sub(now.since(run.progressed));
    }
    let left = estimate.saturating_sub(now.since(run.since));
    left.max(estimate.mul_f64(OVERRUN_FRACTION))
}

/// Work that the batch tasks of a job do within `horizon` of its arrival if none of them waits, in
/// core milliseconds.
pub(super) fn early_work(order: &JobOrder, horizon: Duration) -> u64 {
    let mut ends: Vec<Duration> = Vec::with_capacity(order.steps.len());
    let mut work: u64 = 0;
    for spec in &order.steps {
        let start = spec.earliest_start(&ends);
        ends.push(start.saturating_add(spec.estimate));
        if spec.is_lasting || start >= horizon {
            continue;
        }
        let time = spec.estimate.min(horizon - start);
        let time = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        work = work.saturating_add(total_cpu(spec).saturating_mul(time) / 1_000);
    }
    work
}

/// CPU of all tasks of a step, in thousandths of a core. It saturates, since declarations are not
/// bounded.
fn total_cpu(spec: &StepSpec) -> u64 {
    let cpu = spec.worker_amount().cpu_millis;
    cpu.saturating_mul(u64::from(spec.count))
}
