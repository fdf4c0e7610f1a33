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

/// Capacity of the queue of table events.
const EVENT_QUEUE_LEN: usize = 16;

/// Maintenance waves of the operator's intent by the key of their row, each with the time at which
/// this instance saw it written; `None` if the row existed before.
pub(crate) type WaveList =
    Arc<ArcSwap<BTreeMap<CompactString, (MaintenanceWave, Option<TimePoint>)>>>;

/// Follows the table of the operator's intent and publishes the configuration and the waves.
#[derive(Debug)]
pub(crate) struct IntentFollower {
    pub store: StorePort,
    pub health: StoreHealth,
    pub rows: RowPort,
    pub view: DeploymentView,
    pub waves: WaveList,
    /// Version of the configuration in force; notifies its receivers of changes.
    pub version: watch::Sender<u64>,
    pub logger: Logger,
}

impl IntentFollower {
    pub(crate) async fn run(self) {
        let (sender, mut events) = mpsc::channel(EVENT_QUEUE_LEN);
        let follower = TableFollower {
            store: self.store.clone(),
            table: StoreTable::Intent,
            timing: FollowTiming::RELAXED,
            health: self.health.clone(),
            status: self.view.feed().clone(),
            logger: self.logger.clone(),
        };
        let follow = follower.run(sender);
        let process = async {
            while let Some(event) = events.recv().await {
                for row in &event.rows {
                    self.process_row(row, !event.is_snapshot);
                }
            }
        };
        tokio::join!(follow, process);
    }

    /// Processes a row; `is_new` is true if the row has just been written.
    fn process_row(&self, row: &StoreRow, is_new: bool) {
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
            Ok(IntentRow::Wave(wave)) => self.update_wave(row, wave, is_new),
            Ok(IntentRow::Other) => {}
            Err(error) => {
                warn!(self.logger, "skipped unusable row"; "problem" => %error, "row" => row.version);
            }
        }
    }

    fn update_wave(&self, row: &StoreRow, wave: MaintenanceWave, is_new: bool) {
        let mut waves = self.waves.load().as_ref().clone();
        let since = waves
            .get(&row.key)
            .map_or_else(|| is_new.then(|| BootClock.now()), |(_, since)| *since);
        info!(self.logger, "maintenance wave requested or updated"; "wave" => wave.number, "instances" => wave.instances.len(), "limit" => wave.limit, "complete_by_s" => wave.complete_by.as_secs());
        waves.insert(row.key.clone(), (wave, since));
        self.waves.store(Arc::new(waves));
    }
}
