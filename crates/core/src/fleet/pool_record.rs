use serde::{Deserialize, Serialize};

/// Settings of a pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolRecord {
    /// Desired number of instances.
    pub size: u32,
    /// Availability budget: maximum number of instances out of service at the same time. Failures
    /// count towards it, but only planned actions are limited by it.
    pub max_unavailable: u32,
    /// Whether the pool holds the spare instances.
    pub spare: bool,
}
