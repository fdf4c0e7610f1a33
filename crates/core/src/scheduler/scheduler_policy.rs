use std::time::Duration;

/// Settings of the scheduler.
#[derive(Debug, Clone)]
pub struct SchedulerPolicy {
    /// Maximum number of queued jobs per pool and team.
    pub max_queued: usize,
    /// Longest time that a task may run on a worker.
    pub task_lease: Duration,
    /// Allowance for clock differences between machines.
    pub clock_margin: Duration,
    /// Longest time until an urgent job starts; after half of it, a running task is preempted.
    pub urgent_start: Duration,
    /// Shortest time between two extra exchanges, beyond the regular ones.
    pub min_exchange_interval: Duration,
    /// Shortest time between two versions of this instance's usage summary.
    pub min_summary_interval: Duration,
    /// Half-life of the usage on which shares are based; must be the same at all entry instances.
    pub share_half_life: Duration,
    /// Time for which slots that a team holds now count as future usage when the scheduler chooses
    /// the next team.
    ///
    /// Usage of peers is known with a delay of up to a second. Without this term every entry
    /// instance would serve the same team until the next exchange, and the shares would
    /// oscillate. A longer time increases the share deviation that rounding to whole slots causes
    /// for teams with less than one slot per entry instance, because past usage, which corrects
    /// the deviation, counts less against this term. With exchanges every 500 ms, shares oscillate
    /// at 0.5 s and deviate by up to 6% at 1 s and 9% at 2 s (`sesamedeal measure`).
    pub share_look_ahead: Duration,
    /// Slot time per unit of weight fraction by which a newly backlogged team can start outside the
    /// usage range of the other backlogged teams.
    pub start_credit: Duration,
}

impl SchedulerPolicy {
    /// Creates the default policy.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            max_queued: 1_000,
            task_lease: Duration::from_secs(10),
            clock_margin: Duration::from_millis(500),
            urgent_start: Duration::from_millis(7_300),
            min_exchange_interval: Duration::from_millis(100),
            min_summary_interval: Duration::from_millis(400),
            share_half_life: Duration::from_secs(10),
            share_look_ahead: Duration::from_millis(700),
            start_credit: Duration::from_secs(1),
        }
    }

    /// Sets the longest time until an urgent job starts.
    #[must_use]
    pub const fn with_urgent_start(mut self, limit: Duration) -> Self {
        self.urgent_start = limit;
        self
    }

    /// Sets the shortest time between two extra exchanges.
    #[must_use]
    pub const fn with_min_exchange_interval(mut self, gap: Duration) -> Self {
        self.min_exchange_interval = gap;
        self
    }
}

impl Default for SchedulerPolicy {
    fn default() -> Self {
        Self::new()
    }
}
