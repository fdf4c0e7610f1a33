use std::sync::Arc;

use sesamedeal_core::ids::PoolName;
use sesamedeal_core::jobs::{EndKind, FleetRules};

use super::{JobWorld, at};

impl JobWorld {
    /// Sends the jobs to another pool.
    pub fn move_queue(&mut self, pool: &str) {
        let mut rules = FleetRules::clone(&self.rules);
        for rule in rules.queues.values_mut() {
            rule.pool = PoolName::new(pool);
        }
        self.rules = Arc::new(rules);
        self.dispatcher.set_rules(Arc::clone(&self.rules));
    }

    /// Starts a worker again under its name. It knows nothing of before.
    pub fn restart(&mut self, index: usize) {
        let worker = &mut self.workers[index];
        worker.report.boot += 1;
        worker.running.clear();
        worker.ended.clear();
        worker.next_end = 1;
        worker.fence = 0;
        worker.highest_runs.clear();
    }

    /// Replaces the dispatcher by that of a new owner, which loads the stored jobs.
    pub fn take_over(&mut self) {
        self.epoch += 1;
        let published = self.published.clone();
        let mut next = self.next_dispatcher().with_unreachable_workers(published);
        if let Some((start, end)) = self.outage {
            next = next.with_outage(at(start), at(end));
        }
        self.dispatcher = next;
        for worker in &mut self.workers {
            worker.key = None;
        }
        for (id, (order, record)) in &self.stored {
            let record = record.clone();
            self.dispatcher
                .add_job(*id, order.clone(), record, true, at(self.now));
        }
        self.list_workers();
        self.read_inventory();
    }

    /// Reports to the dispatcher which workers are up.
    pub fn read_inventory(&mut self) {
        let reports = self.workers.iter().map(|worker| &worker.report);
        let up = reports.map(|report| (report.name.clone(), report.pool.clone()));
        self.dispatcher.note_inventory(up.collect());
    }

    /// Records the tasks that are done, whether or not the dispatcher has a report of them.
    pub(super) fn record_done_tasks(&mut self) {
        for worker in &self.workers {
            for end in worker.ended.iter().filter(|end| end.kind == EndKind::Done) {
                self.done_tasks.insert(end.task);
            }
        }
    }
}
