//! Load of the pools.

use std::collections::BTreeMap;

use super::JobDispatcher;
use crate::ids::PoolName;
use crate::jobs::PoolLoad;
use crate::time::TimePoint;

impl JobDispatcher {
    /// Average processor of the listed workers, in thousandths of a core.
    #[must_use]
    pub fn worker_capacity(&self) -> u64 {
        let listed = self.workers.values().filter(|entry| entry.is_listed);
        let (count, sum) = listed.fold((0, 0), |(count, sum), entry| {
            (count + 1, sum + entry.report.capacity.cpu_millis)
        });
        sum / u64::max(count, 1)
    }

    /// Load of each pool that has workers or waiting tasks.
    #[must_use]
    pub fn loads(&self, now: TimePoint) -> BTreeMap<PoolName, PoolLoad> {
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
                    load.lasting += cpu;
                } else {
                    load.ending += cpu;
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
        }
        loads
    }
}
