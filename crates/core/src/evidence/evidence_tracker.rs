use std::time::Duration;

use super::PauseDetector;
use crate::ids::Generation;
use crate::time::TimePoint;

/// Keeps the time of an entry instance's newest evidence that the generation that it acts under
/// is the head.
#[derive(Debug, Clone, Copy, Default)]
pub struct EvidenceTracker {
    applied: Generation,
    confirmed: Option<TimePoint>,
    pending: Option<(Generation, TimePoint)>,
    pause: PauseDetector,
}

impl EvidenceTracker {
    /// Creates a tracker without evidence.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            applied: Generation::ZERO,
            confirmed: None,
            pending: None,
            pause: PauseDetector::new(),
        }
    }

    /// Takes note of evidence that `head` was the head at `at`.
    ///
    /// For an own read, `at` is when the request was sent. For a peer's read it is the time of
    /// receipt less the relayed age. A head above the applied generation counts once it is
    /// applied.
    pub fn record_head(&mut self, head: Generation, at: TimePoint) {
        if head <= self.applied {
            self.confirmed = self.confirmed.max(Some(at));
        } else {
            self.pending = self.pending.max(Some((head, at)));
        }
    }

    /// Takes note that the entry instance acts under `generation`.
    pub fn record_applied(&mut self, generation: Generation) {
        self.applied = self.applied.max(generation);
        if let Some((head, at)) = self.pending
            && head <= self.applied
        {
            self.confirmed = self.confirmed.max(Some(at));
            self.pending = None;
        }
    }

    /// Takes note of a timer tick. After a pause all evidence is dropped; returns whether there
    /// was one.
    pub fn tick(&mut self, now: TimePoint) -> bool {
        let is_paused = self.pause.tick(now);
        if is_paused {
            self.confirmed = None;
            self.pending = None;
        }
        is_paused
    }

    /// Age of the newest evidence for the applied generation; `None` without evidence or when the
    /// process was paused since the last tick.
    #[must_use]
    pub fn age(&self, now: TimePoint) -> Option<Duration> {
        if self.pause.is_paused(now) {
            return None;
        }
        self.confirmed.map(|at| now.since(at))
    }
}
