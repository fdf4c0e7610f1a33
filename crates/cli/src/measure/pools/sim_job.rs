use std::time::Duration;

use compact_str::CompactString;
use rand::{Rng, RngExt};
use sesamedeal_core::jobs::{JobOrder, ResourceAmount, StepSpec};

use super::demand_family::DemandCurve;
use super::fleet_plan::{FleetPlan, JobShape, PoolPlan, SLACK, STRETCH, queue_name, team_name};

/// Interval at which arrivals are drawn, in milliseconds.
const ARRIVAL_STEP_MS: u64 = 10;

/// Deviation of the logarithm of numbers of steps, sizes and run times.
const SPREAD: f64 = 0.45;

/// Deviation of the logarithm of the number of tasks of a step.
const TASK_SPREAD: f64 = 0.6;

/// Largest value of a number, size or run time, as a multiple of its mean.
const MAX_MULTIPLE: f64 = 4.0;

/// Batch job of a simulated day.
#[derive(Debug, Clone)]
pub(super) struct SimJob {
    pub arrives_ms: u64,
    pub pool: usize,
    pub order: JobOrder,
    /// Run times of the tasks of each step, in milliseconds.
    pub run_ms: Vec<Vec<u64>>,
}

impl SimJob {
    /// Work in milliseconds of a thousandth of a core.
    pub(super) fn work(&self) -> u64 {
        let steps = self.order.steps.iter().zip(&self.run_ms);
        steps
            .map(|(step, runs)| step.amount.cpu_millis * runs.iter().sum::<u64>())
            .sum()
    }

    /// Time from its arrival within which the job should end, in milliseconds.
    pub(super) fn objective_ms(&self) -> u64 {
        let chain: u64 = self
            .run_ms
            .iter()
            .filter_map(|runs| runs.iter().max())
            .sum();
        let objective = Duration::from_millis(chain).mul_f64(STRETCH) + SLACK;
        u64::try_from(objective.as_millis()).unwrap_or(u64::MAX)
    }
}

/// Draws the batch jobs of a day of `length_ms` milliseconds, in the order of their arrival.
#[expect(clippy::cast_precision_loss, reason = "times and teams are few")]
pub(super) fn draw_jobs(
    plan: &FleetPlan,
    curve: &DemandCurve,
    length_ms: u64,
    random: &mut impl Rng,
) -> Vec<SimJob> {
    let mut jobs = Vec::new();
    let step = usize::try_from(ARRIVAL_STEP_MS).unwrap_or(usize::MAX);
    for now_ms in (0..length_ms).step_by(step) {
        for (number, pool) in plan.pools.iter().enumerate() {
            for team in 0..plan.teams {
                let rate = pool.jobs_per_second / plan.teams as f64
                    * curve.pool_factor(number, now_ms)
                    * curve.team_factor(team, now_ms);
                if random.random::<f64>() < rate * ARRIVAL_STEP_MS as f64 / 1_000.0 {
                    jobs.push(draw_job(number, team, pool.shape, now_ms, random));
                }
            }
        }
    }
    jobs
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the numbers are small and not negative"
)]
fn draw_job(
    pool: usize,
    team: usize,
    shape: JobShape,
    arrives_ms: u64,
    random: &mut impl Rng,
) -> SimJob {
    let mut number = |mean: f64| vary(mean, SPREAD, random).round().max(1.0);
    let steps = number(shape.steps) as u16;
    let cpu_millis = number(shape.cpu_millis) as u64;
    let memory_mb = number(shape.memory_mb) as u64;
    let mut width = || vary(shape.tasks, TASK_SPREAD, random).round().max(1.0) as u16;
    let counts: Vec<u16> = (0..steps).map(|_| width()).collect();
    let mut order_steps = Vec::new();
    let mut run_ms = Vec::new();
    for (step, count) in counts.into_iter().enumerate() {
        let mean = vary(shape.run_seconds * 1_000.0, SPREAD, random);
        let estimate = vary(mean, shape.estimate_spread, random);
        let runs = (0..count).map(|_| vary(mean, 0.15, random).round().max(50.0) as u64);
        run_ms.push(runs.collect());
        order_steps.push(StepSpec {
            count,
            amount: ResourceAmount {
                cpu_millis,
                memory_mb,
                accelerators: 0,
            },
            estimate: Duration::from_millis(estimate as u64),
            after: step
                .checked_sub(1)
                .map(|last| last as u16)
                .into_iter()
                .collect(),
            ..StepSpec::default()
        });
    }
    SimJob {
        arrives_ms,
        pool,
        order: JobOrder {
            queue: queue_name(pool),
            team: Some(team_name(team)),
            accepted_ms: arrives_ms,
            spec: CompactString::default(),
            steps: order_steps,
            schedule: None,
            rules: None,
        },
        run_ms,
    }
}

/// Returns the job with the long-running tasks of a pool.
pub(super) fn long_running_job(number: usize, pool: &PoolPlan) -> JobOrder {
    JobOrder {
        queue: queue_name(number),
        team: Some(team_name(number)),
        accepted_ms: 0,
        spec: CompactString::default(),
        steps: vec![StepSpec {
            count: pool.long_running,
            amount: ResourceAmount {
                cpu_millis: pool.long_running_cpu,
                memory_mb: 25_000,
                accelerators: 0,
            },
            estimate: Duration::from_millis(700),
            is_lasting: true,
            max_per_worker: Some(1),
            disruption_budget: Some(pool.long_running.div_ceil(7)),
            ..StepSpec::default()
        }],
        schedule: None,
        rules: None,
    }
}

/// Draws a value with the given mean from a log-normal distribution.
fn vary(mean: f64, spread: f64, random: &mut impl Rng) -> f64 {
    let (first, second): (f64, f64) = (random.random_range(f64::EPSILON..1.0), random.random());
    let normal = (-2.0 * first.ln()).sqrt() * (second * std::f64::consts::TAU).cos();
    let factor = (normal * spread - spread * spread / 2.0).exp();
    mean * factor.min(MAX_MULTIPLE)
}
