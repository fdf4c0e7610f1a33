use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::InstanceState;
use crate::ids::{Generation, ImageName, PoolName, RackName, ZoneName};

/// Properties of an instance, its pool and its state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// Pool that the instance belongs to.
    pub pool: PoolName,
    /// Whether the instance accepts tasks, and if not, why.
    pub state: InstanceState,
    /// IP address and port of its backend server.
    pub address: CompactString,
    /// Availability zone.
    pub zone: ZoneName,
    /// Rack within the availability zone.
    pub rack: RackName,
    /// Machine image.
    pub image: ImageName,
    /// Processor cores.
    pub cores: u32,
    /// Memory in MB.
    pub memory_mb: u32,
    /// Maximum number of tasks that the backend server runs concurrently.
    pub slots: u32,
    /// Most recent boot identifier reported by the platform.
    pub boot: u64,
    /// Generation in which the pool or state last changed. [`FleetState::apply`] sets it.
    ///
    /// [`FleetState::apply`]: super::FleetState::apply
    #[serde(default)]
    pub since: Generation,
    /// Day of the last maintenance, in days since 1970-01-01. Before the first maintenance, the day
    /// of registration.
    #[serde(default)]
    pub maintained: u32,
}
