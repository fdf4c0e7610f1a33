//! Load pattern: each pool surges in turn to more than it holds, beside pools of fixed sizes.

mod scaling;

use std::time::Duration;

use scaling::{CAPACITY, DayCost, TurnPlan, at, play};
use sesamedeal_core::jobs::{FleetSize, ScalingPlanner, ScalingPolicy};

/// Mean time that work may wait for room. A move takes 1.5 s, and a caller's objective leaves about
/// 0.6 s beside the run times.
const MOST_WAIT: Duration = Duration::from_millis(600);

fn plan(order: &[usize]) -> TurnPlan {
    TurnPlan {
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

fn instances(plan: &TurnPlan) -> usize {
    plan.spare + plan.pools.iter().sum::<usize>()
}

fn fixed(plan: &TurnPlan, seed: u64) -> DayCost {
    play(plan, seed, &mut |_, _, _| Vec::new())
}

fn sized(plan: &TurnPlan, seed: u64) -> DayCost {
    let mut sizing = ScalingPlanner::new(ScalingPolicy::default());
    let total = instances(plan);
    play(plan, seed, &mut |now, sizes, spare| {
        let fleet = FleetSize {
            spare,
            total,
            capacity: CAPACITY,
        };
        sizing.decide(sizes, fleet, at(now))
    })
}

/// Guards against work that waits in the pool at its turn while instances rest in others.
#[test]
fn room_in_time() {
    for (seed, order) in [[2, 0, 1, 3], [0, 1, 2, 3], [3, 2, 1, 0]]
        .iter()
        .enumerate()
    {
        let seed = u64::try_from(seed).unwrap();
        let plan = plan(order);
        let (fixed, sized) = (fixed(&plan, seed), sized(&plan, seed));
        assert!(fixed.wait > MOST_WAIT, "no surge: {fixed:?}");
        assert!(sized.wait < MOST_WAIT, "{sized:?}");
    }
}

/// Guards against turns that are foreseen at the cost of instances that never rest: each move costs
/// about as much as an instance for a second.
#[test]
fn instances_rest() {
    let plan = plan(&[2, 0, 1, 3, 2, 0, 1, 3]);
    let sized = sized(&plan, 1);
    let seconds = 8.0 * Duration::from_millis(plan.period_ms).as_secs_f64();
    #[expect(clippy::cast_precision_loss, reason = "instances are few")]
    let all = instances(&plan) as f64 * seconds;
    assert!(sized.instance_seconds < all, "{sized:?}");
    #[expect(clippy::cast_precision_loss, reason = "moves are few")]
    let moves = sized.moves as f64;
    // Each instance moves to the pool at its turn and away again.
    #[expect(clippy::cast_precision_loss, reason = "instances are few")]
    let most = instances(&plan) as f64 * 2.0 * 8.0;
    assert!(moves < most, "{sized:?}");
}

/// Guards against a fleet that is moved about on an idle day, at which every pool has the same.
#[test]
fn idle_rests() {
    let mut plan = plan(&[0, 1, 2, 3]);
    plan.surge_ms = 0;
    let sized = sized(&plan, 1);
    assert_eq!(sized.moves, 0, "{sized:?}");
}
