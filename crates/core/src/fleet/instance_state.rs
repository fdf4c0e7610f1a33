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
}
