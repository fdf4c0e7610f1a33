//! Work that is left of a job, with the run times that the pool's ratio corrects.

use std::time::Duration;

use super::JobDispatcher;
use super::demand_forecast::remaining_time;
use super::overload_demand::DemandGroup;
use crate::jobs::job_entry::{JobEntry, OccurrenceEntry};
use crate::jobs::overload_plan::PlanStage;
use crate::time::TimePoint;

/// What is left to do of an occurrence of a job.
#[derive(Debug, Default)]
pub(super) struct LeftWork {
    pub stages: Vec<PlanStage>,
    /// Remaining critical path, in milliseconds.
    pub path_ms: u64,
    /// Work of the waiting tasks, in core milliseconds.
    pub waiting: u64,
    /// Work left in the running tasks, in core milliseconds.
    pub running: u64,
}

impl JobDispatcher {
    /// Returns what is left of an occurrence, and counts its runs for its pool and team.
    pub(super) fn left_work(
        &self,
        job: &JobEntry,
        occurrence: &OccurrenceEntry,
        (pool, mut team): (&mut DemandGroup, Option<&mut DemandGroup>),
        now: TimePoint,
    ) -> LeftWork {
        let mut left = LeftWork::default();
        let mut tails: Vec<u64> = vec![0; occurrence.steps.len()];
        let steps = occurrence.steps.iter().zip(&job.order.steps).enumerate();
        for (number, (entry, spec)) in steps.rev() {
            if entry.remaining == 0 {
                continue;
            }
            let cpu = spec.worker_amount().cpu_millis;
            let estimate = pool.ratio.apply_to_time(spec.estimate);
            let time_ms = whole_millis(estimate);
            let mut waiting: u64 = 0;
            let mut longest = 0;
            let ready = u16::try_from(number).unwrap_or(u16::MAX);
            let is_ready = job.is_step_ready(occurrence.number, ready);
            if !is_ready {
                // None of its tasks has begun.
                waiting = u64::try_from(entry.remaining).unwrap_or(u64::MAX);
            }
            let open = entry.tasks.iter().filter(|task| is_ready && !task.is_done);
            for task in open {
                if task.runs.is_empty() {
                    waiting += 1;
                }
                for run in &task.runs {
                    if spec.is_lasting || spec.is_filler {
                        if self.workers[run.worker].is_usable(now) {
                            pool.add_lasting(cpu);
                        }
                        if let Some(team) = &mut team {
                            team.add_lasting(spec.amount.cpu_millis);
                        }
                        continue;
                    }
                    let run_left = whole_millis(remaining_time(run, estimate, now));
                    longest = longest.max(run_left);
                    let work = cpu.saturating_mul(run_left) / 1_000;
                    left.running = left.running.saturating_add(work);
                    if self.workers[run.worker].is_usable(now) {
                        pool.add_run(cpu, run_left, time_ms);
                    }
                    if let Some(team) = &mut team {
                        team.add_run(cpu, run_left, time_ms);
                    }
                }
            }
            if waiting > 0 && !spec.is_lasting {
                longest = time_ms;
            }
            tails[number] = tails[number].saturating_add(longest);
            left.path_ms = left.path_ms.max(tails[number]);
            for &earlier in &spec.after {
                let tail = tails[number];
                if let Some(earlier) = tails.get_mut(usize::from(earlier)) {
                    *earlier = tail.max(*earlier);
                }
            }
            if waiting > 0 && !spec.is_lasting && cpu > 0 {
                let cpu = cpu.saturating_mul(waiting);
                pool.add_tasks(cpu, time_ms);
                if let Some(team) = &mut team {
                    team.add_tasks(cpu, time_ms);
                }
                let work = cpu.saturating_mul(time_ms) / 1_000;
                left.waiting = left.waiting.saturating_add(work);
                left.stages.push(PlanStage {
                    tail_ms: i64::try_from(tails[number]).unwrap_or(i64::MAX),
                    work,
                });
            }
        }
        left
    }
}

fn whole_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
