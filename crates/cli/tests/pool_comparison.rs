//! Comparison of rules for the sizes of pools: determinism and the order of its reference rules.

use sesamedeal_cli::measure::pools::{
    ComparisonRow, DemandFamily, FleetPlan, SizingRule, WorldTrouble, compare_rules,
};
use sesamedeal_core::jobs::ScalingPolicy;

const SEEDS: std::ops::Range<u64> = 1..4;

fn compare(family: DemandFamily, trouble: &WorldTrouble) -> Vec<ComparisonRow> {
    let rules = [
        ("fixed".to_owned(), SizingRule::Fixed),
        (
            "planner".to_owned(),
            SizingRule::Planner(ScalingPolicy::default()),
        ),
        ("foresight".to_owned(), SizingRule::Foresight),
    ];
    compare_rules(&FleetPlan::new(49), &[family], &rules, trouble, SEEDS)
}

/// Guards against figures that depend on anything but the seed, and against a seed without effect.
#[test]
fn same_seed() {
    let trouble = WorldTrouble::default();
    let (first, second) = (
        compare(DemandFamily::Bursts, &trouble),
        compare(DemandFamily::Bursts, &trouble),
    );
    for (left, right) in first.iter().zip(&second) {
        assert_eq!(left.figures, right.figures);
        assert_ne!(left.figures[0], left.figures[1]);
    }
}

/// Guards against a reference that a rule without knowledge of the jobs could beat.
#[test]
fn foresight_best() {
    for family in DemandFamily::ALL {
        let rows = compare(family, &WorldTrouble::default());
        let net: Vec<f64> = rows
            .iter()
            .map(|row| row.spread(|figures| figures.net).mean)
            .collect();
        assert!(net[2] > net[0], "{family}: {net:?}");
        assert!(net[2] > net[1], "{family}: {net:?}");
    }
}

/// Guards against troubles that the simulation ignores.
#[test]
fn trouble_costs() {
    let silent = WorldTrouble {
        silent_store: Some(8_000..12_000),
        ..WorldTrouble::default()
    };
    let failed = WorldTrouble {
        failed_instances: Some(8_000..14_000),
        ..WorldTrouble::default()
    };
    let in_time = |trouble: &WorldTrouble| {
        let rows = compare(DemandFamily::Turns, trouble);
        rows[1].spread(|figures| figures.in_time).mean
    };
    let calm = in_time(&WorldTrouble::default());
    assert!(in_time(&silent) < calm);
    assert!(in_time(&failed) < calm);
}
