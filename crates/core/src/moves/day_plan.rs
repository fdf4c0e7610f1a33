use super::demand_variant::DemandVariant;
use super::instance_roster::InstanceRoster;
use super::{CountPlan, DayDemand, PlanMeasures, PlanPolicy, PoolMove, plan_counts};
use crate::fleet::{DayTime, FleetState};
use crate::ids::{InstanceName, PoolName};

/// Longest time by which moves are started ahead of their row.
const MAX_LEAD_SECONDS: u32 = 2 * 3_600;

/// Move of one instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedMove {
    /// Seconds from the start of the plan.
    pub second: u32,
    /// The instance.
    pub instance: InstanceName,
    /// Pool that it leaves.
    pub from: PoolName,
    /// Pool that it joins.
    pub to: PoolName,
}

/// Plan of the 24 hours after its start.
#[derive(Debug, Clone, PartialEq)]
pub struct DayPlan {
    /// Moves in order of time.
    pub moves: Vec<PlannedMove>,
    /// Measures of the plan.
    pub measures: PlanMeasures,
    /// Seconds by which moves start ahead of their rows.
    pub lead_seconds: u32,
    /// Whether instances that nobody needs are spread over the pools.
    pub spreads_surplus: bool,
}

/// Plans a whole day and names the instances to move.
#[must_use]
pub fn plan_day(state: &FleetState, start: DayTime, policy: &PlanPolicy) -> DayPlan {
    let demand = DayDemand::with_state(state, start);
    let counts = demand.count_instances(state);
    let (variant, plan, measures) = choose_plan(&demand, &counts, policy);
    let mut roster = InstanceRoster::new(state, &demand.pools);
    let mut moves = Vec::new();
    for step in &plan.steps {
        for one in &step.moves {
            for name in roster.take(one.from, one.to, one.count) {
                moves.push(PlannedMove {
                    second: step.second,
                    instance: name.clone(),
                    from: demand.pools[one.from].clone(),
                    to: demand.pools[one.to].clone(),
                });
            }
        }
    }
    DayPlan {
        moves,
        measures,
        lead_seconds: variant.lead,
        spreads_surplus: variant.is_filled,
    }
}

/// Moves that are due now, as numbers of instances, with the demand that their indices refer to,
/// and the number of instances that the fleet lacks.
#[must_use]
pub fn plan_now(
    state: &FleetState,
    now: DayTime,
    policy: &PlanPolicy,
) -> (DayDemand, Vec<PoolMove>, u32) {
    let demand = DayDemand::with_state(state, now);
    let counts = demand.count_instances(state);
    let (_, plan, _) = choose_plan(&demand, &counts, policy);
    let (moves, shortage) = plan
        .steps
        .into_iter()
        .next()
        .map_or((Vec::new(), 0), |step| (step.moves, step.shortage));
    (demand, moves, shortage)
}

/// Names the instances for moves of the present step, `(instance, source, target)`.
///
/// `allowed` bounds the instances that may leave each pool now.
#[must_use]
pub fn choose_instances(
    state: &FleetState,
    demand: &DayDemand,
    moves: &[PoolMove],
    allowed: &mut [u32],
) -> Vec<(InstanceName, PoolName)> {
    let mut roster = InstanceRoster::new(state, &demand.pools);
    let mut chosen = Vec::new();
    for one in moves {
        let count = one.count.min(allowed[one.from]);
        for name in roster.take(one.from, one.to, count) {
            allowed[one.from] -= 1;
            chosen.push((name.clone(), demand.pools[one.to].clone()));
        }
    }
    chosen
}

fn choose_plan(
    demand: &DayDemand,
    counts: &[u32],
    policy: &PlanPolicy,
) -> (DemandVariant, CountPlan, PlanMeasures) {
    let mut best = evaluate(demand, counts, policy, 0, false);
    let lead = lead_seconds(&best.2);
    let mut others = vec![evaluate(demand, counts, policy, 0, true)];
    for is_filled in [false, true] {
        if lead == 0 {
            break;
        }
        let ahead = evaluate(demand, counts, policy, lead, is_filled);
        let in_time = if is_filled { &others[0] } else { &best };
        // Starting early must not cost a move: the instances that a row frees are not available
        // before it.
        if ahead.2.moves <= in_time.2.moves {
            others.push(ahead);
        }
    }
    for other in others {
        if other.2.score(policy) < best.2.score(policy) {
            best = other;
        }
    }
    best
}

fn evaluate(
    demand: &DayDemand,
    counts: &[u32],
    policy: &PlanPolicy,
    lead: u32,
    is_filled: bool,
) -> (DemandVariant, CountPlan, PlanMeasures) {
    let variant = DemandVariant { lead, is_filled };
    let varied = variant.apply(demand, counts.iter().sum());
    let plan = plan_counts(&varied, counts);
    let measures = PlanMeasures::new(demand, &plan, policy);
    (variant, plan, measures)
}

fn lead_seconds(measures: &PlanMeasures) -> u32 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the value is bounded and not negative"
    )]
    let seconds = measures.rollout_seconds.min(f64::from(MAX_LEAD_SECONDS)) as u32;
    seconds
}
