use std::fmt;

use serde::{Deserialize, Serialize};

/// Sequence number of a record in the change log; each accepted change increments it by one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Generation(pub u64);

impl Generation {
    /// The generation of an empty log.
    pub const ZERO: Self = Self(0);

    /// The generation that follows this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Generation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
