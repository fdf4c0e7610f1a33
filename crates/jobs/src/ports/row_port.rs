use bytes::Bytes;
use sesamedeal_core::jobs::{MaintenanceWave, WorkerReport};
use snafu::Snafu;

use super::StoreRow;
use crate::Deployment;

/// Reason why a row of another writer cannot be used.
#[derive(Debug, Snafu)]
#[snafu(display("unusable row {key}: {reason}"))]
pub struct RowError {
    /// Key of the row.
    pub key: String,
    /// What is wrong.
    pub reason: String,
}

/// What the operator wants.
#[derive(Debug, Clone)]
pub enum IntentRow {
    /// The configuration.
    Deployment(Box<Deployment>),
    /// A maintenance wave.
    Wave(MaintenanceWave),
    /// Something that this version does not know.
    Other,
}

/// Formats of the rows that the platform and the operator write or read.
#[derive(Debug, Clone, Copy)]
pub struct RowPort {
    /// Decodes what the operator wants.
    pub intent: fn(&StoreRow) -> Result<IntentRow, RowError>,
    /// Decodes an entry of the list of workers.
    pub worker: fn(&StoreRow) -> Result<WorkerReport, RowError>,
    /// Key and value of the status of a wave; the flag says whether it is finished.
    pub wave_status: fn(u64, bool) -> (String, Bytes),
}
