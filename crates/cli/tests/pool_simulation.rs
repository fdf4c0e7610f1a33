//! Load pattern: the demand of each pool in turn exceeds its capacity. The scaling planner is
//! compared with pools of fixed sizes on simulated days.

use sesamedeal_cli::measure::pools::{
    DemandFamily, FleetPlan, PoolFigures, SizingRule, WorldTrouble, simulate,
};
use sesamedeal_core::jobs::ScalingPolicy;

const INSTANCES: usize = 350;

/// Maximum mean time that work may wait for free capacity, in seconds. A move takes 1.5 s, and a
/// caller's objective leaves about 0.6 s in addition to the run time.
const MAX_MEAN_WAIT: f64 = 0.6;

fn run(family: DemandFamily, rule: &SizingRule, seed: u64) -> PoolFigures {
    let plan = FleetPlan::new(INSTANCES);
    simulate(&plan, family, rule, &WorldTrouble::default(), seed)
}

fn planner() -> SizingRule {
    SizingRule::Planner(ScalingPolicy::default())
}

/// Guards against work that waits in a surging pool while instances in other pools are idle.
#[test]
fn capacity_in_time() {
    for seed in 1..4 {
        let fixed = run(DemandFamily::UnevenTurns, &SizingRule::Fixed, seed);
        let scaled = run(DemandFamily::UnevenTurns, &planner(), seed);
        assert!(scaled.wait_seconds < MAX_MEAN_WAIT, "{scaled:?}");
        assert!(
            scaled.wait_seconds < fixed.wait_seconds,
            "{scaled:?} {fixed:?}"
        );
        assert!(scaled.in_time > fixed.in_time, "{scaled:?} {fixed:?}");
    }
}

/// Guards against surges that are met only at the cost of instances that are never switched off and
/// move too often.
#[test]
#[expect(clippy::cast_precision_loss, reason = "instances are few")]
fn bounded_cost() {
    let scaled = run(DemandFamily::Turns, &planner(), 1);
    assert!(scaled.instances < INSTANCES as f64, "{scaled:?}");
    // There are 8 surges in a day. In each, every instance moves at most to the surging pool and
    // away again.
    assert!(scaled.moves < INSTANCES as f64 * 2.0 * 8.0, "{scaled:?}");
}

/// Guards against needless moves while the demand of all pools is steady. An instance that is not
/// needed is switched off once and, at most, switched on again once.
#[test]
#[expect(clippy::cast_precision_loss, reason = "instances are few")]
fn steady_without_moves() {
    let scaled = run(DemandFamily::Steady, &planner(), 1);
    assert!(scaled.moves < INSTANCES as f64 * 2.0, "{scaled:?}");
}
