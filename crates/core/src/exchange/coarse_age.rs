use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Milliseconds per unit.
const UNIT_MS: u32 = 10;

/// Age in hundredths of a second, rounded up. Ages up to 1.27 s take one byte in MessagePack.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct CoarseAge(u32);

impl From<Duration> for CoarseAge {
    fn from(age: Duration) -> Self {
        let units = age.as_millis().div_ceil(u128::from(UNIT_MS));
        Self(u32::try_from(units).unwrap_or(u32::MAX))
    }
}

impl From<CoarseAge> for Duration {
    fn from(age: CoarseAge) -> Self {
        Self::from_millis(u64::from(age.0) * u64::from(UNIT_MS))
    }
}
