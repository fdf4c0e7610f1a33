use std::time::Duration;

use super::PauseDetector;
use crate::ids::Generation;
use crate::time::TimePoint;

/// Tracks an entry instance's newest evidence that its applied generation is the head.
#[derive(Debug, Clone, Copy, Default)]
pub struct EvidenceTracker {
    applied: Generation,
    confirmed_at: Option<TimePoint>,
    pending: Option<(Generation, TimePoint)>,
    pause: PauseDetector,
}

impl EvidenceTracker {
    /// Creates a tracker without evidence.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            applied: Generation::ZERO,
            confirmed_at: None,
            pending: None,
            pause: PauseDetector::new(),
        }
    }

    /// Records evidence that `head` was the head at `at`.
    ///
    /// For a local read, `at` is the time at which the request was sent. For a peer's read, it is
    /// the time of receipt minus the relayed age. Evidence of a head above the applied generation
    /// takes effect once that generation is applied.
    pub fn record_head(&mut self, head: Generation, at: TimePoint) {
        if head <= self.applied {
            self.confirmed_at = self.confirmed_at.max(Some(at));
        } else {
            self.pending = self.pending.max(Some((head, at)));
        }
    }

    /// Records that the entry instance has applied `generation`.
    pub fn record_applied(&mut self, generation: Generation) {
        self.applied = self.applied.max(generation);
        if let Some((head, at)) = self.pending
            && head <= self.applied
        {
            self.confirmed_at = self.confirmed_at.max(Some(at));
            self.pending = None;
        }
    }

    /// Records a timer tick. Drops all evidence if the process was paused before it, and returns
    /// whether it was.
    pub fn tick(&mut self, now: TimePoint) -> bool {
        let is_paused = self.pause.tick(now);
        if is_paused {
            self.confirmed_at = None;
            self.pending = None;
        }
        is_paused
    }

    /// Returns the age of the newest evidence for the applied generation, or `None` if there is no
    /// evidence or the process has been paused since the last tick.
    #[must_use]
    pub fn age(&self, now: TimePoint) -> Option<Duration> {
        if self.pause.is_paused(now) {
            return None;
        }
        self.confirmed_at.map(|at| now.since(at))
    }
}
