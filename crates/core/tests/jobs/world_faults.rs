use rand::RngExt;

use super::JobWorld;

/// Longest time until the list shows a restart, in milliseconds.
const MAX_ENTRY_DELAY: u64 = 5_000;

/// Chance of each round that a silent partition of the store answers.
const READ_CHANCE: f64 = 0.05;

/// Rates of injected faults, each as a share of the calls or rounds.
#[derive(Debug, Clone, Copy, Default)]
pub struct WorldFaults {
    /// Starts that take effect but have no answer.
    pub lost_starts: f64,
    /// Writes that the store refuses.
    pub refused_writes: f64,
    /// Rounds in which a worker becomes unreachable or reachable again.
    pub disconnects: f64,
    /// Rounds in which a new owner takes over.
    pub takeovers: f64,
    /// Partitions of the store that are silent at a takeover.
    pub silent_partitions: f64,
    /// Runs that fail.
    pub failures: f64,
    /// Rounds in which a worker restarts under the same name.
    pub reboots: f64,
    /// Share of the restarts that the list shows late.
    pub late_entries: f64,
    /// Rounds in which a worker crashes. It returns after some seconds.
    pub crashes: f64,
    /// Share of the crashed workers that return under their old name.
    pub kept_names: f64,
}

impl JobWorld {
    pub(super) fn inject_faults(&mut self) {
        if self.chance(self.faults.disconnects) {
            let index = self.random.random_range(0..self.workers.len());
            let worker = &mut self.workers[index];
            worker.is_reachable = !worker.is_reachable;
        }
        if self.chance(self.faults.reboots) {
            let index = self.random.random_range(0..self.workers.len());
            let entry = self.workers[index].entry();
            self.restart(index);
            if self.chance(self.faults.late_entries) {
                let worker = &mut self.workers[index];
                worker.outdated_entry = Some(entry);
                worker.row_due = Some(self.now + self.random.random_range(0..MAX_ENTRY_DELAY));
            }
            self.list_workers();
        }
        if self.chance(self.faults.crashes) {
            let index = self.random.random_range(0..self.workers.len());
            self.crash(index);
        }
        if !self.is_store_silent && self.chance(self.faults.takeovers) {
            self.unread = self.pick_silent();
            self.take_over();
        }
        if self.faults.silent_partitions > 0.0
            && self.chance(READ_CHANCE)
            && let Some(partition) = self.unread.first().copied()
        {
            self.read_partition(partition);
        }
    }
}
