use serde::{Deserialize, Serialize};

use crate::fleet::{DayTime, FleetState};
use crate::ids::{Generation, InstanceName};
use crate::membership::{ListedInstance, SessionRecord};
use crate::time::TimePoint;

/// What an entry instance says about the health of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HealthVerdict {
    /// The worker failed several good jobs and should be quarantined.
    Quarantine,
    /// The quarantined worker should be tried again.
    Release,
}

/// Report of an entry instance about a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthReport {
    /// The worker.
    pub instance: InstanceName,
    /// What should happen.
    pub verdict: HealthVerdict,
    /// Generation that the entry instance acted under when it made the observation.
    pub applied: Generation,
}

/// Extent of the change log and its snapshots.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogExtent {
    /// Generation of the newest snapshot.
    pub snapshot: Generation,
    /// Oldest generation whose change row may still exist.
    pub oldest_change: Generation,
}

/// Everything that one step of the controller depends on.
#[derive(Debug, Clone, Copy)]
pub struct ControlInput<'a> {
    /// The controller's monotonic clock.
    pub now: TimePoint,
    /// Local wall clock.
    pub day_time: DayTime,
    /// State at the head of the log.
    pub state: &'a FleetState,
    /// Highest settled generation on record.
    pub settled: Generation,
    /// Session rows.
    pub sessions: &'a [SessionRecord],
    /// Whether all session rows were read for this step. Generations settle only then, because a
    /// session that started since the last such read may act under an old generation.
    pub is_scanned: bool,
    /// Platform's list; `None` when it could not be read.
    pub list: Option<&'a [ListedInstance]>,
    /// Reports of entry instances since the last step, in order of arrival.
    pub health: &'a [HealthReport],
    /// Extent of the log.
    pub log: LogExtent,
}
