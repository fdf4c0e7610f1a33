use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;

use super::ResourceAmount;
use crate::ids::{InstanceName, PoolName, ZoneName};

/// State of a worker in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerState {
    /// The worker accepts new tasks.
    Ready,
    /// The worker is about to shut down.
    Draining,
}

/// Entry of a worker in the platform's list.
#[derive(Debug, Clone)]
pub struct WorkerReport {
    /// Name of the worker.
    pub name: InstanceName,
    /// Instance that the worker runs on, if the list contains it.
    pub instance: Option<InstanceName>,
    /// Pool of the worker.
    pub pool: PoolName,
    /// IP address and port for calls to the worker.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Whether the worker accepts new tasks.
    pub state: WorkerState,
    /// Total capacity.
    pub capacity: ResourceAmount,
    /// Kind and rack of the worker.
    pub labels: Vec<CompactString>,
    /// Unix time of the worker's start, in milliseconds.
    pub boot: u64,
    /// How much longer the worker is slow after its start.
    pub warm_up: Duration,
}
