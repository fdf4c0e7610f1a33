use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use sha2::{Digest, Sha256};

use crate::ids::SessionId;

/// Usage and backlog of one team in one pool at one entry instance.
///
/// Names are sent as 32-bit hashes, because they would make up most of a message. Two names with
/// the same hash would share their usage; limits do not depend on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageEntry {
    /// Hash of the pool's name.
    pub pool: u32,
    /// Hash of the team's name.
    pub team: u32,
    /// Decayed usage in slot milliseconds.
    pub usage_ms: u64,
    /// Slots held.
    pub held: u32,
    /// Jobs queued.
    pub queued: u32,
}

/// Usage at one entry instance. A newer version replaces an older one.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageSummary {
    /// The entry instance that the summary describes.
    pub origin: SessionId,
    /// Version, counted by the origin.
    pub version: u64,
    /// Time since the origin made the summary.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
    /// Teams and pools with usage or backlog.
    pub entries: Vec<UsageEntry>,
}

/// Hash of a pool's or team's name as used in [`UsageEntry`].
#[must_use]
pub fn name_hash(name: &str) -> u32 {
    let digest = Sha256::digest(name.as_bytes());
    u32::from_le_bytes([digest[0], digest[1], digest[2], digest[3]])
}
