use super::{CountPlan, DayDemand, PlanPolicy};
use crate::fleet::SECONDS_PER_DAY;

/// Seconds in an hour.
const SECONDS_PER_HOUR: f64 = 3_600.0;

/// Measures of a day's plan.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PlanMeasures {
    /// Number of moves.
    pub moves: u64,
    /// Longest time from a row to the end of its moves, in seconds.
    pub rollout_seconds: f64,
    /// Sum of these times over the rows, in seconds.
    pub total_rollout_seconds: f64,
    /// Instance-hours in the spare pool or moving.
    pub buffer_hours: f64,
    /// Hours times the part of the fleet that is not where the sizes, in proportion, would have
    /// it.
    pub share_distance: f64,
    /// Most instances that are missing at a step.
    pub shortage: u32,
}

impl PlanMeasures {
    /// Measures a plan of `demand`. Moves that start ahead of a row count as late by what exceeds
    /// the time until the row.
    #[must_use]
    pub fn new(demand: &DayDemand, plan: &CountPlan, policy: &PlanPolicy) -> Self {
        let move_seconds = policy.move_time.as_secs_f64();
        let mut measures = Self {
            moves: plan.move_count(),
            ..Self::default()
        };
        for (at, step) in plan.steps.iter().enumerate() {
            let end = plan
                .steps
                .get(at + 1)
                .map_or(SECONDS_PER_DAY, |next| next.second);
            let hours = f64::from(end.saturating_sub(step.second)) / SECONDS_PER_HOUR;
            let rollout = rollout_rounds(demand, plan, at) * move_seconds;
            let late = (rollout - f64::from(seconds_ahead(demand, step.second))).max(0.0);
            measures.rollout_seconds = measures.rollout_seconds.max(late);
            measures.total_rollout_seconds += late;
            if let Some(spare) = demand.spare {
                measures.buffer_hours += hours * f64::from(step.counts[spare]);
            }
            measures.share_distance +=
                hours * distance(demand, sizes_at(demand, step.second), &step.counts);
            measures.shortage = measures.shortage.max(step.shortage);
        }
        #[expect(
            clippy::cast_precision_loss,
            reason = "a day has far fewer than 2^52 moves"
        )]
        let moves = measures.moves as f64;
        measures.buffer_hours += moves * move_seconds / SECONDS_PER_HOUR;
        measures
    }

    /// Weighted sum; lower is better.
    #[must_use]
    pub fn score(&self, policy: &PlanPolicy) -> f64 {
        #[expect(
            clippy::cast_precision_loss,
            reason = "a day has far fewer than 2^52 moves"
        )]
        let moves = self.moves as f64;
        f64::from(policy.move_weight) * moves
            + f64::from(policy.rollout_weight) * self.total_rollout_seconds / 60.0
            + f64::from(policy.buffer_weight) * self.buffer_hours
            + f64::from(policy.share_weight) * 100.0 * self.share_distance
    }
}

/// Largest number, over the pools, of rounds in which the pool's instances leave within its
/// budget.
fn rollout_rounds(demand: &DayDemand, plan: &CountPlan, at: usize) -> f64 {
    let mut leaving = vec![0; demand.pools.len()];
    for one in &plan.steps[at].moves {
        leaving[one.from] += one.count;
    }
    let rounds = leaving
        .iter()
        .zip(&demand.budgets)
        .map(|(&count, &budget)| count.div_ceil(budget.max(1)))
        .max()
        .unwrap_or_default();
    f64::from(rounds)
}

/// Seconds from a step to the next row; zero at the time of a row.
fn seconds_ahead(demand: &DayDemand, second: u32) -> u32 {
    let next = demand.steps.iter().find(|step| step.second >= second);
    next.map_or(0, |step| step.second - second)
}

fn sizes_at(demand: &DayDemand, second: u32) -> &[u32] {
    let after = demand.steps.partition_point(|step| step.second <= second);
    &demand.steps[after.max(1) - 1].needed
}

/// Half the sum of the differences between the pools' parts of the fleet and of the sizes.
fn distance(demand: &DayDemand, sizes: &[u32], counts: &[u32]) -> f64 {
    let working = |values: &[u32]| -> Vec<f64> {
        values
            .iter()
            .enumerate()
            .filter(|(pool, _)| demand.spare != Some(*pool))
            .map(|(_, &value)| f64::from(value))
            .collect()
    };
    let (sizes, counts) = (working(sizes), working(counts));
    let (size_sum, count_sum): (f64, f64) = (sizes.iter().sum(), counts.iter().sum());
    if size_sum == 0.0 || count_sum == 0.0 {
        return 0.0;
    }
    let difference: f64 = sizes
        .iter()
        .zip(&counts)
        .map(|(size, count)| (size / size_sum - count / count_sum).abs())
        .sum();
    difference / 2.0
}
