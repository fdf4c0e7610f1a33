//! Load generator in virtual time: surges of jobs with random sizes and inaccurate run times, served
//! by a world of workers.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sesamedeal_core::ids::{PoolName, QueueName, TeamName};
use sesamedeal_core::jobs::{
    DispatchPolicy, FleetRules, JobId, JobOrder, JobPhase, PoolRule, QueueRule, ResourceAmount,
    StepName, StepSpec, TeamRule,
};

use super::{ATTEMPTS, JobWorld, amount, at, job};

/// Workers of each pool, with 16 cores each.
pub const WORKERS: usize = 12;

/// Time at which a world begins, in milliseconds.
const BEGIN: u64 = 10_000;

/// Time without jobs in which workers answer for the first time and old leases expire.
const LEAD: u64 = 7_000;

/// Length of a round of the world, in milliseconds.
pub(super) const ROUND: u64 = 50;

/// Rate at which a pool can serve the jobs of [`LoadRun::add_jobs`], in jobs per second.
pub const FULL_RATE: f64 = 12.0;

/// Job of a load, and when it ended. Times are in milliseconds from the start of the load.
#[derive(Debug, Clone)]
pub struct LoadJob {
    pub order: JobOrder,
    pub lengths: Vec<u64>,
    pub arrives: u64,
    pub objective: u64,
    /// Work with the actual run times, in core milliseconds.
    pub work: u64,
    pub ended: Option<u64>,
}

impl JobWorld {
    /// Resources that the running tasks of a team use.
    pub fn team_use(&self, team: &TeamName) -> ResourceAmount {
        let mut used = ResourceAmount::default();
        let runs = self.workers.iter().flat_map(|worker| worker.running.keys());
        for (task, _) in runs {
            if self.stored[&task.step.job].0.team.as_ref() == Some(team) {
                used += self.step_of(*task).amount;
            }
        }
        used
    }
}

impl LoadJob {
    pub fn is_in_time(&self) -> bool {
        self.is_within(1)
    }

    /// Work with the declared run times, in core milliseconds.
    pub fn declared(&self) -> u64 {
        let steps = self.order.steps.iter();
        let work = steps.map(|step| {
            let time = step.estimate.as_millis() as u64;
            u64::from(step.count) * step.amount.cpu_millis * time / 1_000
        });
        work.sum()
    }

    pub fn is_within(&self, multiple: u64) -> bool {
        let due = self.arrives + multiple * self.objective;
        self.ended.is_some_and(|ended| ended <= due)
    }

    pub fn is_of(&self, queue: &str, team: &str) -> bool {
        let is_team = |name: &TeamName| team.is_empty() || name.as_str() == team;
        self.order.queue.as_str() == queue && self.order.team.as_ref().is_some_and(is_team)
    }
}

