use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{FromInto, serde_as};
use sha2::{Digest, Sha256};

use super::CoarseAge;
use crate::ids::SessionId;

/// Wire units of usage per slot second.
const USAGE_UNITS: f64 = 100.0;

/// Wire units of the rate per slot.
const RATE_UNITS: f64 = 16.0;

/// Usage and backlog of one team in one pool at one entry instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageEntry {
    /// Number that the origin assigned to the pair of pool and team.
    pub slot: u32,
    /// Decayed usage in hundredths of a slot second.
    pub usage: u32,
    /// Slots held on average over the last second, in sixteenths of a slot.
    pub rate: u32,
    /// Number of queued jobs.
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

    /// Returns the usage in slot seconds.
    pub(crate) fn usage_s(&self) -> f64 {
        f64::from(self.usage) / USAGE_UNITS
    }

    /// Returns the average number of slots held.
    pub(crate) fn rate_slots(&self) -> f64 {
        f64::from(self.rate) / RATE_UNITS
    }
}

/// Number that an origin assigned to a pair of pool and team. The origin never reuses the number
/// for another pair.
///
/// The pair is sent as a 32-bit hash because names would take up most of a message. Pairs with the
/// same hash share their usage; limits do not depend on the hash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PairSlot {
    /// The number.
    pub slot: u32,
    /// Hash of the pool and the team, see [`pair_hash`].
    pub pair: u32,
}

/// Usage at one entry instance: either the entries that changed since a base version, or all
/// entries.
///
/// A receiver extrapolates unchanged entries by their rate and the decay of usage, so only entries
/// that deviate from this extrapolation are sent.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageSummary {
    /// Hash of the entry instance that the summary describes, see [`origin_hash`].
    pub origin: u32,
    /// Version, counted by the origin starting at 1.
    pub version: u64,
    /// Number of versions since the base version; 0 marks a complete summary.
    pub steps: u64,
    /// Time since the origin created the summary.
    #[serde_as(as = "FromInto<CoarseAge>")]
    pub age: Duration,
    /// Pairs that were added after the base version.
    pub pairs: Vec<PairSlot>,
    /// Changed entries, or all entries of a complete summary.
    pub entries: Vec<UsageEntry>,
}

impl UsageSummary {
    /// Returns the version that the receiver must have, or `None` for a complete summary.
    pub(crate) const fn base(&self) -> Option<u64> {
        if self.steps == 0 {
            None
        } else {
            Some(self.version.saturating_sub(self.steps))
        }
    }
}

/// Returns the hash of a pool or team name.
#[must_use]
pub fn name_hash(name: &str) -> u32 {
    let digest = Sha256::digest(name.as_bytes());
    u32::from_le_bytes([digest[0], digest[1], digest[2], digest[3]])
}

/// Returns the hash of a pair for [`PairSlot`] from the hashes of the pool and team names.
#[must_use]
pub const fn pair_hash(pool: u32, team: u32) -> u32 {
    pool.rotate_left(16) ^ team
}

/// Returns the hash of a session for [`UsageSummary`]. Session IDs are random, so truncation is
/// sufficient.
#[must_use]
#[expect(clippy::cast_possible_truncation, reason = "only a part is used")]
pub const fn origin_hash(session: SessionId) -> u32 {
    session.0 as u32
}
