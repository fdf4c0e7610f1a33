use std::ops::Range;

/// Time between the start of the instances and the first job, in milliseconds.
pub(super) const LEAD_MS: u64 = 6_000;

/// Time after the start of an outage of the store from which an owner orders no moves, in
/// milliseconds.
const RENEWAL_LIMIT_MS: u64 = 1_500;

/// Trouble on a simulated day.
#[derive(Debug, Clone, Default)]
pub struct WorldTrouble {
    /// Time in which the store does not answer, in milliseconds from the first job.
    pub silent_store: Option<Range<u64>>,
    /// Time in which a tenth of the instances has failed, in milliseconds from the first job.
    pub failed_instances: Option<Range<u64>>,
}

impl WorldTrouble {
    pub(super) fn is_store_silent(&self, now: u64) -> bool {
        let silence = self.silent_store.as_ref();
        silence.is_some_and(|time| now >= LEAD_MS && time.contains(&(now - LEAD_MS)))
    }

    /// Whether the owner may order moves.
    pub(super) fn may_move(&self, now: u64) -> bool {
        !self.is_store_silent(now) || !self.is_store_silent(now.saturating_sub(RENEWAL_LIMIT_MS))
    }
}
