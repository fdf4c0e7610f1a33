use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use arc_swap::ArcSwap;
use compact_str::CompactString;
use sesamedeal_core::ids::ZoneName;
use sesamedeal_core::jobs::MaintenanceWave;
use sesamedeal_core::time::TimePoint;
use slog::{Logger, info, warn};
use tokio::sync::{mpsc, watch};

use super::{FollowTiming, TableEvent, TableFollower};
use crate::ports::{IntentRow, RowError, RowPort, StorePort, StoreRow, StoreTable};
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
                self.process_event(&event);
            }
        };
        tokio::join!(follow, process);
    }

    /// Processes the rows of an event. Requests to evacuate a zone come first, so that they hold when
    /// the configuration is in force, without which nothing starts.
    fn process_event(&self, event: &TableEvent) {
        let intents = event.rows.iter().map(|row| (row, (self.rows.intent)(row)));
        let (evacuations, others): (Vec<_>, Vec<_>) =
            intents.partition(|(_, intent)| matches!(intent, Ok(IntentRow::Evacuation(_))));
        if event.is_snapshot {
            let versions = event.rows.iter().map(|row| row.version);
            self.end_withdrawn(&evacuations, versions.max().unwrap_or(0));
        }
        for (row, intent) in evacuations.into_iter().chain(others) {
            self.process_row(row, intent, !event.is_snapshot);
        }
    }

    /// Processes a row; `is_new` is true if the row has just been written.
    fn process_row(&self, row: &StoreRow, intent: Result<IntentRow, RowError>, is_new: bool) {
        if row.is_deleted {
            if let Ok(IntentRow::Evacuation(zone)) = intent {
                self.end_evacuation(&zone, row.version);
            }
            return;
        }
        match intent {
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

    /// Ends the evacuations that a reading of the whole table does not show: they were withdrawn while
    /// changes were missed.
    fn end_withdrawn(&self, shown: &[(&StoreRow, Result<IntentRow, RowError>)], version: u64) {
        let requested = shown.iter().filter_map(|(row, intent)| match intent {
            Ok(IntentRow::Evacuation(zone)) if !row.is_deleted => Some(zone),
            _ => None,
        });
        let requested: BTreeSet<&ZoneName> = requested.collect();
        let known = self.evacuations.load_full();
        for zone in known.keys().filter(|zone| !requested.contains(zone)) {
            self.end_evacuation(zone, version);
        }
    }

    fn begin_evacuation(&self, zone: ZoneName, version: u64, is_new: bool) {
        let known = self.evacuations.load();
        if known.contains_key(&zone) {
            return;
        }
        let mut evacuations = known.as_ref().clone();
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
