use std::fmt;

use sesamedeal_core::ids::{InstanceName, PoolName, ZoneName};

use super::AsyncCall;

/// State of an instance in the platform's inventory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InventoryState {
    /// The instance runs a worker, or is switched off in the spare pool.
    Up,
    /// The instance is moving to another pool.
    Moving,
    /// The instance is under maintenance.
    UnderMaintenance,
    /// The instance is down.
    Down,
}

/// Entry of the platform's inventory of instances.
#[derive(Debug, Clone)]
pub struct InstanceReport {
    /// Name of the instance.
    pub name: InstanceName,
    /// Pool of the instance.
    pub pool: PoolName,
    /// State of the instance.
    pub state: InventoryState,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// Worker that the instance runs, if any.
    pub worker: Option<InstanceName>,
}

/// Order to move or maintain one instance.
#[derive(Debug, Clone)]
pub struct InstanceOrder {
    /// Instance to move or maintain.
    pub instance: InstanceName,
    /// Name of the entry instance that gives the order.
    pub holder: InstanceName,
    /// Epoch of the owner, used as fencing token.
    pub fence: u64,
    /// Target pool of a move; `None` for maintenance.
    pub pool: Option<PoolName>,
    /// Number of the maintenance wave; `None` for a move.
    pub wave: Option<u64>,
}

/// Response to an [`InstanceOrder`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The order has been carried out, now or earlier.
    Accepted,
    /// An earlier order for the instance had a higher fencing token.
    Fenced,
    /// The instance is not up.
    Busy,
    /// The instance is not part of the wave, or does not exist.
    Refused,
}

/// Inventory of instances that the platform manages.
#[derive(Clone)]
pub struct FleetPort {
    /// Lists all instances.
    pub list: AsyncCall<(), Vec<InstanceReport>>,
    /// Moves or maintains an instance.
    pub order: AsyncCall<InstanceOrder, OrderOutcome>,
}

impl fmt::Debug for FleetPort {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("FleetPort").finish_non_exhaustive()
    }
}
