use std::time::Duration;

use crate::time::TimePoint;

/// Limits beyond which an owner counts as lagging behind the store.
#[derive(Debug, Clone, Copy)]
pub struct LagPolicy {
    /// Age of the data that an owner has processed from which the owner lags.
    pub max_data_age: Duration,
    /// Minimum data age at the newest renewal for an owner to lag. If the data was recent at that
    /// renewal, its age since then proves nothing: the store may be down for all instances.
    pub min_age_at_renewal: Duration,
    /// Time for which the successor of a lagging owner is not replaced for lagging. It prevents
    /// repeated changes of ownership while all instances are slow.
    pub min_tenure: Duration,
    /// Time that a new owner has to read the existing rows.
    pub load_limit: Duration,
    /// Maximum time for which store failures keep an owner from counting as lagging.
    pub store_failure_limit: Duration,
}

/// Lease renewal of an owner, as seen by another instance.
#[derive(Debug, Clone, Copy)]
pub struct RenewalReport {
    /// Epoch of the owner.
    pub epoch: u64,
    /// Sequence number of the renewal within the epoch.
    pub number: u64,
    /// Age of the data that the owner had processed when it made the renewal, without the transit
    /// time of the renewal; `None` if unknown.
    pub data_age: Option<Duration>,
    /// Whether the owner has read all rows that existed at the start of its epoch.
    pub is_loaded: bool,
    /// Whether the owner recently had failed calls to the store.
    pub had_store_failure: bool,
}

/// Detects owners that keep renewing their lease while they fall behind the store.
#[derive(Debug)]
pub struct LagDetector {
    policy: LagPolicy,
    epoch: u64,
    /// When the epoch was first seen.
    epoch_seen_at: TimePoint,
    /// Whether the previous owner was lagging when this epoch was first seen.
    replaced_lagging_owner: bool,
    /// Newest renewal, and when it was first seen.
    newest: Option<(RenewalReport, TimePoint)>,
    /// Start of the unbroken series of renewals with store failures.
    store_failing_since: Option<TimePoint>,
}

impl LagDetector {
    /// Creates a detector that has seen no renewal.
    #[must_use]
    pub const fn new(policy: LagPolicy) -> Self {
        Self {
            policy,
            epoch: 0,
            epoch_seen_at: TimePoint::ORIGIN,
            replaced_lagging_owner: false,
            newest: None,
            store_failing_since: None,
        }
    }

    /// Records the newest renewal. A renewal that is already recorded has no effect.
    pub fn record(&mut self, report: RenewalReport, now: TimePoint) {
        if report.epoch != self.epoch {
            *self = Self {
                epoch: report.epoch,
                epoch_seen_at: now,
                replaced_lagging_owner: self.is_lagging(self.epoch, now),
                ..Self::new(self.policy)
            };
        }
        let known = self.newest.map(|(known, _)| known.number);
        if known == Some(report.number) {
            return;
        }
        self.newest = Some((report, now));
        self.store_failing_since = report
            .had_store_failure
            .then(|| self.store_failing_since.unwrap_or(now));
    }

    /// Whether the owner with the given epoch lags.
    #[must_use]
    pub fn is_lagging(&self, epoch: u64, now: TimePoint) -> bool {
        let Some((newest, seen)) = self.newest.filter(|_| self.epoch == epoch) else {
            return false;
        };
        let held = now.since(self.epoch_seen_at);
        if !newest.is_loaded {
            return held >= self.policy.load_limit;
        }
        if self.replaced_lagging_owner && held < self.policy.min_tenure {
            return false;
        }
        let limit = self.policy.store_failure_limit;
        if self
            .store_failing_since
            .is_some_and(|since| now.since(since) < limit)
        {
            return false;
        }
        newest.data_age.is_some_and(|age| {
            age >= self.policy.min_age_at_renewal
                && age + now.since(seen) >= self.policy.max_data_age
        })
    }
}
