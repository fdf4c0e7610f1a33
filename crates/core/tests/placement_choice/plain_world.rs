//! Random workers, jobs and limits, in a dispatcher and as the plain choice sees them.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sesamedeal_core::ids::{PoolName, QueueName, TeamName};
use sesamedeal_core::jobs::{
    DispatchPolicy, FleetRules, HoldReport, JobDispatcher, JobId, JobOrder, JobRecord, PriorityKey,
    ResourceAmount, RunReport, StartOutcome, StepName, StepSpec, TaskName, TeamRule, WorkerKey,
};

use crate::jobs::{amount, at, job, rules, step, worker_report};

const POOLS: usize = 2;
const TEAMS: usize = 3;
pub const NOW: u64 = 5_000;

/// Worker as the plain choice sees it.
#[derive(Clone)]
pub struct PlainWorker {
    pub key: WorkerKey,
    pub pool: usize,
    pub capacity: ResourceAmount,
    pub used: ResourceAmount,
    pub labels: Vec<CompactString>,
    pub is_on_trial: bool,
    pub is_cold: bool,
    pub is_maintenance_due: bool,
    pub runs: HashMap<StepName, u16>,
}

/// Waiting step as the plain choice sees it.
pub struct PlainStep {
    pub key: PriorityKey,
    pub name: StepName,
    pub pool: usize,
    pub team: usize,
    pub spec: StepSpec,
}

pub struct PlainWorld {
    pub dispatcher: JobDispatcher,
    pub rules: Arc<FleetRules>,
    pub random: Pcg64Mcg,
    pub workers: Vec<PlainWorker>,
    pub steps: Vec<PlainStep>,
    pub limits: Vec<ResourceAmount>,
    pub used: Vec<ResourceAmount>,
}

fn team_name(team: usize) -> TeamName {
    TeamName::new(format!("team-{team}"))
}

fn label(prefix: &str, number: usize) -> CompactString {
    CompactString::from(format!("{prefix}-{number}"))
}

