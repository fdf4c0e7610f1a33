use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sesamedeal_core::jobs::{
    DispatchPolicy, JobDispatcher, JobId, JobOrder, StartOrder, StepName, TaskName,
};

use super::{JobWorld, at, job, step};

/// Run times that depend on the declared ones and on the rack.
#[derive(Debug, Default)]
pub struct RunTimes {
    /// Multiple of the run time off the preferred rack; none if run times are random.
    spread_factor: Option<f64>,
    /// Greatest error of a declared run time, as a share of it.
    error: f64,
    /// Whether the dispatcher knows the spread factor.
    has_waits: bool,
    /// Times and workers of the first starts.
    pub first_starts: BTreeMap<TaskName, (u64, usize)>,
}

impl JobWorld {
    /// Makes tasks run for their declared times, off by at most `error`, and off their preferred
    /// rack for `factor` times as long. `racks` are the numbers of workers of the racks.
    pub fn with_racks(mut self, racks: &[usize], factor: f64, error: f64, has_waits: bool) -> Self {
        self.run_times = RunTimes {
            spread_factor: Some(factor),
            error,
            has_waits,
            first_starts: BTreeMap::new(),
        };
        let labels = racks.iter().enumerate();
        let labels = labels.flat_map(|(rack, count)| vec![rack_name(rack); *count]);
        for (worker, label) in self.workers.iter_mut().zip(labels) {
            worker.report.labels = vec![label];
        }
        self.dispatcher = self.next_dispatcher();
        self.list_workers();
        self
    }

    /// Returns the dispatcher of the present epoch, without jobs and workers.
    pub(super) fn next_dispatcher(&self) -> JobDispatcher {
        let mut policy = DispatchPolicy::default();
        if self.run_times.has_waits {
            policy.spread_factor = self.run_times.spread_factor.unwrap_or(1.0);
        }
        JobDispatcher::new(policy, Arc::clone(&self.rules), self.epoch, at(self.now))
    }

    /// Rack of a worker.
    pub fn rack(&self, index: usize) -> &CompactString {
        self.workers[index].report.labels.last().unwrap()
    }

    /// Returns the run time of a task in milliseconds: `random` unless run times are declared.
    pub(super) fn run_length(&mut self, index: usize, order: &StartOrder, random: u64) -> u64 {
        let start = (self.now, index);
        let starts = &mut self.run_times.first_starts;
        starts.entry(order.task).or_insert(start);
        let Some(factor) = self.run_times.spread_factor else {
            return random;
        };
        let spec = self.step_of(order.task);
        let near = spec.data_rack.as_ref();
        let is_far = near.is_some_and(|rack| rack != self.rack(index));
        // The same with other placements.
        let seed = order.task.step.job.0 * 100 + u64::from(order.task.index);
        let error = self.run_times.error;
        let share = 1.0 + error * Pcg64Mcg::seed_from_u64(seed).random_range(-1.0..=1.0);
        let time = spec
            .estimate
            .mul_f64(if is_far { share * factor } else { share });
        u64::try_from(time.as_millis()).unwrap().max(1)
    }

    /// Slows the members of a gang down that is not on one rack.
    pub(super) fn slow_spread_gang(&mut self, order: &StartOrder) {
        let Some(factor) = self.run_times.spread_factor else {
            return;
        };
        if !self.step_of(order.task).prefers_one_rack {
            return;
        }
        let estimate = self.step_of(order.task).estimate.mul_f64(factor);
        let time = u64::try_from(estimate.as_millis()).unwrap();
        let is_member = |task: TaskName, run: u64| task.step == order.task.step && run == order.run;
        let has_member = |index: &usize| {
            let mut runs = self.workers[*index].running.keys();
            runs.any(|(task, run)| is_member(*task, *run))
        };
        let indexes: Vec<usize> = (0..self.workers.len()).filter(has_member).collect();
        let racks: HashSet<_> = indexes.iter().map(|index| self.rack(*index)).collect();
        if racks.len() < 2 {
            return;
        }
        for worker in indexes {
            for ((task, run), state) in &mut self.workers[worker].running {
                if is_member(*task, *run) {
                    state.ends = state.started + time;
                }
            }
        }
    }
}

/// Name of a rack.
fn rack_name(rack: usize) -> CompactString {
    CompactString::from(format!("rack-{rack}"))
}

/// A job of `count` tasks that run for `millis` on `rack` and for twice as long elsewhere.
pub fn near_job(count: u16, cpu_millis: u64, millis: u64, rack: usize) -> JobOrder {
    let mut spec = step(count, cpu_millis);
    spec.estimate = Duration::from_millis(millis);
    spec.data_rack = Some(rack_name(rack));
    job(vec![spec])
}

/// First task of a job.
pub fn first_task(id: JobId) -> TaskName {
    let step = StepName {
        job: id,
        occurrence: 0,
        step: 0,
    };
    step.task(0)
}
