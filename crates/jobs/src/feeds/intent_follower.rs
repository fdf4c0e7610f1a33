use std::collections::BTreeMap;
use std::sync::Arc;

use arc_swap::ArcSwap;
use compact_str::CompactString;
use sesamedeal_core::jobs::MaintenanceWave;
use sesamedeal_core::time::TimePoint;
use slog::{Logger, info, warn};
use tokio::sync::{mpsc, watch};

use super::{FollowTiming, TableFollower};
use crate::ports::{IntentRow, RowPort, StorePort, StoreRow, StoreTable};
use crate::{BootClock, DeploymentView, StoreHealth};

/// Events that may wait for the follower.
const EVENT_QUEUE: usize = 16;

/// Waves that the operator wants, and when each was made known; none if it was known before this
/// instance read it.
pub(crate) type WaveList =
    Arc<ArcSwap<BTreeMap<CompactString, (MaintenanceWave, Option<TimePoint>)>>>;

/// Follows what the operator wants.
#[derive(Debug)]
pub(crate) struct IntentFollower {
    pub store: StorePort,
    pub health: StoreHealth,
    pub rows: RowPort,
    pub view: DeploymentView,
    pub waves: WaveList,
    /// Newest version in force, for those who wait for it.
    pub version: watch::Sender<u64>,
    pub logger: Logger,
}

impl IntentFollower {
    pub(crate) async fn run(self) {
        let (sender, mut events) = mpsc::channel(EVENT_QUEUE);
        let follower = TableFollower {
            store: self.store.clone(),
            table: StoreTable::Intent,
            timing: FollowTiming::RELAXED,
            health: self.health.clone(),
            logger: self.logger.clone(),
        };
        let follow = follower.run(sender);
        let take = async {
            while let Some(event) = events.recv().await {
                for row in &event.rows {
                    self.take(row, !event.is_snapshot);
                }
            }
        };
        tokio::join!(follow, take);
    }

    /// Takes a row; `is_new` says that it has just been written.
    fn take(&self, row: &StoreRow, is_new: bool) {
        if row.is_deleted {
            return;
        }
        match (self.rows.intent)(row) {
            Ok(IntentRow::Deployment(deployment)) => {
                let version = deployment.version;
                if self.view.update_if_newer(*deployment) {
                    info!(self.logger, "configuration in force"; "version" => version, "row" => row.version);
                    self.version.send_replace(version);
                }
            }
            Ok(IntentRow::Wave(wave)) => self.take_wave(row, wave, is_new),
            Ok(IntentRow::Other) => {}
            Err(problem) => {
                warn!(self.logger, "row left out"; "problem" => %problem, "row" => row.version);
            }
        }
    }

    fn take_wave(&self, row: &StoreRow, wave: MaintenanceWave, is_new: bool) {
        let mut waves = self.waves.load().as_ref().clone();
        let since = waves
            .get(&row.key)
            .map_or_else(|| is_new.then(|| BootClock.now()), |(_, since)| *since);
        info!(self.logger, "maintenance wave"; "wave" => wave.number, "instances" => wave.instances.len(), "limit" => wave.limit, "complete_by_s" => wave.complete_by.as_secs());
        waves.insert(row.key.clone(), (wave, since));
        self.waves.store(Arc::new(waves));
    }
}
