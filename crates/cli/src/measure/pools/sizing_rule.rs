use std::collections::BTreeMap;

use sesamedeal_core::ids::PoolName;
use sesamedeal_core::jobs::{FleetSize, PoolState, ScalingPlanner, ScalingPolicy, SizeChange};
use sesamedeal_core::time::TimePoint;

use super::fleet_plan::FleetPlan;
use super::foresight::Foresight;
use super::sim_job::SimJob;

/// Rule that decides the sizes of the pools.
#[derive(Debug, Clone)]
pub enum SizingRule {
    /// The sizes stay as they are.
    Fixed,
    /// The scaling planner with the given policy.
    Planner(ScalingPolicy),
    /// A planner that knows all jobs beforehand.
    Foresight,
}

/// State of a rule during a simulation.
pub(super) enum RunningRule {
    Fixed,
    Planner(Box<ScalingPlanner>),
    Foresight(Foresight),
}

impl RunningRule {
    pub(super) fn new(
        rule: &SizingRule,
        plan: &FleetPlan,
        jobs: &[SimJob],
        length_ms: u64,
    ) -> Self {
        match rule {
            SizingRule::Fixed => Self::Fixed,
            SizingRule::Planner(policy) => {
                Self::Planner(Box::new(ScalingPlanner::new(policy.clone())))
            }
            SizingRule::Foresight => Self::Foresight(Foresight::new(plan, jobs, length_ms)),
        }
    }

    pub(super) fn decide(
        &mut self,
        states: &BTreeMap<PoolName, PoolState>,
        fleet: FleetSize,
        now_ms: u64,
    ) -> Vec<SizeChange> {
        match self {
            Self::Fixed => Vec::new(),
            Self::Planner(planner) => planner.decide(states, fleet, TimePoint::with_millis(now_ms)),
            Self::Foresight(foresight) => foresight.decide(states, fleet.spare, now_ms),
        }
    }
}
