use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::ids::{ImageName, InstanceName, RackName, ZoneName};

/// Role of an instance on the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EntryRole {
    /// An entry instance.
    Entry,
    /// A backend server.
    Backend,
}

/// Whether the platform retains an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ListState {
    /// The instance is running.
    Live,
    /// The instance is running and the platform is about to remove it.
    Leaving,
}

/// Entry of the platform's instance list, which lags behind the actual state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Platform name of the instance.
    pub name: InstanceName,
    /// Role of the instance.
    pub role: EntryRole,
    /// IP address and port.
    pub address: CompactString,
    /// Availability zone.
    pub zone: ZoneName,
    /// Rack within the availability zone.
    pub rack: RackName,
    /// Machine image.
    pub image: ImageName,
    /// Whether the platform retains it.
    pub state: ListState,
    /// Boot identifier; changes with each boot.
    pub boot: u64,
    /// Processor cores.
    pub cores: u32,
    /// Memory in MB.
    pub memory_mb: u32,
    /// Number of tasks that the backend server runs concurrently.
    pub slots: u32,
}
