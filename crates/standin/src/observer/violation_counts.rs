use serde::{Deserialize, Serialize};

/// Violations of the invariants that were seen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViolationCounts {
    /// Tasks sent to a worker beyond its slots, refused ones included.
    pub over_slots: u64,
    /// Connections beyond a worker's limit.
    pub over_connections: u64,
    /// Starts and limit changes after which a team had more running than its limit.
    pub over_limit: u64,
    /// Non-idempotent jobs started again.
    pub run_twice: u64,
    /// Tasks started on a worker more than 3 s after it began to leave.
    pub after_leaving: u64,
    /// Tasks sent to a worker more than 3 s after it began to leave, which it refused.
    pub refused_leaving: u64,
    /// Tasks started more than 3 s after their key was withdrawn.
    pub after_withdrawal: u64,
    /// Tasks started on a worker that was running tasks of another pool.
    pub two_pools: u64,
    /// Planned outages that exceeded a pool's availability budget.
    pub over_budget: u64,
}

impl ViolationCounts {
    /// Sum of all violations.
    #[must_use]
    pub const fn total(&self) -> u64 {
        self.over_slots
            + self.over_connections
            + self.over_limit
            + self.run_twice
            + self.after_leaving
            + self.refused_leaving
            + self.after_withdrawal
            + self.two_pools
            + self.over_budget
    }
}
