use std::time::Duration;

use super::OwnerPolicy;
use super::hand_over::OFFER_OVERLAP;

/// How the ownership became available.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TakeoverKind {
    /// It was released, or the process of its holder has ended.
    Vacant,
    /// It was not renewed in time. The holder may still be running.
    Expired,
    /// The holder offered it.
    HandedOver,
    /// The holder renews it but does not process accepted jobs.
    Lagging,
}

impl TakeoverKind {
    /// Time for which the previous holder may still extend leases.
    pub(super) const fn overlap(self, policy: &OwnerPolicy) -> Duration {
        match self {
            Self::Vacant => Duration::ZERO,
            Self::Expired => policy.grace_period.saturating_sub(policy.expiry),
            Self::HandedOver => OFFER_OVERLAP,
            // The holder may have renewed it just before.
            Self::Lagging => policy.grace_period,
        }
    }

    /// Time for which the previous holder may still start tasks of jobs that arrive. It holds them
    /// back once it has not renewed the ownership for about as long.
    pub(super) const fn arrival_overlap(self, policy: &OwnerPolicy) -> Duration {
        match self {
            Self::Vacant | Self::Expired | Self::HandedOver => Duration::ZERO,
            Self::Lagging => policy.expiry,
        }
    }
}
