use std::collections::BTreeSet;
use std::sync::Arc;

use sesamedeal_core::ids::PoolName;
use sesamedeal_core::jobs::{EndKind, FleetRules, JobId, UnreadPartitions};

use super::{JobWorld, at};

/// Number of partitions of the store.
const PARTITIONS: u16 = 4;

/// Returns the partition that stores a job.
pub fn partition_of(id: JobId) -> u16 {
    (id.0 % u64::from(PARTITIONS)) as u16
}

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

    /// Removes all queues and teams, and returns the rules before that.
    pub fn remove_rules(&mut self) -> Arc<FleetRules> {
        let mut rules = FleetRules::clone(&self.rules);
        rules.queues.clear();
        rules.teams.clear();
        let before = std::mem::replace(&mut self.rules, Arc::new(rules));
        self.dispatcher.set_rules(Arc::clone(&self.rules));
        before
    }

    /// Replaces the rules.
    pub fn set_rules(&mut self, rules: Arc<FleetRules>) {
        self.rules = rules;
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
        let unread = self.unread.iter().copied();
        let unread = UnreadPartitions::new(unread, partition_of);
        let mut next = self.next_dispatcher().with_unreachable_workers(published);
        next = next.with_unread_partitions(unread);
        if let Some((start, end)) = self.outage {
            next = next.with_outage(at(start), at(end));
        }
        self.dispatcher = next;
        for worker in &mut self.workers {
            worker.key = None;
        }
        let read = (0..PARTITIONS).filter(|partition| !self.unread.contains(partition));
        for partition in read.collect::<Vec<_>>() {
            self.load_jobs(partition);
        }
        self.list_workers();
        self.read_inventory();
    }

    /// Replaces the owner while some partitions of the store are silent.
    pub fn take_over_without(&mut self, unread: impl IntoIterator<Item = u16>) {
        self.unread = unread.into_iter().collect();
        self.take_over();
    }

    /// Lets the owner read a partition that was silent at the takeover.
    pub fn read_partition(&mut self, partition: u16) {
        self.unread.remove(&partition);
        self.load_jobs(partition);
        self.dispatcher.note_partition_read(partition, at(self.now));
    }

    fn load_jobs(&mut self, partition: u16) {
        for (id, (order, record)) in &self.stored {
            if partition_of(*id) == partition {
                let record = record.clone();
                self.dispatcher
                    .add_job(*id, order.clone(), record, true, at(self.now));
            }
        }
    }

    /// Picks the partitions that are silent at a takeover.
    pub(super) fn pick_silent(&mut self) -> BTreeSet<u16> {
        let share = self.faults.silent_partitions;
        let mut partitions: BTreeSet<u16> = (0..PARTITIONS).collect();
        partitions.retain(|_| self.chance(share));
        partitions
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
