use super::{CountPlan, DayDemand, PlanPolicy};
use crate::fleet::SECONDS_PER_DAY;

const SECONDS_PER_HOUR: f64 = 3_600.0;

/// Measures by which plans of a day are compared.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PlanMeasures {
    /// Number of moves.
    pub moves: u64,
    /// Longest time from a row to the end of its moves, in seconds.
    pub rollout_seconds: f64,
    /// Sum over the rows of the times from a row to the end of its moves, in seconds.
    pub total_rollout_seconds: f64,
    /// Instance-hours spent in the spare pool or moving.
    pub buffer_hours: f64,
    /// Fraction of the fleet that is in another pool than the proportions of the pool sizes
    /// demand, integrated over the day in hours.
    pub share_deviation: f64,
    /// Largest number of missing instances at a step.
    pub shortage: u32,
}

impl PlanMeasures {
    /// Measures a plan of `demand`. For moves that start ahead of a row, only the time after the
    /// row counts as roll-out time.
    #[must_use]
    pub fn new(demand: &DayDemand, plan: &CountPlan, policy: &PlanPolicy) -> Self {
        let move_seconds = policy.move_time.as_secs_f64();
        let mut measures = Self {
            moves: plan.move_count(),
            ..Self::default()
        };
        for (index, step) in plan.steps.iter().enumerate() {
            let end = plan
                .steps
                .get(index + 1)
                .map_or(SECONDS_PER_DAY, |next| next.second);
            let hours = f64::from(end.saturating_sub(step.second)) / SECONDS_PER_HOUR;
            let rollout = rollout_rounds(demand, plan, index) * move_seconds;
            let late = (rollout - f64::from(seconds_ahead(demand, step.second))).max(0.0);
            measures.rollout_seconds = measures.rollout_seconds.max(late);
            measures.total_rollout_seconds += late;
            if let Some(spare) = demand.spare {
                measures.buffer_hours += hours * f64::from(step.counts[spare]);
            }
            measures.share_deviation +=
                hours * deviation(demand, sizes_at(demand, step.second), &step.counts);
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

    /// Returns the weighted sum of the measures; lower is better.
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
            + f64::from(policy.share_weight) * 100.0 * self.share_deviation
    }
}

/// Returns the number of rounds that the moves of a step take. In each round, at most the
/// availability budget of each pool leaves that pool.
fn rollout_rounds(demand: &DayDemand, plan: &CountPlan, index: usize) -> f64 {
    let mut leaving = vec![0; demand.pools.len()];
    for pool_move in &plan.steps[index].moves {
        leaving[pool_move.from] += pool_move.count;
    }
    let rounds = leaving
        .iter()
        .zip(&demand.budgets)
        .map(|(&count, &budget)| count.div_ceil(budget.max(1)))
        .max()
        .unwrap_or_default();
    f64::from(rounds)
}

/// Returns the seconds from a step to the next row; 0 if the step is at the time of a row.
fn seconds_ahead(demand: &DayDemand, second: u32) -> u32 {
    let next = demand.steps.iter().find(|step| step.second >= second);
    next.map_or(0, |step| step.second - second)
}

fn sizes_at(demand: &DayDemand, second: u32) -> &[u32] {
    let after = demand.steps.partition_point(|step| step.second <= second);
    &demand.steps[after.max(1) - 1].needed
}

/// Returns half the sum of the absolute differences between each pool's fraction of the instances
/// and its fraction of the sizes. The spare pool is left out.
fn deviation(demand: &DayDemand, sizes: &[u32], counts: &[u32]) -> f64 {
    let without_spare = |values: &[u32]| -> Vec<f64> {
        values
            .iter()
            .enumerate()
            .filter(|(pool, _)| demand.spare != Some(*pool))
            .map(|(_, &value)| f64::from(value))
            .collect()
    };
    let (sizes, counts) = (without_spare(sizes), without_spare(counts));
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
