use std::collections::HashMap;
use std::time::Duration;

use super::ResourceAmount;
use crate::ids::{PoolName, QueueName, TeamName};

/// Scheduling rules of a queue.
#[derive(Debug, Clone)]
pub struct QueueRule {
    /// Pool whose workers run the queue's jobs.
    pub pool: PoolName,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs of a task after which its job fails.
    pub attempts: u32,
    /// Completion objective of a job, as a multiple of the run time of its critical path.
    pub stretch: f64,
    /// Time added to the stretched run time to get the objective.
    pub slack: Duration,
    /// Whether a task needs a ticket from the queue's policy service to start.
    pub needs_ticket: bool,
}

/// Rules of a pool.
#[derive(Debug, Clone, Copy)]
pub struct PoolRule {
    /// Whether this is the spare pool, which holds instances that are switched off.
    pub is_spare: bool,
}

/// Rules of a team.
#[derive(Debug, Clone, Copy)]
pub struct TeamRule {
    /// Fair-share weight of the team when a pool is full.
    pub weight: f64,
    /// Resources that the team's running tasks may use in total; zero means unlimited.
    pub limit: ResourceAmount,
}

/// Part of the configuration that job scheduling depends on.
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
