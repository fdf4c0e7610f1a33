use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::scheduler::{AttemptKey, JobKey, WorkerIndex};
use crate::time::TimePoint;

/// Stale entries that are kept before the queue is compacted.
const MIN_COMPACT: usize = 1_024;

/// What a timer is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TimerEvent {
    /// The deadline of a queued job.
    Deadline(JobKey),
    /// The point at which queued urgent work goes first.
    Urgent(JobKey),
    /// The end of the lease and clock margin of an attempt.
    Lease(AttemptKey),
    /// The next trial of a quarantined worker.
    Trial(WorkerIndex),
    /// The end of an idle period of borrowed units.
    Idle,
    /// The next revision of the order of the teams.
    Revise,
}

/// Timers of the scheduler. Cancelled ones stay until they pass or the queue is compacted, so that
/// a cancellation costs nothing here.
#[derive(Debug, Default)]
pub(crate) struct TimerQueue {
    heap: BinaryHeap<Reverse<(TimePoint, TimerEvent)>>,
}

impl TimerQueue {
    /// Adds a timer.
    pub(crate) fn add(&mut self, at: TimePoint, event: TimerEvent) {
        self.heap.push(Reverse((at, event)));
    }

    /// Takes out the next timer that has passed.
    pub(crate) fn pop(&mut self, now: TimePoint) -> Option<TimerEvent> {
        let Reverse((at, event)) = *self.heap.peek()?;
        if at > now {
            return None;
        }
        self.heap.pop();
        Some(event)
    }

    /// Point of the next timer.
    pub(crate) fn next_point(&self) -> Option<TimePoint> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }

    /// Whether more than half of the entries are stale, given the number of live ones.
    pub(crate) fn is_sparse(&self, live: usize) -> bool {
        self.heap.len() > 2 * live + MIN_COMPACT
    }

    /// Drops the entries for which `is_live` is false.
    pub(crate) fn compact(&mut self, mut is_live: impl FnMut(TimerEvent) -> bool) {
        self.heap.retain(|Reverse((_, event))| is_live(*event));
    }
}
