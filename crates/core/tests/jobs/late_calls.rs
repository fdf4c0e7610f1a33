use sesamedeal_core::jobs::{EndKind, StartOrder};

use super::sim_worker::LONGEST_LEASE;
use super::{JobWorld, SimRun};

impl JobWorld {
    /// Fence number of calls to a worker.
    pub fn fence(&self, index: usize) -> u64 {
        let key = self.workers[index].key.expect("the worker is listed");
        self.dispatcher.fence(key)
    }

    /// Carries out a hold call that was meant for the former life of a worker. The end of its lease
    /// is far in the future of the worker's clock.
    pub fn late_hold(&mut self, index: usize, fence: u64, stored_end: u64) {
        let now = self.now;
        let worker = &mut self.workers[index];
        if fence < worker.fence {
            return;
        }
        worker.fence = fence;
        for run in worker.running.values_mut() {
            run.lease_end = run.lease_end.max(now + LONGEST_LEASE);
        }
        self.acknowledge(index, stored_end);
    }

    /// Lets a worker forget its ends up to a number.
    pub(super) fn acknowledge(&mut self, index: usize, stored_end: u64) {
        let ended = std::mem::take(&mut self.workers[index].ended);
        let (stored, open): (Vec<_>, Vec<_>) =
            ended.into_iter().partition(|end| end.number <= stored_end);
        self.workers[index].ended = open;
        for end in stored {
            match end.kind {
                // A lasting task is started again, however it ends.
                EndKind::Done if !self.step_of(end.task).is_lasting => {
                    self.acknowledged_done.insert(end.task);
                }
                EndKind::Failed => {
                    *self.acknowledged_failures.entry(end.task).or_default() += 1;
                }
                _ => {}
            }
        }
    }

    /// Carries out a start order that was meant for the former life of a worker.
    pub fn late_start(&mut self, index: usize, fence: u64, order: &StartOrder) {
        let worker = &mut self.workers[index];
        let highest = worker.highest_runs.get(&order.task);
        if fence < worker.fence || highest.is_some_and(|run| order.run <= *run) {
            return;
        }
        worker.fence = fence;
        self.check_start(index, order);
        let run = SimRun {
            started: self.now,
            ends: u64::MAX,
            lease_end: self.now + LONGEST_LEASE,
            fails: false,
            is_alone: false,
        };
        let id = (order.task, order.run);
        self.workers[index].running.insert(id, run);
        self.starts += 1;
    }
}
