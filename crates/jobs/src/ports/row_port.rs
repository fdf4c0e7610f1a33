use bytes::Bytes;
use sesamedeal_core::ids::ZoneName;
use sesamedeal_core::jobs::{MaintenanceWave, WorkerReport};
use snafu::Snafu;

use super::StoreRow;
use crate::Deployment;

/// Error in a row that the platform or the operator has written.
#[derive(Debug, Snafu)]
#[snafu(display("unusable row {key}: {reason}"))]
pub struct RowError {
    /// Key of the row.
    pub key: String,
    /// Why the row is unusable.
    pub reason: String,
}

/// Row of the operator's intent.
#[derive(Debug, Clone)]
pub enum IntentRow {
    /// Configuration.
    Deployment(Box<Deployment>),
    /// Maintenance wave.
    Wave(MaintenanceWave),
    /// Request that nothing more starts in an availability zone, for as long as the row exists.
    Evacuation(ZoneName),
    /// Row of a kind that this version does not support.
    Other,
}

/// Formats of the rows that are exchanged with the platform and the operator.
#[derive(Debug, Clone, Copy)]
pub struct RowPort {
    /// Decodes a row of the operator's intent. A deleted row has no value; only its kind is asked for.
    pub intent: fn(&StoreRow) -> Result<IntentRow, RowError>,
    /// Decodes an entry of the list of workers.
    pub worker: fn(&StoreRow) -> Result<WorkerReport, RowError>,
    /// Encodes the status of a wave as key and value. Called with the number of the wave and
    /// whether it is finished.
    pub wave_status: fn(u64, bool) -> (String, Bytes),
}
