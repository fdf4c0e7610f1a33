use std::time::Duration;

/// Settings of the scheduler.
#[derive(Debug, Clone)]
pub struct SchedulerPolicy {
    /// Most jobs queued per pool and team.
    pub max_queued: usize,
    /// Longest time that a task may run on a worker.
    pub task_lease: Duration,
    /// Allowance for clock differences between machines.
    pub clock_margin: Duration,
    /// Longest time until urgent work starts; after half of it, running work is stopped.
    pub urgent_start: Duration,
    /// Shortest time between two exchanges beyond the regular ones.
    pub exchange_gap: Duration,
    /// Shortest time between two versions of the own usage summary.
    pub summary_gap: Duration,
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
            exchange_gap: Duration::from_millis(100),
            summary_gap: Duration::from_millis(400),
        }
    }

    /// Sets the longest time until urgent work starts.
    #[must_use]
    pub const fn with_urgent_start(mut self, limit: Duration) -> Self {
        self.urgent_start = limit;
        self
    }

    /// Sets the shortest time between two exchanges beyond the regular ones.
    #[must_use]
    pub const fn with_exchange_gap(mut self, gap: Duration) -> Self {
        self.exchange_gap = gap;
        self
    }
}

impl Default for SchedulerPolicy {
    fn default() -> Self {
        Self::new()
    }
}
