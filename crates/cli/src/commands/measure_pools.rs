use sesamedeal_core::jobs::ScalingPolicy;

use crate::args::MeasureArgs;
use crate::measure::pools::{
    ComparisonRow, DemandFamily, FleetPlan, PoolFigures, SizingRule, WorldTrouble, compare_rules,
};
use crate::output::{print_json, print_line, print_table};

/// Compares rules for the sizes of pools and prints their figures.
pub(super) fn compare_pools(args: &MeasureArgs) {
    let plan = FleetPlan::new(args.instances).with_run_time(args.run_time);
    let families = if args.family.is_empty() {
        DemandFamily::ALL.to_vec()
    } else {
        args.family.clone()
    };
    let rules = [
        ("fixed".to_owned(), SizingRule::Fixed),
        (
            "planner".to_owned(),
            SizingRule::Planner(ScalingPolicy::default()),
        ),
        ("foresight".to_owned(), SizingRule::Foresight),
    ];
    let seeds = args.seed..args.seed.saturating_add(args.seeds);
    let last_seed = seeds.end.saturating_sub(1);
    let rows = compare_rules(&plan, &families, &rules, &WorldTrouble::default(), seeds);
    if args.json {
        print_json(&rows);
        return;
    }
    print_line(&format!(
        "{} instances, seeds {} to {}; mean and standard error",
        args.instances, args.seed, last_seed
    ));
    let cells: Vec<[String; 10]> = rows.iter().map(row).collect();
    print_table(
        [
            "demand",
            "rule",
            "in time %",
            "late %",
            "worst %",
            "lasting %",
            "instances",
            "moves",
            "wait s",
            "net %",
        ],
        &cells,
    );
}

fn row(row: &ComparisonRow) -> [String; 10] {
    let cell = |factor: f64, digits: usize, figure: fn(&PoolFigures) -> f64| {
        let spread = row.spread(figure);
        let (mean, error) = (spread.mean * factor, spread.error * factor);
        format!("{mean:.digits$} ±{error:.digits$}")
    };
    [
        row.family.to_owned(),
        row.rule.clone(),
        cell(100.0, 1, |figures| figures.in_time),
        cell(100.0, 1, |figures| figures.late),
        cell(100.0, 1, |figures| figures.worst),
        cell(100.0, 1, |figures| figures.long_running),
        cell(1.0, 1, |figures| figures.instances),
        cell(1.0, 0, |figures| figures.moves),
        cell(1.0, 2, |figures| figures.wait_seconds),
        cell(100.0, 1, |figures| figures.net),
    ]
}
