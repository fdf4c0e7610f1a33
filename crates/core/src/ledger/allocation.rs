use rand::Rng;
use rand_pcg::Pcg64Mcg;
use sha2::{Digest, Sha256};

use crate::ids::SessionId;

/// Seed of the rendezvous hash of a resource; the same on all entry instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnitSeed(u128);

impl UnitSeed {
    /// Derives the seed from a resource's name and a block number.
    #[must_use]
    pub fn new(name: &str, block: u8) -> Self {
        let mut hash = Sha256::new();
        hash.update([block]);
        hash.update(name.as_bytes());
        let mut seed = [0; 16];
        seed.copy_from_slice(&hash.finalize()[..16]);
        Self(u128::from_le_bytes(seed))
    }

    /// Rendezvous score of a session.
    ///
    /// The generator ignores the lowest bit of its seed, hence the shift. The second output is used
    /// because the first one is not mixed well enough for small session numbers.
    #[must_use]
    pub fn score(self, session: SessionId) -> u64 {
        let mut rng = Pcg64Mcg::new(self.0 ^ (u128::from(session.0) << 1));
        rng.next_u64();
        rng.next_u64()
    }
}

/// Number of permits that `session`, one of `sessions`, has of a team with `limit` permits.
/// `sessions` is sorted; the result is 0 for a session that it does not contain.
///
/// The remainder of the division goes to the first sessions in rendezvous order, so that raising
/// the limit never lowers an allocation.
#[must_use]
pub fn permit_allocation(
    limit: u32,
    seed: UnitSeed,
    session: SessionId,
    sessions: &[SessionId],
) -> u32 {
    if sessions.binary_search(&session).is_err() {
        return 0;
    }
    let count = u32::try_from(sessions.len()).unwrap_or(u32::MAX);
    let remainder = limit % count;
    if remainder == 0 {
        return limit / count;
    }
    let own = (seed.score(session), session);
    let ahead = sessions
        .iter()
        .filter(|other| (seed.score(**other), **other) > own)
        .count();
    limit / count + u32::from(ahead < remainder as usize)
}

/// Session that owns a block of a worker's slots; `None` if there are no sessions.
#[must_use]
pub fn block_owner(seed: UnitSeed, sessions: &[SessionId]) -> Option<SessionId> {
    sessions
        .iter()
        .copied()
        .max_by_key(|session| (seed.score(*session), *session))
}

/// Number of slots in the first and in the second block of a worker.
#[must_use]
pub const fn block_units(slots: u32) -> [u32; 2] {
    [slots / 2, slots - slots / 2]
}
