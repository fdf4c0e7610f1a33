use std::time::Duration;

/// How long a measurement runs, in virtual time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MeasureScope {
    /// Time before the first surge.
    pub steady: Duration,
    /// Time that one pool surges.
    pub turn: Duration,
    /// Generated days for the lower bound on moves.
    pub generated_days: u32,
}

impl MeasureScope {
    /// Creates the scope of the command: 40 s, 8 s and 50 days.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            steady: Duration::from_secs(40),
            turn: Duration::from_secs(8),
            generated_days: 50,
        }
    }

    /// Creates a short scope for tests: 14 s, 5 s and 5 days.
    #[must_use]
    pub const fn with_short_run() -> Self {
        Self {
            steady: Duration::from_secs(14),
            turn: Duration::from_secs(5),
            generated_days: 5,
        }
    }
}

impl Default for MeasureScope {
    fn default() -> Self {
        Self::new()
    }
}
