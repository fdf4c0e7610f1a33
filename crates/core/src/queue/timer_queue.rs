use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::scheduler::{AttemptKey, JobKey, WorkerIndex};
use crate::time::TimePoint;

/// Number of cancelled entries that the queue keeps, in addition to as many as it has live ones,
/// before it is compacted.
const MAX_STALE: usize = 1_024;

/// Event that a timer triggers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TimerEvent {
    /// The deadline of a queued job.
    Deadline(JobKey),
    /// The time from which a queued urgent job is dispatched before other teams' jobs.
    Urgent(JobKey),
    /// The end of an attempt's lease plus the clock margin.
    Lease(AttemptKey),
    /// The time at which a worker may become usable again: the next trial job in quarantine, the
    /// end of its leaving mark or the end of its reservation.
    Trial(WorkerIndex),
    /// The end of an idle period, after which idle borrowed units are returned.
    Idle,
    /// The next update of the order in which teams are served.
    Revise,
}

/// Timers of the scheduler. A cancelled timer stays in the queue until it expires or the queue is
/// compacted, so that cancelling a timer needs no search here.
#[derive(Debug, Default)]
pub(crate) struct TimerQueue {
    heap: BinaryHeap<Reverse<(TimePoint, TimerEvent)>>,
}

impl TimerQueue {
    /// Adds a timer.
    pub(crate) fn add(&mut self, at: TimePoint, event: TimerEvent) {
        self.heap.push(Reverse((at, event)));
    }

    /// Removes and returns the event of the next expired timer.
    pub(crate) fn pop(&mut self, now: TimePoint) -> Option<TimerEvent> {
        let Reverse((at, event)) = *self.heap.peek()?;
        if at > now {
            return None;
        }
        self.heap.pop();
        Some(event)
    }

    /// Expiry time of the next timer.
    pub(crate) fn next_point(&self) -> Option<TimePoint> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }

    /// Whether the queue has more than `live + MAX_STALE` stale entries and should be compacted.
    /// `live` is the number of entries in use.
    pub(crate) fn is_sparse(&self, live: usize) -> bool {
        self.heap.len() > 2 * live + MAX_STALE
    }

    /// Removes the entries for which `is_live` returns false.
    pub(crate) fn compact(&mut self, mut is_live: impl FnMut(TimerEvent) -> bool) {
        self.heap.retain(|Reverse((_, event))| is_live(*event));
    }
}
