use sesamedeal_core::lease::{LagDetector, LeaseRecord};
use slog::{Logger, warn};

use super::owner_lag::LAG_POLICY;
use crate::ports::StoreRow;
use crate::row_codec::{EPOCH_KEY, EpochRow, HEARTBEAT_KEY, HeartbeatRow, decode};

/// The ownership rows as last read.
#[derive(Debug)]
pub(super) struct OwnerRows {
    pub epoch: Option<(EpochRow, u64)>,
    pub heartbeat: Option<HeartbeatRow>,
    /// Version of the heartbeat row; 0 if none was read.
    pub heartbeat_version: u64,
    /// How far the owner is behind, according to its heartbeats.
    pub lag: LagDetector,
}

impl Default for OwnerRows {
    fn default() -> Self {
        Self {
            epoch: None,
            heartbeat: None,
            heartbeat_version: 0,
            lag: LagDetector::new(LAG_POLICY),
        }
    }
}

impl OwnerRows {
    /// Applies a row unless the same or a newer version is known: rows queued while this process
    /// owns the pools are older than those it wrote itself.
    pub(super) fn apply_row(&mut self, row: &StoreRow, logger: &Logger) {
        let known = self.epoch.as_ref().map_or(0, |(_, version)| *version);
        let is_old_heartbeat = row.key == HEARTBEAT_KEY && row.version < self.heartbeat_version;
        if (row.key == EPOCH_KEY && row.version <= known) || is_old_heartbeat {
            return;
        }
        if row.key == HEARTBEAT_KEY {
            // An unusable heartbeat must not prevent a takeover.
            self.heartbeat = None;
            self.heartbeat_version = row.version;
        }
        let result = match row.key.as_str() {
            EPOCH_KEY => decode(&row.value).map(|epoch| self.epoch = Some((epoch, row.version))),
            HEARTBEAT_KEY => decode(&row.value).map(|heartbeat| self.heartbeat = Some(heartbeat)),
            _ => Ok(()),
        };
        if let Err(error) = result {
            warn!(logger, "skipped unusable row"; "key" => %row.key, "row" => row.version, "error" => %error);
        }
    }

    /// Whether the ownership is held under an epoch.
    pub(super) fn is_held(&self, epoch: u64) -> bool {
        let row = self.epoch.as_ref();
        row.is_some_and(|(row, _)| row.epoch == epoch && !row.is_released)
    }

    /// The newest heartbeat under the current epoch.
    pub(super) fn current_heartbeat(&self) -> Option<&HeartbeatRow> {
        let (epoch, _) = self.epoch.as_ref()?;
        self.heartbeat
            .as_ref()
            .filter(|heartbeat| heartbeat.epoch == epoch.epoch)
    }

    pub(super) fn record(&self) -> Option<LeaseRecord> {
        let (epoch, _) = self.epoch.as_ref()?;
        let renewals = self
            .current_heartbeat()
            .map_or(0, |heartbeat| heartbeat.renewals);
        Some(LeaseRecord {
            holder: epoch.holder,
            epoch: epoch.epoch,
            renewals,
        })
    }
}