/// Id of the job that arrives as number `number`, spread as if callers chose it at random.
pub fn job_id(number: usize) -> JobId {
    JobId((number as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// Load on the queues `queue-N`, each with a pool `pool-N` of its own.
pub struct LoadRun {
    pub world: JobWorld,
    pub jobs: Vec<LoadJob>,
    /// How often each job that was ever deferred was deferred anew.
    pub deferrals: HashMap<JobId, usize>,
    pub rules: FleetRules,
    random: Pcg64Mcg,
    error: f64,
    policy: DispatchPolicy,
}

impl LoadRun {
    /// Creates pools without load. Run times differ from the estimates by up to the share `error`.
    pub fn new(pools: usize, teams: &[&str], error: f64, is_deferring: bool) -> Self {
        let queue = |pool: usize| QueueRule {
            pool: PoolName::new(format!("pool-{pool}")),
            priority: 0,
            attempts: ATTEMPTS,
            stretch: 1.6,
            slack: Duration::from_millis(600),
            advice: None,
        };
        let team = TeamRule {
            weight: 1.0,
            limit: ResourceAmount::default(),
        };
        let name = |pool| QueueName::new(format!("queue-{pool}"));
        let rules = FleetRules {
            version: 1,
            queues: (0..pools).map(|pool| (name(pool), queue(pool))).collect(),
            pools: (0..pools)
                .map(|pool| (queue(pool).pool, PoolRule { is_spare: false }))
                .collect(),
            teams: teams
                .iter()
                .map(|name| (TeamName::new(*name), team))
                .collect(),
        };
        let mut world = JobWorld::with_rules(WORKERS * pools, 1, Arc::new(rules.clone()));
        for (number, worker) in world.workers.iter_mut().enumerate() {
            worker.report.capacity = amount(16_000, 16_000);
            worker.capacities = vec![(0, worker.report.capacity)];
            worker.report.pool = PoolName::new(format!("pool-{}", number / WORKERS));
        }
        Self {
            world,
            jobs: Vec::new(),
            deferrals: HashMap::new(),
            rules,
            random: Pcg64Mcg::seed_from_u64(7),
            error,
            policy: DispatchPolicy {
                defers_overload: is_deferring,
                rejects_overload: is_deferring,
                ..DispatchPolicy::default()
            },
        }
    }

    /// Adds jobs of a team that arrive at a rate, in jobs per second, from one time to another, in
    /// milliseconds.
    pub fn add_jobs(&mut self, queue: &str, team: &str, times: (u64, u64), rate: f64) {
        let mut at_ms = times.0 as f64;
        loop {
            at_ms += -self.random.random::<f64>().max(1e-9).ln() * 1_000.0 / rate;
            if at_ms >= times.1 as f64 {
                return;
            }
            let steps = if self.random.random::<f64>() < 0.6 {
                2
            } else {
                1
            };
            let mut specs = Vec::new();
            let mut lengths = Vec::new();
            let mut work = 0;
            let count = [2, 4, 4, 8][self.random.random_range(0..4)];
            for number in 0..steps {
                let cpu = self.random.random_range(10..40) * 100;
                let estimate = self.random.random_range(500..1_300);
                let factor = 1.0 + self.error * (self.random.random::<f64>() * 2.0 - 1.0);
                let length = (estimate as f64 * factor) as u64;
                // A task uses its worker until the round in which its end is seen.
                let rounds = length.next_multiple_of(ROUND);
                work += u64::from(count) * cpu * rounds / 1_000;
                lengths.push(length);
                specs.push(StepSpec {
                    count,
                    amount: amount(cpu, 100),
                    estimate: Duration::from_millis(estimate),
                    after: (0..number).collect(),
                    ..StepSpec::default()
                });
            }
            let path: u64 = specs
                .iter()
                .map(|spec| spec.estimate.as_millis() as u64)
                .sum();
            let order = JobOrder {
                queue: QueueName::new(queue),
                team: Some(TeamName::new(team)),
                ..job(specs)
            };
            self.jobs.push(LoadJob {
                order,
                lengths,
                arrives: at_ms as u64,
                objective: path * 8 / 5 + 600,
                work,
                ended: None,
            });
        }
    }

    /// Serves the load until `length` milliseconds. `change` may alter the world before each round.
    pub fn serve(&mut self, length: u64, mut change: impl FnMut(u64, &mut JobWorld)) {
        let rules = Arc::new(self.rules.clone());
        self.world.reset_dispatcher(rules, self.policy.clone());
        self.world.run((LEAD / 50) as usize);
        let start = BEGIN + LEAD;
        self.jobs.sort_by_key(|job| job.arrives);
        let mut next = 0;
        let mut open: Vec<usize> = Vec::new();
        let mut deferred: Vec<JobId> = Vec::new();
        while self.world.now < start + length {
            let now = self.world.now - start;
            while let Some(job) = self.jobs.get(next).filter(|job| job.arrives <= now) {
                let id = job_id(next);
                for (step, length) in job.lengths.iter().enumerate() {
                    let name = StepName {
                        job: id,
                        occurrence: 0,
                        step: step as u16,
                    };
                    self.world.lengths.insert(name, *length);
                }
                self.world.submit(id.0, job.order.clone());
                open.push(next);
                next += 1;
            }
            change(now, &mut self.world);
            self.world.round();
            let current = self.world.dispatcher.deferred_jobs();
            for id in current.iter().filter(|id| !deferred.contains(id)) {
                *self.deferrals.entry(*id).or_default() += 1;
            }
            deferred = current;
            let now = self.world.now - start;
            open.retain(|&number| {
                let id = job_id(number);
                let is_done = self.world.phase(id) == JobPhase::Finished;
                if is_done {
                    self.jobs[number].ended = Some(now);
                }
                !is_done
            });
        }
        assert_eq!(self.world.violations, [""; 0]);
    }

    /// Share of the jobs for which `is_counted` is true that ended in time.
    pub fn share(&self, is_counted: impl Fn(&LoadJob) -> bool) -> f64 {
        let all = self.count(&is_counted);
        self.count(|job| is_counted(job) && job.is_in_time()) as f64 / all.max(1) as f64
    }

    /// Number of jobs for which `is_counted` is true.
    pub fn count(&self, is_counted: impl Fn(&LoadJob) -> bool) -> usize {
        self.jobs.iter().filter(|job| is_counted(job)).count()
    }
}
