use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::InstanceState;
use crate::ids::{Generation, ImageName, PoolName, RackName, ZoneName};

/// Description of an instance and its place in the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// The one pool that the instance belongs to.
    pub pool: PoolName,
    /// Whether the instance takes work, and if not, why.
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
    /// Tasks that the backend server runs at once.
    pub slots: u32,
    /// Boot identifier that the platform last reported.
    pub boot: u64,
    /// Generation in which pool or state last changed. Set when a record is applied.
    #[serde(default)]
    pub since: Generation,
    /// Day of the last maintenance, in days since 1970-01-01; the day of registration before that.
    #[serde(default)]
    pub maintained: u32,
}
