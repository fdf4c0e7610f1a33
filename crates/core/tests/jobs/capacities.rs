use std::time::Duration;

use rand::RngExt;
use sesamedeal_core::jobs::ResourceAmount;

use super::{JobWorld, amount, at};

/// Longest time until a worker writes a change of its capacity, in milliseconds.
const WRITE_INTERVAL: u64 = 1_500;

/// Time after which a smaller capacity counts: the time that the store has to be stable, and one
/// write interval, in milliseconds.
const GRACE_PERIOD: u64 = 3_000 + WRITE_INTERVAL;

impl JobWorld {
    /// Changes the processor capacity of a worker, in thousandths of a core.
    pub fn resize(&mut self, index: usize, cpu_millis: u64) {
        let due = self.now + self.random.random_range(0..WRITE_INTERVAL);
        let worker = &mut self.workers[index];
        worker
            .capacities
            .push((self.now, amount(cpu_millis, 16_000)));
        worker.row_due = Some(worker.row_due.map_or(due, |known| known.min(due)));
    }

    /// Lists the workers whose capacity has changed, unless the store is silent.
    pub(super) fn list_capacities(&mut self) {
        let now = self.now;
        if self.is_store_silent {
            self.outage = Some((self.list_read, now));
            // A worker tries again when its next write is due.
            for due in self
                .workers
                .iter_mut()
                .filter_map(|worker| worker.row_due.as_mut())
            {
                if *due <= now {
                    *due += WRITE_INTERVAL;
                }
            }
        } else {
            self.list_read = now;
            let mut is_restart_listed = false;
            let due = self.workers.iter_mut();
            for worker in due.filter(|worker| worker.row_due.is_some_and(|due| due <= now)) {
                is_restart_listed |= worker.outdated_entry.is_some();
                worker.row_due = None;
                worker.outdated_entry = None;
                worker.report.capacity = worker.capacities[worker.capacities.len() - 1].1;
                let report = worker.report.clone();
                let (key, _) = self.dispatcher.set_worker(report, at(now));
                self.dispatcher.note_renewal(key, at(now));
                worker.key = Some(key);
            }
            if is_restart_listed {
                // Before the workers answer again.
                self.plan();
            }
        }
        let age = Duration::from_millis(now - self.list_read);
        self.dispatcher
            .note_list_age(age, !self.is_store_silent, at(now));
    }

    /// Largest capacity that still counts for a start.
    pub(super) fn allowed_capacity(&self, index: usize) -> ResourceAmount {
        let capacities = &self.workers[index].capacities;
        let limit = self.now.saturating_sub(GRACE_PERIOD);
        let replaced = capacities.iter().skip(1).map(|(from, _)| *from);
        let ends = replaced.chain([u64::MAX]);
        let counting = capacities.iter().zip(ends).filter(|(_, end)| *end > limit);
        let cpu = counting.map(|((_, capacity), _)| capacity.cpu_millis).max();
        amount(cpu.unwrap_or(0), 16_000)
    }
}
