use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::ResourceAmount;
use crate::ids::{PoolName, QueueName, TeamName};

/// Longest objective of a job. Longer ones are not told apart.
const MAX_OBJECTIVE: Duration = Duration::from_secs(1_000_000);

/// Scheduling rules of a queue.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
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
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub slack: Duration,
    /// Set if a task needs a ticket from the policy service to start.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advice: Option<AdviceRule>,
}

impl QueueRule {
    /// Returns the time within which a job with the given critical path should end after its
    /// acceptance.
    #[must_use]
    pub fn objective(&self, critical_path: Duration) -> Duration {
        let stretched = critical_path.as_secs_f64() * self.stretch.max(0.0);
        Duration::try_from_secs_f64(stretched)
            .unwrap_or(MAX_OBJECTIVE)
            .saturating_add(self.slack)
            .min(MAX_OBJECTIVE)
    }
}

/// Time that the policy service takes to decide about a step of a queue.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdviceRule {
    /// Time for each call.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub decide_time: Duration,
    /// Additional time for each worker in a call.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub worker_time: Duration,
}

impl AdviceRule {
    /// Time that the service takes for a call that names `workers` workers.
    #[must_use]
    pub fn answer_time(&self, workers: usize) -> Duration {
        let workers = u32::try_from(workers).unwrap_or(u32::MAX);
        let more = self.worker_time.saturating_mul(workers);
        self.decide_time.saturating_add(more)
    }
}

/// Rules of a pool.
#[derive(Debug, Clone, Copy)]
pub struct PoolRule {
    /// Whether this is the spare pool, which holds instances that are switched off.
    pub is_spare: bool,
}

/// Rules of a team.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct TeamRule {
    /// Fair-share weight of the team when a pool is full.
    pub weight: f64,
    /// Resources that the team's running tasks may use in total; zero means unlimited.
    pub limit: ResourceAmount,
}

/// Rules of the queue and the team of a job when it was accepted. They apply if a later configuration
/// has removed the queue or the team.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OrderRules {
    /// Rules of the queue.
    pub queue: QueueRule,
    /// Rules of the team; none on a queue that needs no key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub team: Option<TeamRule>,
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

impl FleetRules {
    /// Returns the rules for a job of `queue` and `team` that is accepted now, or `None` if the queue
    /// does not exist.
    #[must_use]
    pub fn order_rules(&self, queue: &QueueName, team: Option<&TeamName>) -> Option<OrderRules> {
        Some(OrderRules {
            queue: self.queues.get(queue)?.clone(),
            team: team.and_then(|team| self.teams.get(team)).copied(),
        })
    }
}
