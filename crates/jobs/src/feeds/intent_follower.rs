use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use arc_swap::ArcSwap;
use compact_str::CompactString;
use sesamedeal_core::ids::ZoneName;
use sesamedeal_core::jobs::MaintenanceWave;
use sesamedeal_core::time::TimePoint;
use slog::{Logger, info, warn};
use tokio::sync::{mpsc, watch};

use super::{FollowTiming, TableFollower};
use crate::ports::{IntentRow, RowPort, StorePort, StoreRow, StoreTable};
use crate::{BootClock, DeploymentView, JobMetrics, StoreHealth};

/// Capacity of the queue of table events.
const EVENT_QUEUE_LEN: usize = 16;

/// Maintenance waves of the operator's intent by the key of their row, each with the time at which
/// this instance saw it written; `None` if the row existed before.
pub(crate) type WaveList =
    Arc<ArcSwap<BTreeMap<CompactString, (MaintenanceWave, Option<TimePoint>)>>>;

/// Evacuated availability zones, each with the time at which this instance saw the request written;
/// `None` if the row existed before.
pub(crate) type EvacuationList = Arc<ArcSwap<BTreeMap<ZoneName, Option<TimePoint>>>>;

/// Follows the table of the operator's intent and publishes the configuration, the waves and the
/// evacuated availability zones.
#[derive(Debug)]
pub(crate) struct IntentFollower {
    pub store: StorePort,
    pub health: StoreHealth,
    pub rows: RowPort,
    pub view: DeploymentView,
    pub waves: WaveList,
    pub evacuations: EvacuationList,
    pub metrics: JobMetrics,
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
            start: None,
            health: self.health.clone(),
            status: self.view.feed().clone(),
            logger: self.logger.clone(),
        };
        let follow = follower.run(sender);
        let process = async {
            while let Some(event) = events.recv().await {
                if event.is_snapshot {
                    self.replace_evacuations(&event.rows);
                }
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
            if let Ok(IntentRow::Evacuation(zone)) = (self.rows.intent)(row) {
                self.end_evacuation(&zone, row.version);
            }
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
            Ok(IntentRow::Evacuation(zone)) => self.begin_evacuation(zone, row.version, is_new),
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

    /// Takes the evacuations from a reading of the whole table, before its configuration is in force.
    /// Requests that it does not show were withdrawn while changes were missed.
    fn replace_evacuations(&self, rows: &[StoreRow]) {
        let requested = rows.iter().filter_map(|row| match (self.rows.intent)(row) {
            Ok(IntentRow::Evacuation(zone)) if !row.is_deleted => Some(zone),
            _ => None,
        });
        let requested: BTreeSet<ZoneName> = requested.collect();
        let version = rows.iter().map(|row| row.version).max().unwrap_or(0);
        let known = self.evacuations.load_full();
        for zone in known.keys().filter(|zone| !requested.contains(*zone)) {
            self.end_evacuation(zone, version);
        }
        for zone in requested {
            self.begin_evacuation(zone, version, false);
        }
    }

    fn begin_evacuation(&self, zone: ZoneName, version: u64, is_new: bool) {
        let mut evacuations = self.evacuations.load().as_ref().clone();
        if evacuations.contains_key(&zone) {
            return;
        }
        info!(self.logger, "availability zone evacuated"; "zone" => %zone, "row" => version, "is_new" => is_new);
        evacuations.insert(zone, is_new.then(|| BootClock.now()));
        self.set_evacuations(evacuations);
    }

    fn end_evacuation(&self, zone: &ZoneName, version: u64) {
        let mut evacuations = self.evacuations.load().as_ref().clone();
        let Some(since) = evacuations.remove(zone) else {
            return;
        };
        let age = since.map(|since| BootClock.now().since(since));
        info!(self.logger, "availability zone reopened"; "zone" => %zone, "row" => version, "age_ms" => age.map(|age| age.as_millis()));
        self.set_evacuations(evacuations);
    }

    fn set_evacuations(&self, evacuations: BTreeMap<ZoneName, Option<TimePoint>>) {
        self.metrics.set_evacuated_zones(evacuations.len());
        self.evacuations.store(Arc::new(evacuations));
    }
}
