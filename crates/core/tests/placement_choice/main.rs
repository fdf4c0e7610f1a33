//! Random planning rounds, compared with a plain choice of the best worker among all of a pool. Guards
//! against an index of workers that misses a worker, or prefers another one, after starts and gangs.

#[path = "../jobs/mod.rs"]
mod jobs;
mod plain_world;

use std::cmp::Reverse;

use jobs::at;
use plain_world::{NOW, PlainStep, PlainWorker, PlainWorld};
use sesamedeal_core::jobs::{TaskName, WorkerKey, WorkerOrder};

impl PlainWorld {
    /// Starts that the plain choice makes, in order.
    fn plain_starts(&mut self) -> Vec<(WorkerKey, TaskName)> {
        let mut starts = Vec::new();
        for step in &self.steps {
            let before = (self.workers.clone(), self.used.clone(), starts.len());
            for index in 0..step.spec.count {
                let limit = self.limits[step.team];
                let used = &mut self.used[step.team];
                let is_within = limit.is_zero()
                    || used.is_zero()
                    || used.cpu_millis + step.spec.amount.cpu_millis <= limit.cpu_millis;
                let best = best_worker(&self.workers, step).filter(|_| is_within);
                let Some(best) = best else {
                    if step.spec.is_gang {
                        (self.workers, self.used) = (before.0, before.1);
                        starts.truncate(before.2);
                    }
                    break;
                };
                *used += step.spec.amount;
                let worker = &mut self.workers[best];
                worker.used += step.spec.worker_amount();
                *worker.runs.entry(step.name).or_default() += 1;
                starts.push((worker.key, step.name.task(index)));
            }
        }
        starts
    }
}

/// Position of the best of all workers for a task of a step. The first of equal ones is the best.
fn best_worker(workers: &[PlainWorker], step: &PlainStep) -> Option<usize> {
    let spec = &step.spec;
    let room = |worker: &PlainWorker| worker.capacity.without(worker.used);
    let suitable = workers.iter().enumerate().filter(|(_, worker)| {
        let count = worker.runs.get(&step.name).copied().unwrap_or(0);
        let required = spec.required_label.as_ref();
        worker.pool == step.pool
            && spec.worker_amount().fits(room(worker))
            && required.is_none_or(|label| worker.labels.contains(label))
            && spec.max_per_worker.is_none_or(|max| count < max)
    });
    let best = suitable.min_by_key(|(position, worker)| {
        let rack = spec.data_rack.as_ref();
        let is_near = rack.is_some_and(|rack| worker.labels.contains(rack));
        let free = if spec.is_lasting {
            (room(worker).memory_mb, worker.capacity.memory_mb)
        } else {
            (room(worker).cpu_millis, worker.capacity.cpu_millis)
        };
        #[expect(clippy::cast_precision_loss, reason = "amounts are small")]
        let free = free.0 as f64 / free.1 as f64;
        let is_leaving = spec.is_lasting && worker.is_maintenance_due;
        let flags = (worker.is_on_trial, worker.is_cold, is_leaving);
        (flags, Reverse(is_near), free.to_bits(), *position)
    });
    best.map(|(position, _)| position)
}

#[test]
fn same_choice() {
    let (mut starts, mut rest) = (0, 0);
    for seed in 0..600 {
        let mut world = PlainWorld::new(seed);
        let tasks = world.steps.iter().map(|step| usize::from(step.spec.count));
        let tasks: usize = tasks.sum();
        let orders = world.dispatcher.plan(at(NOW), NOW);
        let orders = orders.into_iter().filter_map(|order| match order {
            WorkerOrder::Start(key, order) => Some((key, order.task)),
            _ => None,
        });
        let orders: Vec<(WorkerKey, TaskName)> = orders.collect();
        assert_eq!(orders, world.plain_starts(), "seed {seed}");
        starts += orders.len();
        rest += tasks - orders.len();
    }
    // Both are covered: tasks that find a worker, and tasks in a full pool or of a team at its limit.
    assert!(starts > 10_000 && rest > 10_000, "{starts} {rest}");
}
