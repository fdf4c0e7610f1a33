//! Load pattern: the demand of each pool in turn exceeds its capacity. The scaling planner is
//! compared with pools of fixed sizes.

mod scaling;

use std::time::Duration;

use scaling::{CAPACITY, SimResult, SurgePlan, at, simulate};
use sesamedeal_core::jobs::{FleetSize, ScalingPlanner, ScalingPolicy};

/// Maximum mean time that work may wait for free capacity. A move takes 1.5 s, and a caller's
/// objective leaves about 0.6 s in addition to the run time.
const MAX_MEAN_WAIT: Duration = Duration::from_millis(600);

fn plan(order: &[usize]) -> SurgePlan {
    SurgePlan {
        pools: vec![74; 4],
        hosts: 35,
        spare: 76,
        order: order.to_vec(),
        period_ms: 8_500,
        surge_ms: 8_500,
        surge_instances: 170.0,
        jobs_per_s: 20.0,
    }
}

fn instances(plan: &SurgePlan) -> usize {
    plan.spare + plan.pools.iter().sum::<usize>()
}

fn run_fixed(plan: &SurgePlan, seed: u64) -> SimResult {
    simulate(plan, seed, &mut |_, _, _| Vec::new())
}

fn run_scaled(plan: &SurgePlan, seed: u64) -> SimResult {
    let mut planner = ScalingPlanner::new(ScalingPolicy::default());
    let total = instances(plan);
    simulate(plan, seed, &mut |now, states, spare| {
        let fleet = FleetSize {
            spare,
            total,
            capacity: CAPACITY,
        };
        planner.decide(states, fleet, at(now))
    })
}

/// Guards against work that waits in a surging pool while instances in other pools are idle.
#[test]
fn capacity_in_time() {
    for (seed, order) in [[2, 0, 1, 3], [0, 1, 2, 3], [3, 2, 1, 0]]
        .iter()
        .enumerate()
    {
        let seed = u64::try_from(seed).unwrap();
        let plan = plan(order);
        let (fixed, scaled) = (run_fixed(&plan, seed), run_scaled(&plan, seed));
        assert!(fixed.wait > MAX_MEAN_WAIT, "no surge: {fixed:?}");
        assert!(scaled.wait < MAX_MEAN_WAIT, "{scaled:?}");
    }
}

/// Guards against surges that are met only at the cost of instances that are never switched off and
/// move too often. A move costs about as much as an instance for a second.
#[test]
fn bounded_cost() {
    let plan = plan(&[2, 0, 1, 3, 2, 0, 1, 3]);
    let scaled = run_scaled(&plan, 1);
    let seconds = 8.0 * Duration::from_millis(plan.period_ms).as_secs_f64();
    #[expect(clippy::cast_precision_loss, reason = "instances are few")]
    let all = instances(&plan) as f64 * seconds;
    assert!(scaled.instance_seconds < all, "{scaled:?}");
    #[expect(clippy::cast_precision_loss, reason = "moves are few")]
    let moves = scaled.moves as f64;
    // In each surge, every instance moves at most to the surging pool and away again.
    #[expect(clippy::cast_precision_loss, reason = "instances are few")]
    let max = instances(&plan) as f64 * 2.0 * 8.0;
    assert!(moves < max, "{scaled:?}");
}

/// Guards against needless moves while the fleet is idle and all pools have the same load.
#[test]
fn idle_without_moves() {
    let mut plan = plan(&[0, 1, 2, 3]);
    plan.surge_ms = 0;
    let scaled = run_scaled(&plan, 1);
    assert_eq!(scaled.moves, 0, "{scaled:?}");
}
