//! Load of the pools, from which their target sizes are derived.

use std::collections::BTreeMap;
use std::time::Duration;

use super::JobDispatcher;
use super::demand_forecast::early_work;
use crate::ids::{PoolName, QueueName};
use crate::jobs::{JobOrder, PoolLoad};
use crate::time::TimePoint;

/// Times over which the rate of arrivals is taken; the highest rate counts. The short one detects
/// a rise soon, and the long one is accurate.
const RATE_WINDOWS: [Duration; 2] = [Duration::from_millis(600), LONGEST_WINDOW];

/// Longest of the times over which the rate of arrivals is taken.
const LONGEST_WINDOW: Duration = Duration::from_millis(1_500);

/// Job that has arrived.
#[derive(Debug, Clone)]
pub(super) struct WorkArrival {
    pub at: TimePoint,
    pub queue: QueueName,
    /// Estimated work of the batch tasks within the forecast horizon, in core milliseconds.
    pub early_work: u64,
}

impl JobDispatcher {
    /// Records a job that arrived at `at`.
    pub(super) fn note_arrival(&mut self, order: &JobOrder, at: TimePoint) {
        let early_work = early_work(order, self.policy.forecast_horizon);
        while self
            .recent_arrivals
            .front()
            .is_some_and(|first| at.since(first.at) > LONGEST_WINDOW)
        {
            self.recent_arrivals.pop_front();
        }
        if early_work > 0 {
            self.recent_arrivals.push_back(WorkArrival {
                at,
                queue: order.queue.clone(),
                early_work,
            });
        }
    }

    /// Returns the average processor capacity of the listed workers, in thousandths of a core.
    #[must_use]
    pub fn worker_capacity(&self) -> u64 {
        let listed = self.workers.values().filter(|entry| entry.is_listed);
        let (count, sum) = listed.fold((0, 0), |(count, sum), entry| {
            let capacity = entry.report.capacity.cpu_millis;
            (count + 1, u64::saturating_add(sum, capacity))
        });
        sum / u64::max(count, 1)
    }

    /// Returns the load of each pool that has listed workers or waiting tasks.
    #[must_use]
    pub fn pool_loads(&self, now: TimePoint) -> BTreeMap<PoolName, PoolLoad> {
        let mut loads: BTreeMap<PoolName, PoolLoad> = BTreeMap::new();
        for (key, entry) in self.workers.iter().filter(|(_, entry)| entry.is_listed) {
            let load = loads.entry(entry.report.pool.clone()).or_default();
            load.workers += 1;
            load.usable += usize::from(entry.is_usable(now));
            load.outdated += usize::from(!self.is_capacity_current(key, now));
            load.reserved += usize::from(self.reservations.contains(key));
            if entry.is_zone_evacuated {
                // The pool has no room there, and its tasks there need none elsewhere.
                load.evacuated += 1;
                continue;
            }
            load.capacity = load
                .capacity
                .saturating_add(entry.report.capacity.cpu_millis);
            for (task, _) in entry.runs.keys() {
                let job = &self.jobs[&task.step.job];
                let spec = &job.order.steps[usize::from(task.step.step)];
                let cpu = spec.worker_amount().cpu_millis;
                if spec.is_lasting {
                    load.long_running = load.long_running.saturating_add(cpu);
                } else {
                    load.batch = load.batch.saturating_add(cpu);
                }
            }
        }
        for step in self.waiting_steps(now) {
            let job = &self.jobs[&step.name.job];
            let spec = &job.order.steps[usize::from(step.name.step)];
            let tasks = u64::try_from(step.indexes.len()).unwrap_or(u64::MAX);
            let load = loads.entry(step.pool).or_default();
            let cpu = tasks.saturating_mul(spec.worker_amount().cpu_millis);
            load.waiting = load.waiting.saturating_add(cpu);
            load.waiting_tasks += step.indexes.len();
            if spec.is_lasting {
                load.waiting_long_running += step.indexes.len();
            }
        }
        let known = self.forecast_known(self.policy.forecast_horizon, now);
        for (pool, cpu) in known.into_iter().chain(self.forecast_arrivals(now)) {
            if let Some(load) = loads.get_mut(pool) {
                load.expected = load.expected.saturating_add(cpu);
            }
        }
        loads
    }

    /// CPU that jobs yet to arrive will use after the forecast horizon if the rate of arrivals
    /// continues, by pool.
    fn forecast_arrivals(&self, now: TimePoint) -> BTreeMap<&PoolName, u64> {
        let mut recent: BTreeMap<&PoolName, Vec<&WorkArrival>> = BTreeMap::new();
        for arrival in &self.recent_arrivals {
            if now.since(arrival.at) <= LONGEST_WINDOW
                && let Some(pool) = self.pool_of(&arrival.queue)
            {
                recent.entry(pool).or_default().push(arrival);
            }
        }
        let pools = recent.into_iter().map(|(pool, arrivals)| {
            let rates = RATE_WINDOWS.map(|window| {
                let counted = arrivals.iter();
                let counted = counted.filter(|arrival| now.since(arrival.at) <= window);
                let (count, work) = counted.fold((0_u64, 0_u64), |(count, work), arrival| {
                    (count + 1, work.saturating_add(arrival.early_work))
                });
                // A single arrival shows no rate.
                let work = if count > 1 { work } else { 0 };
                let window = u64::try_from(window.as_millis()).unwrap_or(u64::MAX);
                work.saturating_mul(1_000) / window
            });
            let cpu = rates.into_iter().max().unwrap_or_default();
            let ratio = self.estimate_ratios.get(pool);
            (pool, ratio.map_or(cpu, |ratio| ratio.apply(cpu)))
        });
        pools.collect()
    }
}
