use std::time::Duration;

use super::OwnerPolicy;
use super::hand_over::OFFER_OVERLAP;

/// How an ownership came free.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TakeoverKind {
    /// It was released, or the process of its holder has ended.
    Vacant,
    /// It was not renewed. The holder may live.
    Expired,
    /// The holder has offered it.
    HandedOver,
    /// The holder renews it and does not take up the jobs that are accepted.
    Lagging,
}

impl TakeoverKind {
    /// Time for which the earlier holder may go on to extend leases.
    pub(super) const fn overlap(self, policy: &OwnerPolicy) -> Duration {
        match self {
            Self::Vacant => Duration::ZERO,
            Self::Expired => policy.grace_period.saturating_sub(policy.expiry),
            Self::HandedOver => OFFER_OVERLAP,
            // Its last renewal may have been the moment before.
            Self::Lagging => policy.grace_period,
        }
    }
}
