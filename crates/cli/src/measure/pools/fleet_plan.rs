use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use sesamedeal_core::ids::{PoolName, QueueName, TeamName};
use sesamedeal_core::jobs::{FleetRules, PoolRule, QueueRule, ResourceAmount, TeamRule};

/// Shape of the jobs of a pool. Numbers of steps and tasks, sizes and run times vary around these
/// means.
#[derive(Debug, Clone, Copy)]
pub(super) struct JobShape {
    /// Steps of a job, which run one after another.
    pub steps: f64,
    /// Tasks of a step.
    pub tasks: f64,
    /// CPU of a task, in thousandths of a core.
    pub cpu_millis: f64,
    /// Memory of a task, in MB.
    pub memory_mb: f64,
    /// Run time of a task, in seconds.
    pub run_seconds: f64,
    /// Spread of the callers' estimates around the run time, as the deviation of its logarithm.
    pub estimate_spread: f64,
}

impl JobShape {
    /// Mean work of a job, in seconds of a thousandth of a core.
    fn work(&self) -> f64 {
        self.steps * self.tasks * self.cpu_millis * self.run_seconds
    }
}

/// Pool of a fleet.
#[derive(Debug, Clone, Copy)]
pub(super) struct PoolPlan {
    /// Instances at the start.
    pub instances: usize,
    /// Shape of the batch jobs.
    pub shape: JobShape,
    /// Mean number of batch jobs that arrive in a second.
    pub jobs_per_second: f64,
    /// Number of long-running tasks, each on an instance of its own.
    pub long_running: u16,
    /// CPU of a long-running task, in thousandths of a core.
    pub long_running_cpu: u64,
}

/// Fleet whose pools are simulated.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    pub(super) pools: Vec<PoolPlan>,
    /// Instances in the spare pool at the start.
    pub(super) spare: usize,
    /// Capacity of an instance.
    pub(super) capacity: ResourceAmount,
    /// Number of teams, which send equal shares of the jobs.
    pub(super) teams: usize,
}

/// Capacity of an instance.
const CAPACITY: ResourceAmount = ResourceAmount {
    cpu_millis: 32_000,
    memory_mb: 131_072,
    accelerators: 0,
};

/// Share of the fleet's CPU that batch jobs use on average.
const MEAN_LOAD: f64 = 0.3;

/// Completion objective of a job, as a multiple of the run time of its critical path.
pub(super) const STRETCH: f64 = 1.6;

/// Time added to the stretched run time to get the objective.
pub(super) const SLACK: Duration = Duration::from_millis(600);

/// Teams of a fleet.
const TEAMS: usize = 6;

const QUICK: JobShape = JobShape {
    steps: 1.6,
    tasks: 7.0,
    cpu_millis: 2_500.0,
    memory_mb: 5_000.0,
    run_seconds: 1.0,
    estimate_spread: 0.7,
};

const LONG: JobShape = JobShape {
    steps: 2.0,
    tasks: 8.0,
    cpu_millis: 5_200.0,
    memory_mb: 15_000.0,
    run_seconds: 2.1,
    estimate_spread: 0.4,
};

impl FleetPlan {
    /// Creates a fleet of `instances` instances in four pools and a spare pool. Batch jobs use
    /// three tenths of its CPU on average.
    #[must_use]
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "instances are few and not negative"
    )]
    pub fn new(instances: usize) -> Self {
        let share = |part: f64| (instances as f64 * part).round() as usize;
        let shapes = [QUICK, LONG, QUICK, LONG];
        let parts = [0.18, 0.2, 0.22, 0.24];
        let loads = [0.9, 0.95, 1.05, 1.1];
        let total = CAPACITY.cpu_millis as f64 * instances as f64 * MEAN_LOAD / shapes.len() as f64;
        let long_running = (instances as f64 * 0.07).round() as u16;
        let pools = (0..shapes.len()).map(|number| PoolPlan {
            instances: share(parts[number]),
            shape: shapes[number],
            jobs_per_second: total * loads[number] / shapes[number].work(),
            long_running,
            long_running_cpu: 4_500,
        });
        let pools: Vec<PoolPlan> = pools.collect();
        let used: usize = pools.iter().map(|pool| pool.instances).sum();
        Self {
            pools,
            spare: instances.saturating_sub(used),
            capacity: CAPACITY,
            teams: TEAMS,
        }
    }

    /// Multiplies the run times of the tasks by `factor`; the work stays the same, since
    /// accordingly more or fewer jobs arrive.
    #[must_use]
    pub fn with_run_time(mut self, factor: f64) -> Self {
        for pool in &mut self.pools {
            pool.shape.run_seconds *= factor;
            pool.jobs_per_second /= factor;
        }
        self
    }

    pub(super) fn instances(&self) -> usize {
        self.spare + self.pools.iter().map(|pool| pool.instances).sum::<usize>()
    }

    pub(super) fn rules(&self) -> Arc<FleetRules> {
        let numbers = 0..self.pools.len();
        let queues = numbers.clone().map(|number| {
            let rule = QueueRule {
                pool: pool_name(number),
                priority: u32::from(self.pools[number].shape.run_seconds > QUICK.run_seconds),
                attempts: 3,
                stretch: STRETCH,
                slack: SLACK,
                advice: None,
            };
            (queue_name(number), rule)
        });
        let pools = numbers.map(|number| (pool_name(number), PoolRule { is_spare: false }));
        let spare = (spare_name(), PoolRule { is_spare: true });
        let teams = (0..self.teams).map(|number| {
            let limit = ResourceAmount::default();
            (team_name(number), TeamRule { weight: 1.0, limit })
        });
        Arc::new(FleetRules {
            version: 1,
            queues: queues.collect::<HashMap<_, _>>(),
            pools: pools.chain([spare]).collect(),
            teams: teams.collect(),
        })
    }
}

pub(super) fn pool_name(number: usize) -> PoolName {
    PoolName::new(format!("pool-{number}"))
}

pub(super) fn spare_name() -> PoolName {
    PoolName::new("spare")
}

pub(super) fn queue_name(number: usize) -> QueueName {
    QueueName::new(format!("queue-{number}"))
}

pub(super) fn team_name(number: usize) -> TeamName {
    TeamName::new(format!("team-{number}"))
}
