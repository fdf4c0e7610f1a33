use std::collections::BTreeMap;

use sesamedeal_core::ids::PoolName;
use sesamedeal_core::jobs::{PoolState, SizeChange};

use super::fleet_plan::{FleetPlan, pool_name};
use super::sim_job::SimJob;

/// Length of a step for which the demand is known, in milliseconds.
const STEP_MS: u64 = 50;

/// How long before an instance is needed its move starts, in milliseconds.
const LEAD_MS: u64 = 1_800;

/// How long an instance without work stays if it is needed again, in milliseconds. Two moves cost
/// about as much.
const KEEP_MS: u64 = 4_000;

/// Share of an instance that cannot be used, because tasks do not fill it exactly.
const FRAGMENTATION: f64 = 0.08;

/// Sizing rule that knows all jobs beforehand and plans for none of them to wait.
#[derive(Debug)]
pub(super) struct Foresight {
    /// Instances that each pool needs in each step.
    needed: Vec<Vec<usize>>,
    pools: Vec<PoolName>,
}

impl Foresight {
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "amounts are far below 2^52 and not negative"
    )]
    pub(super) fn new(plan: &FleetPlan, jobs: &[SimJob], length_ms: u64) -> Self {
        let steps = usize::try_from(length_ms / STEP_MS).unwrap_or(usize::MAX) + 1;
        let step_of = |ms: u64| usize::try_from(ms / STEP_MS).unwrap_or(usize::MAX);
        let mut cpu = vec![vec![0_u64; steps]; plan.pools.len()];
        for job in jobs {
            let mut starts_ms = job.arrives_ms;
            for (spec, runs) in job.order.steps.iter().zip(&job.run_ms) {
                for run in runs {
                    let end = step_of(starts_ms + run).min(steps - 1);
                    for cell in &mut cpu[job.pool][step_of(starts_ms).min(steps - 1)..=end] {
                        *cell += spec.amount.cpu_millis;
                    }
                }
                starts_ms += runs.iter().max().copied().unwrap_or_default();
            }
        }
        let usable = plan.capacity.cpu_millis as f64 * (1.0 - FRAGMENTATION);
        let needed = cpu.iter().zip(&plan.pools).map(|(cells, pool)| {
            let hosts = usize::from(pool.long_running);
            let long_running = u64::from(pool.long_running) * pool.long_running_cpu;
            let count = |cpu: &u64| ((cpu + long_running) as f64 / usable).ceil() as usize;
            cells.iter().map(|cpu| count(cpu).max(hosts)).collect()
        });
        Self {
            needed: needed.collect(),
            pools: (0..plan.pools.len()).map(pool_name).collect(),
        }
    }

    /// Largest number of instances that a pool needs within `window_ms` from now.
    fn peak(&self, pool: usize, now_ms: u64, window_ms: u64) -> usize {
        let cells = &self.needed[pool];
        let step = |ms: u64| {
            usize::try_from(ms / STEP_MS)
                .unwrap_or(usize::MAX)
                .min(cells.len() - 1)
        };
        let cells = cells[step(now_ms)..=step(now_ms + window_ms)].iter();
        cells.max().copied().unwrap_or_default()
    }

    pub(super) fn decide(
        &self,
        states: &BTreeMap<PoolName, PoolState>,
        mut spare: usize,
        now_ms: u64,
    ) -> Vec<SizeChange> {
        let mut changes = Vec::new();
        let mut surpluses: Vec<(PoolName, usize)> = Vec::new();
        let mut deficits: Vec<(PoolName, usize)> = Vec::new();
        for (number, pool) in self.pools.iter().enumerate() {
            let state = &states[pool];
            let wanted = self.peak(number, now_ms, LEAD_MS);
            let kept = self.peak(number, now_ms, KEEP_MS);
            let surplus = state.instances.saturating_sub(kept).min(state.idle);
            surpluses.push((pool.clone(), surplus));
            deficits.push((pool.clone(), wanted.saturating_sub(state.instances)));
        }
        for (to, mut lacking) in deficits {
            for (from, surplus) in &mut surpluses {
                let count = lacking.min(*surplus);
                (lacking, *surplus) = (lacking - count, *surplus - count);
                push(&mut changes, Some(from.clone()), Some(to.clone()), count);
            }
            let count = lacking.min(spare);
            spare -= count;
            push(&mut changes, None, Some(to), count);
        }
        for (from, surplus) in surpluses {
            push(&mut changes, Some(from), None, surplus);
        }
        changes
    }
}

fn push(changes: &mut Vec<SizeChange>, from: Option<PoolName>, to: Option<PoolName>, count: usize) {
    if count > 0 {
        changes.push(SizeChange { from, to, count });
    }
}
