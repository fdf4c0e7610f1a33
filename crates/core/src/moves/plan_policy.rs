use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationSeconds, serde_as};

/// Weights for the comparison of plans, and the durations that plans assume.
///
/// The planner compares several plans for the day and chooses the one with the lowest weighted sum.
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
    /// Cost of one hour in which one hundredth of the fleet is in another pool than the proportions
    /// of the pool sizes demand.
    pub share_weight: u32,
    /// Time for which a moving instance is out of service.
    #[serde_as(as = "DurationSeconds<u64>")]
    pub move_time: Duration,
    /// Time for which an instance under maintenance is out of service.
    #[serde_as(as = "DurationSeconds<u64>")]
    pub reboot_time: Duration,
}

impl PlanPolicy {
    /// Creates the policy of the Maracas Reading Rooms Trust: short roll-outs and few moves.
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

    /// Creates the policy of the Consorcio Relojero del Cantábrico: a low deviation from the
    /// proportions of the pool sizes and a small buffer.
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
