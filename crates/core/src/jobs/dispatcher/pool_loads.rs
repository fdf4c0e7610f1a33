//! Load of the pools, from which their target sizes are derived.

use std::collections::BTreeMap;
use std::time::Duration;

use super::JobDispatcher;
use crate::ids::{PoolName, QueueName};
use crate::jobs::{JobOrder, PoolLoad};
use crate::time::TimePoint;

/// Window over which arriving work is summed.
const ARRIVAL_WINDOW: Duration = Duration::from_secs(1);

/// Short window over which arriving work is summed. In a surge, arrivals double in less time than
/// this.
const RECENT_WINDOW: Duration = Duration::from_millis(400);

/// Work of a job that has arrived.
#[derive(Debug, Clone)]
pub(super) struct WorkArrival {
    pub at: TimePoint,
    pub queue: QueueName,
    /// Estimated work of the batch tasks, in core milliseconds.
    pub work: u64,
}

impl JobDispatcher {
    /// Records the work of a job that arrived at `at`.
    pub(super) fn note_arrival(&mut self, order: &JobOrder, at: TimePoint) {
        let steps = order.steps.iter().filter(|step| !step.is_lasting);
        let work = steps.map(|step| {
            let estimate = u64::try_from(step.estimate.as_millis()).unwrap_or(u64::MAX);
            let cpu = step.worker_amount().cpu_millis;
            u64::from(step.count)
                .saturating_mul(cpu)
                .saturating_mul(estimate)
                / 1_000
        });
        let work = work.sum();
        while self
            .recent_arrivals
            .front()
            .is_some_and(|first| at.since(first.at) > ARRIVAL_WINDOW)
        {
            self.recent_arrivals.pop_front();
        }
        self.recent_arrivals.push_back(WorkArrival {
            at,
            queue: order.queue.clone(),
            work,
        });
    }

    /// Returns the average processor capacity of the listed workers, in thousandths of a core.
    #[must_use]
    pub fn worker_capacity(&self) -> u64 {
        let listed = self.workers.values().filter(|entry| entry.is_listed);
        let (count, sum) = listed.fold((0, 0), |(count, sum), entry| {
            (count + 1, sum + entry.report.capacity.cpu_millis)
        });
        sum / u64::max(count, 1)
    }

    /// Returns the load of each pool that has listed workers or waiting tasks.
    #[must_use]
    pub fn pool_loads(&self, now: TimePoint) -> BTreeMap<PoolName, PoolLoad> {
        let mut loads: BTreeMap<PoolName, PoolLoad> = BTreeMap::new();
        for entry in self.workers.values().filter(|entry| entry.is_listed) {
            let load = loads.entry(entry.report.pool.clone()).or_default();
            load.workers += 1;
            load.usable += usize::from(entry.is_usable(now));
            load.capacity += entry.report.capacity.cpu_millis;
            for (task, _) in entry.runs.keys() {
                let job = &self.jobs[&task.step.job];
                let spec = &job.order.steps[usize::from(task.step.step)];
                let cpu = spec.worker_amount().cpu_millis;
                if spec.is_lasting {
                    load.long_running += cpu;
                } else {
                    load.batch += cpu;
                }
            }
        }
        for arrival in &self.recent_arrivals {
            if now.since(arrival.at) <= ARRIVAL_WINDOW {
                let pool = self.pool_of(&arrival.queue);
                let load = pool.and_then(|pool| loads.get_mut(pool));
                if let Some(load) = load {
                    load.arriving += arrival.work;
                    load.arrivals += usize::from(arrival.work > 0);
                    if now.since(arrival.at) <= RECENT_WINDOW {
                        load.arriving_now += per_second(arrival.work);
                    }
                }
            }
        }
        for step in self.waiting_steps(now) {
            let job = &self.jobs[&step.name.job];
            let spec = &job.order.steps[usize::from(step.name.step)];
            let tasks = u64::try_from(step.indexes.len()).unwrap_or(u64::MAX);
            let estimate = u64::try_from(spec.estimate.as_millis()).unwrap_or(u64::MAX);
            let cpu = tasks.saturating_mul(spec.worker_amount().cpu_millis);
            let load = loads.entry(step.pool).or_default();
            load.waiting += cpu;
            load.backlog += cpu.saturating_mul(estimate) / 1_000;
            load.waiting_tasks += step.indexes.len();
            if spec.is_lasting {
                load.waiting_long_running += step.indexes.len();
            }
        }
        for (pool, load) in &mut loads {
            if let Some(ratio) = self.estimate_ratios.get(pool) {
                load.arriving = ratio.apply(load.arriving);
                load.arriving_now = ratio.apply(load.arriving_now);
                load.backlog = ratio.apply(load.backlog);
            }
        }
        loads
    }
}

/// Extrapolates work that arrived within [`RECENT_WINDOW`] to one second.
fn per_second(work: u64) -> u64 {
    let window = u64::try_from(RECENT_WINDOW.as_millis()).unwrap_or(u64::MAX);
    work.saturating_mul(1_000) / window
}
