use std::time::Duration;

/// Multiple of the time that the store took for its last answer within which the next one comes.
const SLOWNESS_FACTOR: u32 = 3;

/// How closely a table is followed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FollowTiming {
    /// Longest time that the store waits for a change before it answers.
    pub wait: Duration,
    /// Least time beyond the wait within which it answers.
    margin: Duration,
    /// Whether the table is read when there was no answer. The store can hold back changes while
    /// it answers reads.
    pub reads_at_once: bool,
}

impl FollowTiming {
    /// For tables that seldom change. A longer wait saves calls, a shorter one notices silent
    /// connections sooner.
    pub(crate) const RELAXED: Self = Self {
        wait: Duration::from_millis(2_500),
        margin: Duration::from_millis(900),
        reads_at_once: false,
    };

    /// For the table of jobs: callers wait for what it shows. Jobs have about a second to spare.
    pub(crate) const PROMPT: Self = Self {
        wait: Duration::from_millis(300),
        margin: Duration::from_millis(250),
        reads_at_once: true,
    };

    /// Time beyond the wait within which the store answers when its last answer took `last`.
    pub(crate) fn margin(&self, last: Duration) -> Duration {
        self.margin.max(last * SLOWNESS_FACTOR)
    }
}
