use super::demand_variant::DemandVariant;
use super::instance_roster::InstanceRoster;
use super::{CountPlan, DayDemand, PlanMeasures, PlanPolicy, PoolMove, plan_counts};
use crate::fleet::{DayTime, FleetState};
use crate::ids::{InstanceName, PoolName};

/// Maximum time by which moves start ahead of their row.
const MAX_LEAD_SECONDS: u32 = 2 * 3_600;

/// Move of one instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedMove {
    /// Seconds from the start of the plan.
    pub second: u32,
    /// Instance to move.
    pub instance: InstanceName,
    /// Source pool.
    pub from: PoolName,
    /// Target pool.
    pub to: PoolName,
}

/// Plan of the moves in the 24 hours after its start.
#[derive(Debug, Clone, PartialEq)]
pub struct DayPlan {
    /// Moves in order of time.
    pub moves: Vec<PlannedMove>,
    /// Measures of the plan.
    pub measures: PlanMeasures,
    /// Seconds by which moves start ahead of their rows.
    pub lead_seconds: u32,
    /// Whether instances that no pool needs are spread over the pools.
    pub spreads_surplus: bool,
}

/// Plans a whole day and selects the instances to move.
#[must_use]
pub fn plan_day(state: &FleetState, start: DayTime, policy: &PlanPolicy) -> DayPlan {
    let demand = DayDemand::with_state(state, start);
    let counts = demand.count_instances(state);
    let (variant, plan, measures) = choose_plan(&demand, &counts, policy);
    let mut roster = InstanceRoster::new(state, &demand.pools);
    let mut moves = Vec::new();
    for step in &plan.steps {
        for pool_move in &step.moves {
            for name in roster.take(pool_move.from, pool_move.to, pool_move.count) {
                moves.push(PlannedMove {
                    second: step.second,
                    instance: name.clone(),
                    from: demand.pools[pool_move.from].clone(),
                    to: demand.pools[pool_move.to].clone(),
                });
            }
        }
    }
    DayPlan {
        moves,
        measures,
        lead_seconds: variant.lead_seconds,
        spreads_surplus: variant.spreads_surplus,
    }
}

/// Returns the moves that are due now, as numbers of instances. Also returns the demand that their
/// pool indices refer to, and the number of instances that the fleet lacks.
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

/// Selects the instances for the moves of the current step; returns each with its target pool.
///
/// `allowed` is the number of instances that may still leave each pool now. It is reduced by each
/// selected instance.
#[must_use]
pub fn choose_instances(
    state: &FleetState,
    demand: &DayDemand,
    moves: &[PoolMove],
    allowed: &mut [u32],
) -> Vec<(InstanceName, PoolName)> {
    let mut roster = InstanceRoster::new(state, &demand.pools);
    let mut chosen = Vec::new();
    for pool_move in moves {
        let count = pool_move.count.min(allowed[pool_move.from]);
        for name in roster.take(pool_move.from, pool_move.to, count) {
            allowed[pool_move.from] -= 1;
            chosen.push((name.clone(), demand.pools[pool_move.to].clone()));
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
    let lead = bounded_rollout_seconds(&best.2);
    let mut alternatives = vec![evaluate(demand, counts, policy, 0, true)];
    for spreads_surplus in [false, true] {
        if lead == 0 {
            break;
        }
        let early = evaluate(demand, counts, policy, lead, spreads_surplus);
        let on_time = if spreads_surplus {
            &alternatives[0]
        } else {
            &best
        };
        // The instances that a row frees are not available before the row, so an early start can
        // need more moves. Such a plan is rejected.
        if early.2.moves <= on_time.2.moves {
            alternatives.push(early);
        }
    }
    for alternative in alternatives {
        if alternative.2.score(policy) < best.2.score(policy) {
            best = alternative;
        }
    }
    best
}

fn evaluate(
    demand: &DayDemand,
    counts: &[u32],
    policy: &PlanPolicy,
    lead_seconds: u32,
    spreads_surplus: bool,
) -> (DemandVariant, CountPlan, PlanMeasures) {
    let variant = DemandVariant {
        lead_seconds,
        spreads_surplus,
    };
    let varied = variant.apply(demand, counts.iter().sum());
    let plan = plan_counts(&varied, counts);
    let measures = PlanMeasures::new(demand, &plan, policy);
    (variant, plan, measures)
}

fn bounded_rollout_seconds(measures: &PlanMeasures) -> u32 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the value is bounded and not negative"
    )]
    let seconds = measures.rollout_seconds.min(f64::from(MAX_LEAD_SECONDS)) as u32;
    seconds
}
