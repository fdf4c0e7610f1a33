use super::PresentedKey;
use crate::code::ResultCode;
use crate::fleet::FleetState;
use crate::ids::{KeyId, TeamName};

/// Hash that a secret is compared with when the key id is unknown, so that response time does not
/// reveal whether an id exists.
const PLACEHOLDER_HASH: [u8; 32] = [0; 32];

/// Reason for rejecting a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyRefusal {
    /// The id is unknown or the secret does not match.
    Invalid,
    /// The key was withdrawn, or its team was removed.
    Withdrawn,
}

impl KeyRefusal {
    /// Result code that the caller receives.
    #[must_use]
    pub const fn code(self) -> ResultCode {
        match self {
            Self::Invalid => ResultCode::InvalidKey,
            Self::Withdrawn => ResultCode::WithdrawnKey,
        }
    }
}

/// Verifies the key of an incoming request and returns the team that it was granted to.
///
/// # Errors
///
/// Returns the reason if the key is rejected. A withdrawn key is reported as withdrawn only to a
/// caller that presents the matching secret.
pub fn check_key<'a>(
    state: &'a FleetState,
    key: &PresentedKey,
) -> Result<&'a TeamName, KeyRefusal> {
    let record = state.keys.get(&key.id);
    let hash = record.map_or(&PLACEHOLDER_HASH, |record| &record.hash);
    let is_match = key.secret.matches(hash);
    match record {
        Some(_) if is_match => recheck_key(state, &key.id),
        _ => Err(KeyRefusal::Invalid),
    }
}

/// Checks at dispatch that a previously verified key is still granted.
///
/// # Errors
///
/// Returns the reason if the key is no longer accepted.
pub fn recheck_key<'a>(state: &'a FleetState, id: &KeyId) -> Result<&'a TeamName, KeyRefusal> {
    match state.keys.get(id) {
        Some(record) if record.withdrawn || !state.teams.contains_key(&record.team) => {
            Err(KeyRefusal::Withdrawn)
        }
        Some(record) => Ok(&record.team),
        None => Err(KeyRefusal::Invalid),
    }
}