impl PlainWorld {
    pub fn new(seed: u64) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut fleet = (*rules(ResourceAmount::default())).clone();
        let rule = fleet.queues[&QueueName::new("queue")].clone();
        for pool in 0..POOLS {
            let mut rule = rule.clone();
            rule.pool = PoolName::new(format!("pool-{pool}"));
            rule.priority = random.random_range(0..2);
            fleet
                .queues
                .insert(QueueName::new(format!("queue-{pool}")), rule);
        }
        let limits = (0..TEAMS).map(|team| match team {
            0 => ResourceAmount::default(),
            _ => amount(random.random_range(10..200) * 1_000, 0),
        });
        let limits: Vec<ResourceAmount> = limits.collect();
        for (team, &limit) in limits.iter().enumerate() {
            let rule = TeamRule { weight: 1.0, limit };
            fleet.teams.insert(team_name(team), rule);
        }
        let rules = Arc::new(fleet);
        let policy = DispatchPolicy::default();
        let mut world = Self {
            dispatcher: JobDispatcher::new(policy, Arc::clone(&rules), 1, at(0)),
            rules,
            random,
            workers: Vec::new(),
            steps: Vec::new(),
            limits,
            used: vec![ResourceAmount::default(); TEAMS],
        };
        world.add_workers();
        world.add_jobs();
        world
    }

    /// Adds workers that run a long-running task each, some of them cold, on trial or due for
    /// maintenance.
    fn add_workers(&mut self) {
        let count = self.random.random_range(2..40);
        for number in 0..count {
            let pool = self.random.random_range(0..POOLS);
            let used = amount(
                self.random.random_range(0..60) * 200,
                self.random.random_range(0..20) * 1_000,
            );
            let spec = StepSpec {
                count: 1,
                amount: used,
                is_lasting: true,
                // Otherwise it would be stopped on a worker that is due for maintenance.
                disruption_budget: Some(0),
                ..StepSpec::default()
            };
            let id = JobId(1_000 + number);
            let order = self.order(pool, None, vec![spec]);
            self.dispatcher
                .add_job(id, order, JobRecord::default(), false, at(0));
            let mut report = worker_report(usize::try_from(number).unwrap(), 1);
            report.pool = PoolName::new(format!("pool-{pool}"));
            report.capacity = amount(self.random.random_range(12..=16) * 1_000, 32_000);
            let rack = self.random.random_range(0..4);
            let kind = self.random.random_range(0..3);
            report.labels = vec![label("kind", kind), label("rack", rack)];
            let is_cold = self.random.random_bool(0.2);
            report.warm_up = Duration::from_millis(if is_cold { 9_000 } else { 0 });
            let (name, capacity) = (report.name.clone(), report.capacity);
            let labels = report.labels.clone();
            let (key, _) = self.dispatcher.set_worker(report, at(0));
            let is_maintenance_due = self.random.random_bool(0.2);
            self.dispatcher
                .set_maintenance_due(&name, is_maintenance_due);
            let task = task_name(id, 0, 0);
            let is_on_trial = self.random.random_bool(0.2);
            if is_on_trial {
                let outcome = StartOutcome::Unavailable;
                self.dispatcher.note_start(key, task, 1, outcome, at(0));
            }
            let run = RunReport {
                task,
                run: 1,
                saved: CompactString::default(),
                percent: 100.0,
                gauge: None,
            };
            let report = HoldReport {
                sent: at(NOW),
                clock_ms: NOW,
                boot: 1,
                running: vec![run],
                ended: Vec::new(),
            };
            self.dispatcher.note_hold(key, &report, at(NOW));
            self.workers.push(PlainWorker {
                key,
                pool,
                capacity,
                used,
                labels,
                is_on_trial,
                is_cold,
                is_maintenance_due,
                runs: HashMap::new(),
            });
        }
    }

    fn order(&self, pool: usize, team: Option<usize>, steps: Vec<StepSpec>) -> JobOrder {
        JobOrder {
            queue: QueueName::new(format!("queue-{pool}")),
            team: team.map(team_name),
            ..job(steps)
        }
    }

    fn add_jobs(&mut self) {
        for number in 0..self.random.random_range(1..40) {
            let id = JobId(number);
            let pool = self.random.random_range(0..POOLS);
            let team = self.random.random_range(0..TEAMS);
            let spec = self.random_step();
            let last = StepSpec {
                after: vec![0],
                ..spec.clone()
            };
            let critical_path = spec.estimate + last.estimate;
            let order = self.order(pool, Some(team), vec![spec.clone(), last]);
            let rule = &self.rules.queues[&order.queue];
            let objective = critical_path.mul_f64(rule.stretch) + rule.slack;
            let arrived = self.random.random_range(0..NOW);
            let age = Duration::from_millis(NOW - arrived);
            let key = PriorityKey::new(false, rule.priority, age, critical_path, objective);
            let key = if spec.is_lasting {
                key.with_long_running()
            } else {
                key
            };
            self.dispatcher
                .add_job(id, order, JobRecord::default(), false, at(arrived));
            self.steps.push(PlainStep {
                key,
                name: task_name(id, 0, 0).step,
                pool,
                team,
                spec,
            });
        }
        self.steps.sort_by_key(|step| (step.key, step.name));
    }

    fn random_step(&mut self) -> StepSpec {
        let random = &mut self.random;
        let is_lasting = random.random_bool(0.2);
        let cpu = random.random_range(1..70) * 100;
        let memory = random.random_range(1..10) * 1_000;
        StepSpec {
            amount: amount(cpu, memory),
            is_lasting,
            is_gang: !is_lasting && random.random_bool(0.1),
            is_filler: !is_lasting && random.random_bool(0.1),
            data_rack: random
                .random_bool(0.4)
                .then(|| label("rack", random.random_range(0..5))),
            required_label: random
                .random_bool(0.2)
                .then(|| label("kind", random.random_range(0..4))),
            max_per_worker: random.random_bool(0.2).then(|| random.random_range(1..3)),
            estimate: Duration::from_millis(random.random_range(200..3_000)),
            ..step(random.random_range(1..12), 0)
        }
    }
}

fn task_name(job: JobId, step: u16, index: u16) -> TaskName {
    let occurrence = 0;
    let step = StepName {
        job,
        occurrence,
        step,
    };
    step.task(index)
}
