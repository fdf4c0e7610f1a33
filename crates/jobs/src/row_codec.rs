//! Rows that the runtime itself writes and reads, encoded in MessagePack.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use sesamedeal_core::ids::{InstanceName, PoolName, QueueName, SessionId};
use sesamedeal_core::jobs::{JobId, JobOrder, QueueOverload, UnreachableWorker};
use sesamedeal_core::lease::InstanceCapacity;
use sesamedeal_wire::codec::{self, CodecError};

use crate::ports::StorePosition;

/// Key of the [`EpochRow`].
pub(crate) const EPOCH_KEY: &str = "epoch";

/// Key of the [`HeartbeatRow`].
pub(crate) const HEARTBEAT_KEY: &str = "pulse";

/// Key of the row that each write of the owner replaces under the condition of its version, so that
/// a delayed write fails.
pub(crate) const SEQUENCE_KEY: &str = "sequence";

/// Suffix of the key of a request to cancel a job.
const CANCEL_SUFFIX: &str = ".cancel";

/// The owner of the pools. The row is written only when the ownership is acquired or released.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EpochRow {
    pub epoch: u64,
    pub holder: SessionId,
    /// Entry instance of the holder.
    pub node: InstanceName,
    /// Address at which other instances watch the holder's process.
    pub address: SocketAddr,
    /// Whether the holder has released the ownership.
    pub is_released: bool,
    /// Largest capacity among the entry instances that are presumed alive.
    #[serde(default)]
    pub largest: InstanceCapacity,
}

/// Heartbeat of the owner, with the state that other entry instances and a successor need.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HeartbeatRow {
    pub epoch: u64,
    pub renewals: u64,
    /// Workers that do not answer the owner, or that are no longer on the list of workers.
    pub out_of_reach: Vec<UnreachableWorker>,
    /// Number of jobs for which no task has started, by queue.
    pub pending: Vec<(QueueName, u64)>,
    /// Whether queues with waiting jobs are left out of `pending`.
    #[serde(default)]
    pub is_pending_partial: bool,
    /// Position of the job table at which `pending` was counted. Every job accepted before this
    /// position is counted until one of its tasks starts.
    #[serde(default)]
    pub counted: Option<StorePosition>,
    /// Age of `counted` when the heartbeat was created, in milliseconds, as estimated by the owner;
    /// `None` if it is not known.
    #[serde(default)]
    pub counted_age_ms: Option<u64>,
    /// Whether the owner has loaded the job table. Until then, it republishes the counts of the
    /// previous owner.
    #[serde(default)]
    pub is_loaded: bool,
    /// Whether a write of the owner failed recently, so that the store may be what delays it.
    #[serde(default)]
    pub has_failed: bool,
    /// Time since the start of the last surge of each pool, in milliseconds.
    #[serde(default)]
    pub surges_ms: Vec<(PoolName, u64)>,
    /// Queues of overloaded pools. Rows of older owners have none, so that no job is rejected.
    #[serde(default)]
    pub overloads: Vec<QueueOverload>,
}

/// Progress of a maintenance wave.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct WaveRow {
    /// Instances whose maintenance has started, or that are no longer part of the wave.
    pub done: Vec<InstanceName>,
    /// Instances whose maintenance may have been ordered.
    pub claimed: Vec<InstanceName>,
}

/// Key of a row of the state table: the record of a job, or a further row of it.
pub(crate) fn record_key(id: JobId, row: usize) -> String {
    match row {
        0 => job_key(id),
        _ => format!("{id}.{row}"),
    }
}

/// Returns the job and the number of a row of the state table.
pub(crate) fn parse_record_key(key: &str) -> Option<(JobId, usize)> {
    match key.split_once('.') {
        Some((id, row)) => Some((id.parse().ok()?, row.parse().ok()?)),
        None => Some((key.parse().ok()?, 0)),
    }
}

/// Key of a row of the job table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum JobKey {
    Order(JobId),
    Cancel(JobId),
}

pub(crate) fn job_key(id: JobId) -> String {
    id.to_string()
}

pub(crate) fn cancel_key(id: JobId) -> String {
    format!("{id}{CANCEL_SUFFIX}")
}

pub(crate) fn parse_job_key(key: &str) -> Option<JobKey> {
    match key.strip_suffix(CANCEL_SUFFIX) {
        Some(id) => id.parse().ok().map(JobKey::Cancel),
        None => key.parse().ok().map(JobKey::Order),
    }
}

/// Maximum size of a value in the store, in bytes.
const MAX_ROW_BYTES: usize = 64 * 1024;

/// Maximum size of an encoded job, in bytes. Below the limit of the store, so that the encoding can
/// grow.
const MAX_JOB_BYTES: usize = 48 * 1024;

/// Encodes a row of bounded content.
pub(crate) fn encode<T: Serialize>(content: &T) -> Bytes {
    encode_row(content).expect("rows of ownership and state are below the size limit")
}

/// Encodes a row. Fails if it is larger than 64 KiB.
pub(crate) fn encode_row<T: Serialize>(content: &T) -> Result<Bytes, CodecError> {
    codec::encode(content, MAX_ROW_BYTES)
}

pub(crate) fn decode<T: DeserializeOwned>(value: &[u8]) -> Result<T, CodecError> {
    codec::decode(value, MAX_ROW_BYTES)
}

/// Encodes a job. Fails if it is larger than 48 KiB.
pub(crate) fn encode_job(order: &JobOrder) -> Result<Bytes, CodecError> {
    codec::encode(order, MAX_JOB_BYTES)
}
