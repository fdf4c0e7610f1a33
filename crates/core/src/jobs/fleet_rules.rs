use std::collections::HashMap;
use std::time::Duration;

use super::ResourceAmount;
use crate::ids::{PoolName, QueueName, TeamName};

/// Rules of a queue.
#[derive(Debug, Clone)]
pub struct QueueRule {
    /// Pool whose workers run the jobs.
    pub pool: PoolName,
    /// Priority; 0 comes first.
    pub priority: u32,
    /// Failed runs of a task after which its job has failed.
    pub attempts: u32,
    /// Objective of a job, as a multiple of the run time of its longest chain of steps.
    pub stretch: f64,
    /// Allowance of the objective beyond the stretched run time.
    pub slack: Duration,
    /// Whether tasks need a ticket from the queue's policy service.
    pub needs_ticket: bool,
}

/// Rules of a pool.
#[derive(Debug, Clone, Copy)]
pub struct PoolRule {
    /// Whether the pool holds instances that are switched off.
    pub is_spare: bool,
}

/// Rules of a team.
#[derive(Debug, Clone, Copy)]
pub struct TeamRule {
    /// Share of the team when a pool is full.
    pub weight: f64,
    /// Most that the team may have running; a zero means no limit of that resource.
    pub limit: ResourceAmount,
}

/// The configuration as far as it decides about jobs.
#[derive(Debug, Clone, Default)]
pub struct FleetRules {
    /// Version of the configuration.
    pub version: u64,
    /// Queues by name.
    pub queues: HashMap<QueueName, QueueRule>,
    /// Pools by name.
    pub pools: HashMap<PoolName, PoolRule>,
    /// Teams by name.
    pub teams: HashMap<TeamName, TeamRule>,
}
