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
}

impl SchedulerPolicy {
    /// Creates the default policy.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            max_queued: 1_000,
            task_lease: Duration::from_secs(10),
            clock_margin: Duration::from_millis(500),
        }
    }
}

impl Default for SchedulerPolicy {
    fn default() -> Self {
        Self::new()
    }
}
