use std::cmp::Reverse;

use super::{DayDemand, DemandStep};

/// Move of a number of instances from one pool to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolMove {
    /// Index of the source pool.
    pub from: usize,
    /// Index of the target pool.
    pub to: usize,
    /// Number of instances.
    pub count: u32,
}

/// Moves at one step of the day.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StepPlan {
    /// Seconds from the start of the plan.
    pub second: u32,
    /// Moves, with at most one entry per source and target.
    pub moves: Vec<PoolMove>,
    /// Number of instances that pools need and the fleet does not have.
    pub shortage: u32,
    /// Number of instances per pool after the moves.
    pub counts: Vec<u32>,
}

/// Moves of a whole day, as numbers of instances without their names.
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
            .map(|pool_move| u64::from(pool_move.count))
            .sum()
    }
}

/// Plans a day with the lowest possible number of moves.
///
/// Each pool has numbered places for instances; place k is needed while the size of the pool is at
/// least k. A move fills a needed place and vacates one that is not needed. The choice of the
/// place to vacate is the page replacement problem with equal costs. The optimal choice is the
/// place whose next need is furthest in the future (Belady 1966). A pool therefore keeps instances
/// above its size until another pool needs them.
#[must_use]
pub fn plan_counts(demand: &DayDemand, counts: &[u32]) -> CountPlan {
    let mut counts = counts.to_vec();
    let mut steps = Vec::with_capacity(demand.steps.len());
    for index in 0..demand.steps.len() {
        let plan = StepPlanner::new(demand, index, counts).plan();
        counts = plan.counts.clone();
        steps.push(plan);
    }
    CountPlan { steps }
}

/// Planner of the moves of one step.
#[derive(Debug)]
struct StepPlanner<'a> {
    demand: &'a DayDemand,
    step: &'a DemandStep,
    later: &'a [DemandStep],
    plan: StepPlan,
    /// Cached result of `next_need` per pool, with the instance count that it was computed for.
    cached_needs: Vec<Option<(u32, (usize, u32))>>,
}

impl<'a> StepPlanner<'a> {
    fn new(demand: &'a DayDemand, index: usize, counts: Vec<u32>) -> Self {
        let step = &demand.steps[index];
        Self {
            demand,
            step,
            later: &demand.steps[index + 1..],
            cached_needs: vec![None; counts.len()],
            plan: StepPlan {
                second: step.second,
                counts,
                ..StepPlan::default()
            },
        }
    }

    fn plan(mut self) -> StepPlan {
        for is_needed in [true, false] {
            for to in 0..self.plan.counts.len() {
                self.fill_pool(to, is_needed);
            }
        }
        self.empty_closing_pools();
        self.plan
    }

    fn fill_pool(&mut self, to: usize, is_needed: bool) {
        let step = self.step;
        let goal = if is_needed {
            step.needed[to]
        } else {
            step.desired[to]
        };
        while self.plan.counts[to] < goal {
            let missing = goal - self.plan.counts[to];
            let mut source = self.best_source(&step.desired, to);
            if source.is_none() && is_needed {
                source = self.best_source(&step.needed, to);
            }
            let Some((from, available)) = source else {
                if is_needed {
                    self.plan.shortage += missing;
                }
                return;
            };
            self.push_move(from, to, missing.min(available));
        }
    }

    /// Returns the pool whose topmost place above its `floor` has the latest next need, and the
    /// number of its places with the same next need.
    fn best_source(&mut self, floor: &[u32], to: usize) -> Option<(usize, u32)> {
        let mut best = None;
        for (from, &floor) in floor.iter().enumerate() {
            let count = self.plan.counts[from];
            if from == to || count <= floor {
                continue;
            }
            let (next_need, keep) = self.next_need(from, count);
            let rank = (
                self.demand.closing[from],
                next_need,
                self.demand.spare == Some(from),
                count - floor,
                Reverse(from),
            );
            let found = (rank, from, count - floor.max(keep));
            best = best.max(Some(found));
        }
        best.map(|(_, from, available)| (from, available))
    }

    fn next_need(&mut self, pool: usize, count: u32) -> (usize, u32) {
        match self.cached_needs[pool] {
            Some((known, need)) if known == count => need,
            _ => {
                let need = next_need(self.later, pool, count);
                self.cached_needs[pool] = Some((count, need));
                need
            }
        }
    }

    /// Moves the remaining instances of closing pools to the spare pool.
    fn empty_closing_pools(&mut self) {
        let Some(to) = self.demand.spare else {
            return;
        };
        for from in 0..self.plan.counts.len() {
            let count = self.plan.counts[from];
            if self.demand.closing[from] && count > 0 && from != to {
                self.push_move(from, to, count);
            }
        }
    }

    fn push_move(&mut self, from: usize, to: usize, count: u32) {
        self.plan.counts[from] -= count;
        self.plan.counts[to] += count;
        let mut moves = self.plan.moves.iter_mut();
        match moves.find(|other| other.from == from && other.to == to) {
            Some(other) => other.count += count,
            None => self.plan.moves.push(PoolMove { from, to, count }),
        }
    }
}

/// Returns the index in `later` of the step at which the topmost place of a pool is next desired,
/// and the largest size that the pool desires before that step.
fn next_need(later: &[DemandStep], pool: usize, count: u32) -> (usize, u32) {
    let mut keep = 0;
    for (offset, step) in later.iter().enumerate() {
        if step.desired[pool] >= count {
            return (offset, keep);
        }
        keep = keep.max(step.desired[pool]);
    }
    (usize::MAX, keep)
}
