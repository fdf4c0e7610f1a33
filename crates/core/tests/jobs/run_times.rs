use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use compact_str::{CompactString, format_compact};
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
    policy: DispatchPolicy,
    /// Times and workers of the first starts.
    pub first_starts: BTreeMap<TaskName, (u64, usize)>,
}

impl JobWorld {
    /// Makes tasks run for their declared times, off by at most `error`, and off their preferred
    /// rack for `factor` times as long, which the dispatcher knows if `has_waits`. `racks` are the
    /// numbers of workers of the racks.
    pub fn with_racks(mut self, racks: &[usize], factor: f64, error: f64, has_waits: bool) -> Self {
        self.run_times.spread_factor = Some(factor);
        self.run_times.error = error;
        self.run_times.policy.spread_factor = if has_waits { factor } else { 1.0 };
        let labels = racks.iter().enumerate();
        let labels = labels.flat_map(|(rack, count)| vec![format_compact!("rack-{rack}"); *count]);
        for (worker, label) in self.workers.iter_mut().zip(labels) {
            worker.report.labels = vec![label];
        }
        self.dispatcher = self.next_dispatcher();
        self.list_workers();
        self
    }

    /// Returns the dispatcher of the present epoch, without jobs and workers.
    pub(super) fn next_dispatcher(&self) -> JobDispatcher {
        let policy = self.run_times.policy.clone();
        JobDispatcher::new(policy, Arc::clone(&self.rules), self.epoch, at(self.now))
    }

    /// Rack of a worker.
    pub fn rack(&self, index: usize) -> &CompactString {
        self.workers[index].report.labels.last().unwrap()
    }

    /// Returns the run time of a task in milliseconds: `random` unless run times are declared.
    pub(super) fn run_length(&mut self, index: usize, order: &StartOrder, random: u64) -> u64 {
        let starts = &mut self.run_times.first_starts;
        starts.entry(order.task).or_insert((self.now, index));
        let Some(factor) = self.run_times.spread_factor else {
            return random;
        };
        let spec = self.step_of(order.task);
        let near = spec.data_rack.as_ref();
        let is_far = near.is_some_and(|rack| rack != self.rack(index));
        // The same error wherever the task runs.
        let seed = order.task.step.job.0 * 100 + u64::from(order.task.index);
        let error = Pcg64Mcg::seed_from_u64(seed).random_range(-1.0..=1.0);
        let share = 1.0 + self.run_times.error * error;
        let time = spec
            .estimate
            .mul_f64(if is_far { share * factor } else { share });
        u64::try_from(time.as_millis()).unwrap().max(1)
    }
}

/// A job of `count` tasks that run for `millis` on `rack` and for longer elsewhere.
pub fn near_job(count: u16, cpu_millis: u64, millis: u64, rack: usize) -> JobOrder {
    let mut spec = step(count, cpu_millis);
    spec.estimate = Duration::from_millis(millis);
    spec.data_rack = Some(format_compact!("rack-{rack}"));
    job(vec![spec])
}

/// First task of a job.
pub fn first_task(job: JobId) -> TaskName {
    let (occurrence, step) = (0, 0);
    let step = StepName {
        job,
        occurrence,
        step,
    };
    step.task(0)
}
