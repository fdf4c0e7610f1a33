use std::cmp::Reverse;

use super::{DayDemand, DemandStep};

/// Number of instances to move from one pool to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolMove {
    /// Index of the pool that gives.
    pub from: usize,
    /// Index of the pool that receives.
    pub to: usize,
    /// Number of instances.
    pub count: u32,
}

/// Moves at one step of the day.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StepPlan {
    /// Seconds from the start of the plan.
    pub second: u32,
    /// Moves.
    pub moves: Vec<PoolMove>,
    /// Instances that pools need and that the fleet does not have.
    pub shortage: u32,
    /// Instances per pool after the moves.
    pub counts: Vec<u32>,
}

/// Moves of a whole day, as numbers of instances.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CountPlan {
    /// One entry per step of the demand.
    pub steps: Vec<StepPlan>,
}

impl CountPlan {
    /// Number of moves over the day.
    #[must_use]
    pub fn move_count(&self) -> u64 {
        self.steps
            .iter()
            .flat_map(|step| &step.moves)
            .map(|one| u64::from(one.count))
            .sum()
    }
}

/// Plans the moves of a day with the lowest possible number of moves.
///
/// The k-th instance of a pool is a place that is needed while the pool's size is at least k. A
/// move fills one place that is needed and gives up one that is not. Choosing which place to give
/// up is the page replacement problem with equal costs, for which giving up the place whose next
/// need lies furthest ahead is optimal (Belady 1966). A pool therefore keeps instances above its
/// size until another pool needs them.
#[must_use]
pub fn plan_counts(demand: &DayDemand, counts: &[u32]) -> CountPlan {
    let mut counts = counts.to_vec();
    let steps = (0..demand.steps.len())
        .map(|at| plan_step(demand, at, &mut counts))
        .collect();
    CountPlan { steps }
}

fn plan_step(demand: &DayDemand, at: usize, counts: &mut [u32]) -> StepPlan {
    let step = &demand.steps[at];
    let mut plan = StepPlan {
        second: step.second,
        ..StepPlan::default()
    };
    for is_needed in [true, false] {
        for to in 0..counts.len() {
            fill_pool(demand, at, counts, to, is_needed, &mut plan);
        }
    }
    empty_closing(demand, counts, &mut plan);
    plan.counts = counts.to_vec();
    plan
}

fn fill_pool(
    demand: &DayDemand,
    at: usize,
    counts: &mut [u32],
    to: usize,
    is_needed: bool,
    plan: &mut StepPlan,
) {
    let step = &demand.steps[at];
    let goal = if is_needed {
        step.needed[to]
    } else {
        step.wanted[to]
    };
    while counts[to] < goal {
        let missing = goal - counts[to];
        let source = best_source(demand, at, counts, &step.wanted, to)
            .or_else(|| is_needed.then(|| best_source(demand, at, counts, &step.needed, to))?);
        let Some((from, available)) = source else {
            if is_needed {
                plan.shortage += missing;
            }
            return;
        };
        let count = missing.min(available);
        counts[from] -= count;
        counts[to] += count;
        push_move(&mut plan.moves, PoolMove { from, to, count });
    }
}

/// Finds the pool whose topmost place above `floor` is needed last, and the number of its places
/// that are needed equally late.
fn best_source(
    demand: &DayDemand,
    at: usize,
    counts: &[u32],
    floor: &[u32],
    to: usize,
) -> Option<(usize, u32)> {
    (0..counts.len())
        .filter(|&from| from != to && counts[from] > floor[from])
        .map(|from| {
            let (next_need, keep) = next_need(&demand.steps[at + 1..], from, counts[from]);
            let available = counts[from] - floor[from].max(keep);
            let is_spare = demand.spare == Some(from);
            let rank = (
                demand.closing[from],
                next_need,
                is_spare,
                counts[from] - floor[from],
                Reverse(from),
            );
            (rank, from, available)
        })
        .max()
        .map(|(_, from, available)| (from, available))
}

/// Step at which the topmost place of a pool is next wanted, and the largest number of instances
/// that the pool wants before that step.
fn next_need(later: &[DemandStep], pool: usize, count: u32) -> (usize, u32) {
    let mut keep = 0;
    for (offset, step) in later.iter().enumerate() {
        if step.wanted[pool] >= count {
            return (offset, keep);
        }
        keep = keep.max(step.wanted[pool]);
    }
    (usize::MAX, keep)
}

/// Moves what remains in pools that are to be removed to the spare pool.
fn empty_closing(demand: &DayDemand, counts: &mut [u32], plan: &mut StepPlan) {
    let Some(to) = demand.spare else {
        return;
    };
    for from in 0..counts.len() {
        let count = counts[from];
        if demand.closing[from] && count > 0 && from != to {
            counts[from] = 0;
            counts[to] += count;
            push_move(&mut plan.moves, PoolMove { from, to, count });
        }
    }
}

fn push_move(moves: &mut Vec<PoolMove>, one: PoolMove) {
    let same = moves
        .iter_mut()
        .find(|other| other.from == one.from && other.to == one.to);
    match same {
        Some(other) => other.count += one.count,
        None => moves.push(one),
    }
}
