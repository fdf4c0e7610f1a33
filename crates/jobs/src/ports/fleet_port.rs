use std::fmt;

use sesamedeal_core::ids::{InstanceName, PoolName};

use super::AsyncCall;

/// What an instance does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InventoryState {
    /// It runs a worker, or is switched off in the spare pool.
    Up,
    /// It moves to another pool.
    Moving,
    /// It is in maintenance.
    UnderMaintenance,
    /// It is down.
    Down,
}

/// An instance in the platform's inventory.
#[derive(Debug, Clone)]
pub struct InstanceReport {
    /// Its name.
    pub name: InstanceName,
    /// Its pool.
    pub pool: PoolName,
    /// What it does.
    pub state: InventoryState,
    /// Its worker, if it runs one.
    pub worker: Option<InstanceName>,
}

/// Order for one instance.
#[derive(Debug, Clone)]
pub struct InstanceOrder {
    /// The instance.
    pub instance: InstanceName,
    /// Name of the ordering entry instance.
    pub holder: InstanceName,
    /// Epoch of the owner.
    pub fence: u64,
    /// Pool that it moves to; none for maintenance.
    pub pool: Option<PoolName>,
    /// Wave of the maintenance; none for a move.
    pub wave: Option<u64>,
}

/// Answer to an [`InstanceOrder`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It is done or was done before.
    Accepted,
    /// A higher fence number was used for the instance.
    Fenced,
    /// The instance is not up.
    Busy,
    /// The instance is not part of the wave, or does not exist.
    Refused,
}

/// The platform's inventory of instances.
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
