//! Detects owners that renew their ownership but do not process accepted jobs, because their
//! process is slow or only they cannot read the job table.

use std::time::Duration;

use sesamedeal_core::lease::{LagPolicy, RenewalReport};
use slog::{info, warn};
use tokio::time::sleep;

use super::owner_loop::OwnerLoop;
use super::owner_rows::OwnerRows;
use crate::BootClock;
use crate::ports::{FollowPage, FollowRequest, StoreTable};

/// When an owner keeps up, the jobs that it has processed at a heartbeat are at most 0.4 s old,
/// because it reads the table every 0.3 s. It renews every 0.5 s.
pub(super) const LAG_POLICY: LagPolicy = LagPolicy {
    max_data_age: Duration::from_millis(1_500),
    min_age_at_renewal: Duration::from_millis(800),
    // Two owners must not alternate in ordering the same instance within 3 s.
    min_tenure: Duration::from_secs(3),
    // If the store is slow for every instance, no owner reads the jobs faster.
    load_limit: Duration::from_secs(5),
    // A store that loses individual answers does so for longer than an owner may lag.
    store_failure_limit: Duration::from_secs(4),
};

/// Time within which the store has to return the jobs that the owner has not processed. An instance
/// for which the store is slow would not be a better owner.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(100);

/// Maximum random delay before an attempt, so that instances do not all read the same rows at once.
const MAX_JITTER: Duration = Duration::from_millis(100);

impl OwnerLoop {
    /// Records how far the owner is behind, if its newest heartbeat is a new one.
    pub(super) fn record_heartbeat(&self, rows: &mut OwnerRows) {
        let Some(heartbeat) = &rows.heartbeat else {
            return;
        };
        let report = RenewalReport {
            epoch: heartbeat.epoch,
            number: heartbeat.renewals,
            data_age: heartbeat.counted_age_ms.map(Duration::from_millis),
            is_loaded: heartbeat.is_loaded,
            had_store_failure: heartbeat.has_failed,
        };
        rows.lag.record(report, BootClock.now());
    }

    /// Whether the owner lags according to its heartbeats, and this instance could replace it.
    pub(super) fn seems_lagging(&self, rows: &OwnerRows) -> bool {
        let Some((row, _)) = &rows.epoch else {
            return false;
        };
        rows.lag.is_lagging(row.epoch, BootClock.now())
            && !self.peers.capacity.is_much_smaller_than(row.largest)
    }

    /// Whether the owner lags, and the store returns to this instance at once the jobs that the
    /// owner has not processed.
    pub(super) async fn confirm_lag(&self, rows: &mut OwnerRows) -> bool {
        let pause = MAX_JITTER.mul_f64(rand::random::<f64>());
        sleep(pause + self.uptime_pause()).await;
        if let Err(error) = self.read_rows(rows).await {
            warn!(self.logger, "could not read the ownership"; "error" => %error);
            return false;
        }
        let counted = rows
            .current_heartbeat()
            .and_then(|heartbeat| heartbeat.counted);
        let Some(counted) = counted.filter(|_| self.seems_lagging(rows)) else {
            return false;
        };
        let is_lagging = self.has_jobs_after(counted.version).await;
        let epoch = rows.epoch.as_ref().map(|(row, _)| row.epoch);
        info!(self.logger, "owner seems to lag"; "epoch" => epoch, "row" => counted.version, "is_confirmed" => is_lagging);
        is_lagging
    }

    /// Whether jobs were accepted after a version.
    async fn has_jobs_after(&self, version: u64) -> bool {
        let request = FollowRequest {
            table: StoreTable::Job,
            after: version,
            wait: Duration::ZERO,
            margin: CONFIRM_TIMEOUT,
        };
        match (self.store.follow)(request).await {
            Ok(FollowPage::Changes { rows, .. }) => rows.iter().any(|row| !row.is_deleted),
            Ok(FollowPage::HistoryGone) => true,
            Err(error) => {
                warn!(self.logger, "could not read jobs"; "after" => version, "error" => %error);
                false
            }
        }
    }
}
