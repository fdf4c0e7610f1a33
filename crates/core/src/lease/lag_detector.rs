use std::time::Duration;

use crate::time::TimePoint;

/// When an owner counts as lagging.
#[derive(Debug, Clone, Copy)]
pub struct LagPolicy {
    /// Age of what an owner has taken up from which it lags.
    pub max_data_age: Duration,
    /// Least age when the owner made its newest renewal. A renewal that was in time says nothing of
    /// what came later: the store may be away for everybody.
    pub min_age_at_renewal: Duration,
    /// Time for which the successor of an owner that lagged is not replaced for the same reason, so
    /// that the ownership does not change hands again and again while all are slow.
    pub min_tenure: Duration,
    /// Time for which a new owner may read what there is.
    pub load_limit: Duration,
    /// Longest time for which failures of the store excuse an owner.
    pub store_failure_limit: Duration,
}

/// A renewal as a watcher sees it.
#[derive(Debug, Clone, Copy)]
pub struct RenewalReport {
    /// Epoch of the owner.
    pub epoch: u64,
    /// Its number under this epoch.
    pub number: u64,
    /// Age of what the owner had taken up when it made the renewal, without the time that the
    /// renewal was on its way; none if that is not known.
    pub data_age: Option<Duration>,
    /// Whether the owner has read what there was when it began.
    pub is_loaded: bool,
    /// Whether the store has failed the owner lately.
    pub had_store_failure: bool,
}

/// Finds owners that renew their lease and fall behind all the while.
#[derive(Debug)]
pub struct LagDetector {
    policy: LagPolicy,
    epoch: u64,
    /// When the epoch was seen first.
    begun: TimePoint,
    /// Whether the owner before this one lagged.
    follows_lag: bool,
    /// Newest renewal, and when it was seen.
    newest: Option<(RenewalReport, TimePoint)>,
    /// Since when all renewals are excused.
    excused: Option<TimePoint>,
}

impl LagDetector {
    /// Creates a watch that has seen nothing.
    #[must_use]
    pub const fn new(policy: LagPolicy) -> Self {
        Self {
            policy,
            epoch: 0,
            begun: TimePoint::ORIGIN,
            follows_lag: false,
            newest: None,
            excused: None,
        }
    }

    /// Notes the newest renewal, which may be known already.
    pub fn record(&mut self, report: RenewalReport, now: TimePoint) {
        if report.epoch != self.epoch {
            *self = Self {
                epoch: report.epoch,
                begun: now,
                follows_lag: self.is_lagging(self.epoch, now),
                ..Self::new(self.policy)
            };
        }
        let known = self.newest.map(|(known, _)| known.number);
        if known == Some(report.number) {
            return;
        }
        self.newest = Some((report, now));
        self.excused = report
            .had_store_failure
            .then(|| self.excused.unwrap_or(now));
    }

    /// Whether the owner under an epoch lags.
    #[must_use]
    pub fn is_lagging(&self, epoch: u64, now: TimePoint) -> bool {
        let Some((newest, seen)) = self.newest.filter(|_| self.epoch == epoch) else {
            return false;
        };
        let held = now.since(self.begun);
        if !newest.is_loaded {
            return held >= self.policy.load_limit;
        }
        if self.follows_lag && held < self.policy.min_tenure {
            return false;
        }
        let excuse = self.policy.store_failure_limit;
        if self.excused.is_some_and(|since| now.since(since) < excuse) {
            return false;
        }
        newest.data_age.is_some_and(|age| {
            age >= self.policy.min_age_at_renewal
                && age + now.since(seen) >= self.policy.max_data_age
        })
    }
}
