use serde::{Deserialize, Serialize};

use crate::fleet::{DayTime, FleetState};
use crate::ids::{Generation, InstanceName};
use crate::membership::{ListedInstance, SessionRecord};
use crate::time::TimePoint;

/// Action that an entry instance recommends for a worker because of its health.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HealthVerdict {
    /// Several distinct jobs failed on the worker through no fault of their own; it should be
    /// quarantined.
    Quarantine,
    /// The quarantined worker should become active again for a trial.
    Release,
}

/// Health report of an entry instance about a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthReport {
    /// The worker.
    pub instance: InstanceName,
    /// Recommended action.
    pub verdict: HealthVerdict,
    /// Generation that the entry instance had applied when it made the observation.
    pub applied: Generation,
}

/// Range of generations that the change log and its snapshots cover.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogExtent {
    /// Generation of the newest snapshot.
    pub snapshot: Generation,
    /// Oldest generation whose change row may still exist.
    pub oldest_change: Generation,
}

/// Input of one step of the controller.
#[derive(Debug, Clone, Copy)]
pub struct ControlInput<'a> {
    /// The controller's monotonic clock.
    pub now: TimePoint,
    /// Local wall clock.
    pub day_time: DayTime,
    /// Fleet state after the newest change in the log.
    pub state: &'a FleetState,
    /// Highest settled generation in the store.
    pub settled: Generation,
    /// Session rows that were read.
    pub sessions: &'a [SessionRecord],
    /// Whether all session rows were read for this step. Generations settle only after a full
    /// read, because a session that started since the previous one may act under an old generation.
    pub is_scanned: bool,
    /// Instances that the platform lists; `None` when the list could not be read.
    pub list: Option<&'a [ListedInstance]>,
    /// Health reports received since the last step, in order of arrival.
    pub health: &'a [HealthReport],
    /// Generations covered by the log and its snapshots.
    pub log: LogExtent,
}
