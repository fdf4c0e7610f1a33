use serde::{Deserialize, Serialize};

use crate::ids::PoolName;

/// Whether an instance takes work. Every state but `Active` counts as unavailable.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// Takes work for its pool.
    Active,
    /// Takes no new work, ahead of maintenance.
    Draining,
    /// Is rebooted by the platform.
    Rebooting,
    /// Failed several good jobs and takes no work.
    Quarantined,
    /// Is not listed as live by the platform.
    Failed,
    /// Takes no new work, ahead of its move to `target`.
    Moving {
        /// Pool that the instance goes to.
        target: PoolName,
    },
}

impl InstanceState {
    /// Whether the instance takes new work.
    #[must_use]
    pub const fn is_active(&self) -> bool {
        matches!(self, Self::Active)
    }

    /// Whether a change from this state to `next` is a planned action, which the availability
    /// budget must allow.
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
    /// `Draining` and `Moving` may be given up. A move ends with `FleetChange::AssignInstance`.
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

    /// Lower-case name of the state.
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
