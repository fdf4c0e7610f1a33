use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{FromInto, serde_as};
use sha2::{Digest, Sha256};

use super::CoarseAge;
use crate::ids::SessionId;

/// Units of usage in one second of slot time.
const USAGE_UNITS: f64 = 100.0;

/// Units of the rate in one slot.
const RATE_UNITS: f64 = 16.0;

/// Usage and backlog of one team in one pool at one entry instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageEntry {
    /// Number of the pair of pool and team at the origin.
    pub slot: u32,
    /// Decayed usage in hundredths of a slot second.
    pub usage: u32,
    /// Slots held on average over the last second, in sixteenths of a slot.
    pub rate: u32,
    /// Jobs queued.
    pub queued: u32,
}

impl UsageEntry {
    /// Creates an entry from usage in slot seconds and a rate in slots.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "float casts saturate, and neither value is negative"
    )]
    pub(crate) fn new(slot: u32, usage: f64, rate: f64, queued: u32) -> Self {
        Self {
            slot,
            usage: (usage * USAGE_UNITS).round() as u32,
            rate: (rate * RATE_UNITS).round() as u32,
            queued,
        }
    }

    /// Usage in slot seconds.
    pub(crate) fn usage_s(&self) -> f64 {
        f64::from(self.usage) / USAGE_UNITS
    }

    /// Slots held on average.
    pub(crate) fn rate_slots(&self) -> f64 {
        f64::from(self.rate) / RATE_UNITS
    }
}

/// Number that an origin gave to a pair. It never stands for another pair.
///
/// The pair is sent as a 32-bit hash, because names would make up most of a message. Two pairs with
/// the same hash would share their usage; limits do not depend on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PairSlot {
    /// The number.
    pub slot: u32,
    /// Hash of the pool and the team, see [`pair_hash`].
    pub pair: u32,
}

/// Usage at one entry instance: the entries that changed after an earlier version, or all of them.
///
/// A receiver brings an entry that did not change forward by its rate and the decay of usage, so
/// that only entries which deviate from that are sent.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageSummary {
    /// Hash of the entry instance that the summary describes, see [`origin_hash`].
    pub origin: u32,
    /// Version, counted by the origin from 1 on.
    pub version: u64,
    /// Versions since the one that the entries build on; 0 marks a complete summary.
    pub steps: u64,
    /// Time since the origin made the summary.
    #[serde_as(as = "FromInto<CoarseAge>")]
    pub age: Duration,
    /// Pairs that the version which the entries build on did not have.
    pub pairs: Vec<PairSlot>,
    /// Teams and pools with usage or backlog.
    pub entries: Vec<UsageEntry>,
}

impl UsageSummary {
    /// The version that the receiver must have; none is needed for a complete summary.
    pub(crate) const fn base(&self) -> Option<u64> {
        if self.steps == 0 {
            None
        } else {
            Some(self.version.saturating_sub(self.steps))
        }
    }
}

/// Hash of a pool's or team's name.
#[must_use]
pub fn name_hash(name: &str) -> u32 {
    let digest = Sha256::digest(name.as_bytes());
    u32::from_le_bytes([digest[0], digest[1], digest[2], digest[3]])
}

/// Hash of a pair of pool and team as used in [`PairSlot`], from the hashes of their names.
#[must_use]
pub const fn pair_hash(pool: u32, team: u32) -> u32 {
    pool.rotate_left(16) ^ team
}

/// Hash of a session as used in [`UsageSummary`]. Sessions are random numbers, so that a part of
/// them is enough.
#[must_use]
#[expect(clippy::cast_possible_truncation, reason = "only a part is used")]
pub const fn origin_hash(session: SessionId) -> u32 {
    session.0 as u32
}
