//! Rows of our own, in MessagePack.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use sesamedeal_core::ids::{InstanceName, PoolName, QueueName, SessionId};
use sesamedeal_core::jobs::{JobId, JobOrder, UnreachableWorker};
use sesamedeal_core::lease::InstanceCapacity;
use sesamedeal_wire::codec::{self, CodecError};

use crate::ports::StorePosition;

/// Key of the row with the ownership epoch.
pub(crate) const EPOCH_KEY: &str = "epoch";

/// Key of the row that the owner renews.
pub(crate) const HEARTBEAT_KEY: &str = "pulse";

/// Key of the row that numbers the owner's writes.
pub(crate) const SEQUENCE_KEY: &str = "sequence";

/// Ending of the key of a request to cancel a job.
const CANCEL_ENDING: &str = ".cancel";

/// Who owns the pools. The row changes only when the ownership changes hands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EpochRow {
    pub epoch: u64,
    pub holder: SessionId,
    /// Entry instance of the holder.
    pub node: InstanceName,
    /// Where the holder's process is watched.
    pub address: SocketAddr,
    /// Whether the holder has given the ownership up.
    pub is_released: bool,
    /// Largest capacity of an instance that is thought to be alive.
    #[serde(default)]
    pub largest: InstanceCapacity,
}

/// Sign of life of the owner, with what others need to know.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HeartbeatRow {
    pub epoch: u64,
    pub renewals: u64,
    /// Workers that do not answer the owner, or that the list has dropped.
    pub out_of_reach: Vec<UnreachableWorker>,
    /// Jobs by queue for which no task has started.
    pub pending: Vec<(QueueName, u64)>,
    /// Where the table of jobs stood when these were counted. All jobs accepted before are in the
    /// counts until a task of theirs starts.
    #[serde(default)]
    pub counted: Option<StorePosition>,
    /// How old that was when the heartbeat was made, in milliseconds, as the owner estimates it; none if
    /// that is not known.
    #[serde(default)]
    pub counted_age_ms: Option<u64>,
    /// Whether the owner has read the jobs. Before that, it repeats the counts of the earlier one.
    #[serde(default)]
    pub is_loaded: bool,
    /// Whether a write of the owner has failed lately, so that it may be behind because of the store.
    #[serde(default)]
    pub has_failed: bool,
    /// How long ago each pool began to surge last, in milliseconds.
    #[serde(default)]
    pub surges_ms: Vec<(PoolName, u64)>,
}

/// Progress of a maintenance wave.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct WaveRow {
    /// Instances whose maintenance has begun, or that are no longer part of the wave.
    pub done: Vec<InstanceName>,
    /// Instances whose maintenance may have been ordered.
    pub claimed: Vec<InstanceName>,
}

/// Row of the table of jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum JobKey {
    Order(JobId),
    Cancel(JobId),
}

pub(crate) fn job_key(id: JobId) -> String {
    id.to_string()
}

pub(crate) fn cancel_key(id: JobId) -> String {
    format!("{id}{CANCEL_ENDING}")
}

pub(crate) fn parse_job_key(key: &str) -> Option<JobKey> {
    match key.strip_suffix(CANCEL_ENDING) {
        Some(id) => id.parse().ok().map(JobKey::Cancel),
        None => key.parse().ok().map(JobKey::Order),
    }
}

/// Largest value that the store takes, in bytes.
const MAX_ROW_BYTES: usize = 64 * 1024;

/// Largest value of a job row, in bytes. It leaves room for the growth of the encoding.
const MAX_JOB_BYTES: usize = 48 * 1024;

pub(crate) fn encode<T: Serialize>(content: &T) -> Bytes {
    codec::encode(content, MAX_ROW_BYTES).expect("rows of ownership and state are small")
}

pub(crate) fn decode<T: DeserializeOwned>(value: &[u8]) -> Result<T, CodecError> {
    codec::decode(value, MAX_ROW_BYTES)
}

/// Encodes a job.
pub(crate) fn encode_job(order: &JobOrder) -> Result<Bytes, CodecError> {
    codec::encode(order, MAX_JOB_BYTES)
}
