use serde::{Deserialize, Serialize};

/// Settings of a pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolRecord {
    /// Number of instances that the pool should have.
    pub size: u32,
    /// Availability budget: instances that may be out of service at once.
    pub max_unavailable: u32,
    /// Whether the pool holds the spare instances.
    pub spare: bool,
}
