use std::net::SocketAddr;

use compact_str::CompactString;

use super::ResourceAmount;
use crate::ids::{InstanceName, PoolName, ZoneName};

/// Whether a worker takes new tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerState {
    /// It takes tasks.
    Ready,
    /// It is about to leave.
    Draining,
}

/// Entry of a worker in the platform's list.
#[derive(Debug, Clone)]
pub struct WorkerReport {
    /// Name of the worker.
    pub name: InstanceName,
    /// Machine that the worker runs on, if the list names it.
    pub instance: Option<InstanceName>,
    /// Pool.
    pub pool: PoolName,
    /// IP address and port.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Whether it takes new tasks.
    pub state: WorkerState,
    /// What it can run at once.
    pub capacity: ResourceAmount,
    /// Its kind and its rack.
    pub labels: Vec<CompactString>,
    /// Unix time of its start, in milliseconds.
    pub boot: u64,
}
