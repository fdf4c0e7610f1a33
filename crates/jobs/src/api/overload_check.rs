//! Rejection of jobs that cannot end while their result is of use, before anything is stored.

use std::time::Duration;

use rand::RngExt;
use sesamedeal_core::jobs::{JobId, JobOrder};
use slog::info;

use super::JobApi;
use crate::BootClock;

/// Maximum age of the owner's publication for a rejection.
const MAX_ROW_AGE: Duration = Duration::from_secs(2);

/// Shortest and longest delay before a rejected job is submitted again. A longer one would use up
/// the time within which the result is of use.
const RETRY_BOUNDS: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(8));

impl JobApi {
    /// Returns the delay before a retry if the owner's publication shows that a new job cannot end
    /// while its result is of use; `None` if there is any doubt.
    ///
    /// Without a recent publication nothing is rejected: the owner or the store does not answer, or
    /// an older owner publishes none.
    pub(super) fn overload_rejection(&self, id: JobId, order: &JobOrder) -> Option<Duration> {
        if !self.rejects_overload {
            return None;
        }
        let (overload, counted) = self.heartbeat.overload(&order.queue)?;
        let age = self.health.clock.age(counted.at_ms?, BootClock.now())?;
        if age >= MAX_ROW_AGE {
            return None;
        }
        let deployment = self.view.load()?;
        let rule = deployment.rules.queues.get(&order.queue)?;
        let wait = overload.rejection(id, order, rule)?;
        // Spread over the second half of the wait, so that callers do not come back together.
        let share = 0.5 + rand::rng().random::<f64>() / 2.0;
        let retry_after = wait.mul_f64(share).clamp(RETRY_BOUNDS.0, RETRY_BOUNDS.1);
        self.metrics.count_overload_rejection(order.queue.as_str());
        info!(self.logger, "job rejected: demand exceeds capacity"; "job" => %id, "queue" => %order.queue, "wait_ms" => overload.wait_ms, "age_ms" => age.as_millis() as u64, "retry_ms" => retry_after.as_millis() as u64);
        Some(retry_after)
    }
}
