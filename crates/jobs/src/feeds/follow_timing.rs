use std::time::Duration;

/// Multiple of the last response time of the store within which the next answer is expected.
const RESPONSE_TIME_FACTOR: u32 = 3;

/// Timing of the calls that follow a table.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FollowTiming {
    /// Maximum time that the store waits for a change before it answers.
    pub wait: Duration,
    /// Minimum time after the end of the wait at which a call times out.
    min_margin: Duration,
    /// Whether the table is read after a failed follow call. The store can fail to deliver changes
    /// while it still answers reads.
    pub reads_on_failure: bool,
}

impl FollowTiming {
    /// Timing for tables that rarely change. A longer wait saves calls; a shorter wait detects
    /// unresponsive connections sooner.
    pub(crate) const RELAXED: Self = Self {
        wait: Duration::from_millis(2_500),
        min_margin: Duration::from_millis(900),
        reads_on_failure: false,
    };

    /// Timing for the table of jobs, whose rows callers wait for. A delay of about one second is
    /// tolerable for jobs.
    pub(crate) const PROMPT: Self = Self {
        wait: Duration::from_millis(300),
        min_margin: Duration::from_millis(250),
        reads_on_failure: true,
    };

    /// Returns the time after the end of the wait at which a call times out. `response_time` is the
    /// last response time of the store.
    pub(crate) fn margin(&self, response_time: Duration) -> Duration {
        self.min_margin.max(response_time * RESPONSE_TIME_FACTOR)
    }
}
