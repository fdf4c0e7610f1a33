use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use sesamedeal_core::fleet::DayTime;
use sesamedeal_core::ids::{Generation, InstanceName, PoolName, RackName, SessionId, ZoneName};

/// Answer to `GET /status`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StatusReply {
    /// Session of the entry instance that answers.
    pub session: SessionId,
    /// Generation that it acts under.
    pub generation: Generation,
    /// Highest settled generation that it knows.
    pub settled: Generation,
    /// Age of its newest evidence of the head, in milliseconds.
    pub evidence_age_ms: Option<u64>,
    /// Whether work that needs a key is accepted.
    pub keyed_work: bool,
    /// Whether the last call to the table service succeeded.
    pub store_reachable: bool,
    /// Session that holds the controller's lease, if known.
    pub controller: Option<SessionId>,
    /// Entry instances.
    pub sessions: Vec<SessionStatus>,
    /// Pools.
    pub pools: Vec<PoolStatus>,
    /// Instances of the pools.
    pub instances: Vec<InstanceStatus>,
    /// Availability zones that have instances or are evacuated.
    #[serde(default)]
    pub zones: Vec<ZoneStatus>,
    /// State of the maintenance wave, if there is one.
    pub wave: Option<CompactString>,
}

/// An entry instance.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SessionStatus {
    /// Its session.
    pub session: SessionId,
    /// IP address and port.
    pub address: CompactString,
    /// Availability zone.
    pub zone: ZoneName,
    /// `active`, `leaving` or `left`.
    pub state: CompactString,
    /// Generation that it acts under.
    pub applied: Generation,
    /// Generation that nothing running at it contradicts.
    pub quiesced: Generation,
}

/// A pool.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PoolStatus {
    /// Name of the pool.
    pub name: PoolName,
    /// Number of instances that the pool should have.
    pub size: u32,
    /// Number of instances that it has.
    pub instances: u32,
    /// Number of its instances that take work.
    pub available: u32,
    /// Availability budget: instances that may be out of service at once.
    pub max_unavailable: u32,
    /// Whether the pool holds the spare instances.
    pub spare: bool,
}

/// An instance of a pool.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// Platform name.
    pub name: InstanceName,
    /// Its pool.
    pub pool: PoolName,
    /// State, as in the design page.
    pub state: CompactString,
    /// IP address and port of its backend server.
    pub address: CompactString,
    /// Availability zone.
    pub zone: ZoneName,
    /// Rack.
    pub rack: RackName,
}

/// An availability zone.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ZoneStatus {
    /// Name of the availability zone.
    pub zone: ZoneName,
    /// Number of its instances.
    pub instances: u32,
    /// Number of its instances that take work.
    pub available: u32,
    /// Request that nothing more starts there, if there is one.
    pub evacuation: Option<EvacuationStatus>,
}

/// Request that nothing more starts in an availability zone.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct EvacuationStatus {
    /// Time of the request.
    pub requested: DayTime,
    /// Age of the request, in seconds.
    pub age_s: u64,
}
