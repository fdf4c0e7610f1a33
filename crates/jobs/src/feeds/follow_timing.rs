use std::time::Duration;

use super::table_follower::MAX_PAUSE;
use crate::ports::{FollowRequest, StoreTable};

/// Multiple of the last response time of the store within which the next answer is expected.
const RESPONSE_TIME_FACTOR: u32 = 3;

/// Maximum time after the end of a disruption until data is current. The platform asks for it.
const RECOVERY_BOUND: Duration = Duration::from_millis(3_000);

/// Maximum time after the end of the wait at which a call times out. A response time includes pauses
/// of the process itself, so it has no bound of its own.
const MAX_MARGIN: Duration = Duration::from_millis(900);

/// Timing of the calls that follow a table.
///
/// A call can be lost without an error, and then hides the store until its time limit. Data must be
/// current within [`RECOVERY_BOUND`] after the end of a disruption, when a call that is lost may just
/// have been sent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FollowTiming {
    /// Maximum time that the store waits for a change before it answers.
    wait: Duration,
    /// Minimum time after the end of the wait at which a call times out.
    min_margin: Duration,
    /// Time limit of the first retry after an answered call.
    first_retry: Duration,
    /// Time limit of further retries.
    next_retry: Duration,
    /// Minimum time limit of a retry after only some partitions of the table could be read. Changes
    /// in these are found by reading them again until the follow call is answered.
    partial_retry: Duration,
    /// Whether the table is read after a failed follow call. The store can fail to deliver changes
    /// while it still answers reads.
    pub reads_on_failure: bool,
}

impl FollowTiming {
    /// Timing for tables that rarely change. A longer wait saves calls; a shorter wait detects
    /// unresponsive connections sooner.
    pub(crate) const RELAXED: Self = Self {
        wait: Duration::from_millis(1_200),
        min_margin: Duration::from_millis(600),
        first_retry: Duration::from_millis(500),
        next_retry: Duration::from_millis(900),
        partial_retry: Duration::from_millis(900),
        reads_on_failure: false,
    };

    /// Timing for the table of jobs, whose rows callers wait for. A delay of about one second is
    /// tolerable for jobs.
    pub(crate) const PROMPT: Self = Self {
        wait: Duration::from_millis(300),
        min_margin: Duration::from_millis(250),
        first_retry: Duration::from_millis(550),
        next_retry: Duration::from_millis(550),
        partial_retry: Duration::from_millis(250),
        reads_on_failure: true,
    };

    /// Longest time that a lost call and the pause after it can hide the store.
    const fn longest_gap(&self) -> Duration {
        self.wait
            .saturating_add(MAX_MARGIN)
            .saturating_add(MAX_PAUSE)
    }

    /// Returns the next call. `response_time` is the last response time of the store, and
    /// `failures` the number of calls that have failed since its last answer.
    ///
    /// A retry does not wait for a change, so that a store that has returned answers it at once.
    /// `is_partial` tells whether some partitions have been read since the last failure.
    pub(crate) fn request(
        &self,
        table: StoreTable,
        after: u64,
        response_time: Duration,
        (failures, is_partial): (u32, bool),
    ) -> FollowRequest {
        let (wait, min_margin) = match failures {
            0 => (self.wait, self.min_margin),
            _ if is_partial => (Duration::ZERO, self.partial_retry),
            1 => (Duration::ZERO, self.first_retry),
            _ => (Duration::ZERO, self.next_retry),
        };
        let margin = response_time.saturating_mul(RESPONSE_TIME_FACTOR);
        FollowRequest {
            table,
            after,
            wait,
            margin: margin.clamp(min_margin, MAX_MARGIN),
        }
    }
}

const _: () = assert!(
    FollowTiming::RELAXED.longest_gap().as_millis() < RECOVERY_BOUND.as_millis()
        && FollowTiming::PROMPT.longest_gap().as_millis() < RECOVERY_BOUND.as_millis(),
    "a lost call hides the store for too long"
);
