use serde::{Deserialize, Serialize};

use crate::ids::PoolName;

/// Service state of an instance. Every state except `Active` counts as unavailable.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// Accepts tasks of its pool.
    Active,
    /// Accepts no new tasks, in preparation for maintenance.
    Draining,
    /// The platform is rebooting the instance.
    Rebooting,
    /// Accepts no tasks, because several jobs that were not at fault failed on it.
    Quarantined,
    /// The platform does not list the instance as live.
    Failed,
    /// Accepts no new tasks, in preparation for its move to `target`.
    Moving {
        /// Pool that the instance moves to.
        target: PoolName,
    },
}

impl InstanceState {
    /// Whether the instance accepts new tasks.
    #[must_use]
    pub const fn is_active(&self) -> bool {
        matches!(self, Self::Active)
    }

    /// Whether a change from this state to `next` is a planned action, which is subject to the
    /// availability budget.
    #[must_use]
    pub const fn is_planned(&self, next: &Self) -> bool {
        self.is_active()
            && matches!(
                next,
                Self::Draining | Self::Quarantined | Self::Moving { .. }
            )
    }

    /// Whether the state may change to `next`.
    ///
    /// `Draining` and `Moving` can be cancelled. `FleetChange::AssignInstance` completes a move.
    #[must_use]
    pub const fn can_become(&self, next: &Self) -> bool {
        match (self, next) {
            (Self::Active, Self::Draining | Self::Quarantined | Self::Moving { .. })
            | (Self::Draining, Self::Rebooting)
            | (Self::Quarantined, Self::Draining) => true,
            (Self::Active, Self::Active) | (Self::Failed, Self::Failed) => false,
            (_, Self::Active | Self::Failed) => true,
            _ => false,
        }
    }

    /// Returns the lower-case name of the state.
    #[must_use]
    pub const fn label(&self) -> &'static str {
        match self {
            Self::Active => "active",
            Self::Draining => "draining",
            Self::Rebooting => "rebooting",
            Self::Quarantined => "quarantined",
            Self::Failed => "failed",
            Self::Moving { .. } => "moving",
        }
    }
}
