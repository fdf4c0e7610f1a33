use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use sesamedeal_core::ids::{ImageName, InstanceName, RackName, ZoneName};

/// Whether the platform is about to take an instance away.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ListedState {
    /// The instance is live.
    Live,
    /// The instance is leaving.
    Leaving,
}

/// An instance as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformInstance {
    /// Platform name.
    pub name: InstanceName,
    /// Whether it is an entry instance; otherwise it runs a backend server.
    pub entry: bool,
    /// IP address and port of its process.
    pub address: CompactString,
    /// Availability zone.
    pub zone: ZoneName,
    /// Rack within the availability zone.
    pub rack: RackName,
    /// Machine image.
    pub image: ImageName,
    /// Live or leaving.
    pub state: ListedState,
    /// Number that changes with each boot.
    pub boot: u64,
    /// Processor cores.
    pub cores: u32,
    /// Memory in MB.
    pub memory_mb: u32,
    /// Tasks that the backend server runs at once.
    pub slots: u32,
}

/// Answer to `GET /v1/instances`. The list lags behind the machines.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// Instances that are live or leaving.
    pub instances: Vec<PlatformInstance>,
}
