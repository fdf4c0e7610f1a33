use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use sesamedeal_core::lease::InstanceCapacity;
use sesamedeal_core::time::TimePoint;

use crate::BootClock;
use crate::row_codec::EpochRow;

/// Ownership held by this process, timed on the clock that includes suspension.
#[derive(Debug, Clone)]
pub(crate) struct OwnerLease {
    pub epoch: u64,
    /// Version of the epoch row, a condition of every write.
    pub version: u64,
    /// Largest capacity of an instance that is believed to be alive.
    pub largest: InstanceCapacity,
    renewed_ms: Arc<AtomicU64>,
    is_lost: Arc<AtomicBool>,
}

impl OwnerLease {
    /// Starts the lease when the acquiring write was sent.
    pub(crate) fn new(row: &EpochRow, version: u64, sent: TimePoint) -> Self {
        Self {
            epoch: row.epoch,
            version,
            largest: row.largest,
            renewed_ms: Arc::new(AtomicU64::new(millis(sent))),
            is_lost: Arc::default(),
        }
    }

    /// Records that a write sent at `sent` has taken effect under this epoch.
    pub(crate) fn renew(&self, sent: TimePoint) {
        self.renewed_ms.fetch_max(millis(sent), Ordering::AcqRel);
    }

    /// Marks the ownership as lost for good.
    pub(crate) fn relinquish(&self) {
        self.is_lost.store(true, Ordering::Release);
    }

    /// Whether the last renewal is less than `limit` old and the ownership is not lost.
    pub(crate) fn is_recent(&self, limit: Duration) -> bool {
        let renewed = self.renewed_ms.load(Ordering::Acquire);
        let age = millis(BootClock.now()).saturating_sub(renewed);
        !self.is_lost.load(Ordering::Acquire) && u128::from(age) < limit.as_millis()
    }
}

fn millis(time: TimePoint) -> u64 {
    u64::try_from(time.since_origin().as_millis()).unwrap_or(u64::MAX)
}
