/// Callers of one team in one pool at one entry instance. Each sends its next job after an answer.
#[derive(Debug, Clone)]
pub(super) struct CallerGroup {
    pub(super) team: usize,
    pub(super) pool: usize,
    pub(super) entry: usize,
    /// Callers that are present.
    pub(super) callers: u32,
    /// Callers that wait for an answer or for their time to come back.
    pub(super) busy: u32,
}

/// Load of a surging pool relative to its mean.
const SURGE_FACTOR: u32 = 5;

/// Part of its mean that a pool is at after its surge: one in this many callers.
const QUIET_DIVISOR: u32 = 20;

/// How many callers are present in a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LoadLevel {
    /// The mean.
    Mean,
    /// 5 times the mean.
    Surge,
    /// 1/20 of the mean.
    Quiet,
}

impl LoadLevel {
    /// Number of callers for a mean number.
    pub(super) const fn callers(self, mean: u32) -> u32 {
        match self {
            Self::Mean => mean,
            Self::Surge => mean * SURGE_FACTOR,
            Self::Quiet => mean / QUIET_DIVISOR,
        }
    }
}
