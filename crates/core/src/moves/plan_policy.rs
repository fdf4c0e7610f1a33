use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationSeconds, serde_as};

/// Weights by which plans are compared, and the times that plans assume.
///
/// The planner compares a few plans for the day and takes the one with the lowest weighted sum.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanPolicy {
    /// Cost of one move.
    pub move_weight: u32,
    /// Cost of one minute between the time of a row and the end of its moves.
    pub rollout_weight: u32,
    /// Cost of one instance-hour in the spare pool or out of service.
    pub buffer_weight: u32,
    /// Cost of one hour in which a hundredth of the fleet is in another pool than the sizes of
    /// the pools, in proportion, would have it.
    pub share_weight: u32,
    /// Time for which a moving instance is out of service.
    #[serde_as(as = "DurationSeconds<u64>")]
    pub move_time: Duration,
    /// Time for which an instance under maintenance is out of service.
    #[serde_as(as = "DurationSeconds<u64>")]
    pub reboot_time: Duration,
}

impl PlanPolicy {
    /// Preferences of the Maracas Reading Rooms Trust: short roll-out and few moves.
    #[must_use]
    pub const fn with_short_rollout() -> Self {
        Self {
            move_weight: 100,
            rollout_weight: 10,
            buffer_weight: 1,
            share_weight: 1,
            move_time: Duration::from_secs(15),
            reboot_time: Duration::from_mins(3),
        }
    }

    /// Preferences of the Consorcio Relojero del Cantábrico: nearness to share and a small buffer.
    #[must_use]
    pub const fn with_low_share_deviation() -> Self {
        Self {
            move_weight: 2,
            rollout_weight: 1,
            buffer_weight: 10,
            share_weight: 10,
            move_time: Duration::from_secs(15),
            reboot_time: Duration::from_mins(3),
        }
    }
}

impl Default for PlanPolicy {
    fn default() -> Self {
        Self::with_short_rollout()
    }
}
