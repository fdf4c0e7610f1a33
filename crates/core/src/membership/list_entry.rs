use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::ids::{ImageName, InstanceName, RackName, ZoneName};

/// What the platform runs on an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EntryRole {
    /// An entry instance.
    Entry,
    /// A backend server.
    Backend,
}

/// Whether the platform keeps an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ListState {
    /// The instance runs.
    Live,
    /// The instance runs and is about to be taken away.
    Leaving,
}

/// One entry of the platform's list of instances, which lags behind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Platform name of the instance.
    pub name: InstanceName,
    /// What runs on it.
    pub role: EntryRole,
    /// IP address and port.
    pub address: CompactString,
    /// Availability zone.
    pub zone: ZoneName,
    /// Rack within the availability zone.
    pub rack: RackName,
    /// Machine image.
    pub image: ImageName,
    /// Whether the platform keeps it.
    pub state: ListState,
    /// Boot identifier; changes with each boot.
    pub boot: u64,
    /// Processor cores.
    pub cores: u32,
    /// Memory in MB.
    pub memory_mb: u32,
    /// Tasks that the backend server runs at once.
    pub slots: u32,
}
