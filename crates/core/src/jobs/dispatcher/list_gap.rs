//! Outages during which workers cannot write their entries, so that the capacities in the list of
//! workers become too old to rely on.

use std::time::Duration;

use super::JobDispatcher;
use crate::jobs::WorkerKey;
use crate::time::TimePoint;

/// Age of the list from which a store that takes no writes counts as away. The store answers within
/// 0.9 s.
const MIN_LIST_AGE: Duration = Duration::from_secs(1);

/// Time after which the first state of the list that is read after an outage has been processed. It
/// may still contain entries from before.
const READ_TIME: Duration = Duration::from_millis(100);

/// Outage of the store as far as the list of workers shows it.
#[derive(Debug, Clone, Copy)]
struct ListGap {
    /// When the list was last read before the outage.
    start: TimePoint,
    /// When the outage was last noticed.
    end: TimePoint,
}

/// Age of the list of workers, and the last outage.
#[derive(Debug, Default)]
pub(super) struct ListAge {
    gap: Option<ListGap>,
    /// Since when the owner can write to the store; none if it cannot.
    writable_since: Option<TimePoint>,
}

impl JobDispatcher {
    /// Sets the time for which this process had no answer from the store before the takeover.
    #[must_use]
    pub fn with_outage(mut self, start: TimePoint, end: TimePoint) -> Self {
        self.list_age.gap = Some(ListGap { start, end });
        self
    }

    /// Records the age of the list of workers, and whether the owner can write to the store.
    ///
    /// If only the list cannot be read, which may last, its last state is used.
    pub fn note_list_age(&mut self, age: Duration, is_store_writable: bool, now: TimePoint) {
        let state = &mut self.list_age;
        let since = state.writable_since.unwrap_or(now);
        state.writable_since = is_store_writable.then_some(since);
        let is_ongoing = state.gap.is_some_and(|gap| now.since(gap.end) <= READ_TIME);
        let is_expected = is_ongoing && now.since(since) <= self.policy.max_capacity_age;
        if age <= MIN_LIST_AGE || (is_store_writable && !is_expected) {
            return;
        }
        // Workers may have had no chance to write between two outages.
        let earlier = state
            .gap
            .filter(|gap| now.since(gap.end) <= self.policy.entry_interval);
        let start = earlier.map_or_else(|| now.before(age), |gap| gap.start);
        state.gap = Some(ListGap { start, end: now });
    }

    /// Records that a worker has written its entry. Entries that are only read again do not count.
    pub fn note_renewal(&mut self, key: WorkerKey, now: TimePoint) {
        if let Some(entry) = self.workers.get_mut(key) {
            entry.renewed = now;
        }
    }

    /// Whether a start may rely on the capacity in a worker's entry.
    ///
    /// During an outage that is until [`DispatchPolicy::max_capacity_age`] after its begin. After it,
    /// the entry has to be renewed, or the worker must have had the time to write a new one.
    ///
    /// [`DispatchPolicy::max_capacity_age`]: crate::jobs::DispatchPolicy::max_capacity_age
    pub(super) fn is_capacity_current(&self, key: WorkerKey, now: TimePoint) -> bool {
        let Some(gap) = self.list_age.gap else {
            return true;
        };
        now.since(gap.start) <= self.policy.max_capacity_age
            || now.since(gap.end) > self.policy.entry_interval
            || self.workers[key].renewed > gap.end.after(READ_TIME)
    }
}
