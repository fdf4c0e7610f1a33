use std::time::Duration;

use crate::time::TimePoint;

/// Detects pauses of the process from gaps between timer ticks.
#[derive(Debug, Clone, Copy)]
pub struct PauseDetector {
    max_gap: Duration,
    last_tick: Option<TimePoint>,
}

impl PauseDetector {
    /// Gap between ticks above which existing evidence becomes invalid.
    pub const MAX_GAP: Duration = Duration::from_secs(1);

    /// Creates a detector with the default gap of 1 s.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            max_gap: Self::MAX_GAP,
            last_tick: None,
        }
    }

    /// Records a tick and returns whether the process was paused before it.
    pub fn tick(&mut self, now: TimePoint) -> bool {
        let is_paused = self.is_paused(now);
        self.last_tick = Some(now);
        is_paused
    }

    /// Whether the process has been paused since the last tick.
    ///
    /// Must be checked before each dispatch, because a dispatch can run before the first tick after
    /// a pause.
    #[must_use]
    pub fn is_paused(&self, now: TimePoint) -> bool {
        self.last_tick
            .is_some_and(|last| now.since(last) > self.max_gap)
    }
}

impl Default for PauseDetector {
    fn default() -> Self {
        Self::new()
    }
}
