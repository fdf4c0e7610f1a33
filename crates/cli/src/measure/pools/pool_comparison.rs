use rayon::prelude::*;
use serde::Serialize;

use super::demand_family::DemandFamily;
use super::fleet_plan::FleetPlan;
use super::pool_figures::PoolFigures;
use super::pool_world::simulate;
use super::sizing_rule::SizingRule;
use super::world_trouble::WorldTrouble;

/// Mean of a figure over several seeds, and the standard error of the mean.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Spread {
    /// Mean.
    pub mean: f64,
    /// Standard error of the mean.
    pub error: f64,
}

impl Spread {
    /// Computes the mean of `values` and its standard error.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "values are few")]
    pub fn new(values: &[f64]) -> Self {
        let count = values.len().max(1) as f64;
        let mean = values.iter().sum::<f64>() / count;
        let squares = values.iter().map(|value| (value - mean).powi(2));
        let variance = squares.sum::<f64>() / (count - 1.0).max(1.0);
        Self {
            mean,
            error: (variance / count).sqrt(),
        }
    }
}

/// Figures of a sizing rule under a demand family.
#[derive(Debug, Clone, Serialize)]
pub struct ComparisonRow {
    /// Name of the family.
    pub family: &'static str,
    /// Name of the rule.
    pub rule: String,
    /// Figures of each seed.
    pub figures: Vec<PoolFigures>,
}

impl ComparisonRow {
    /// Returns the spread of one of the figures.
    #[must_use]
    pub fn spread(&self, figure: impl Fn(&PoolFigures) -> f64) -> Spread {
        let values: Vec<f64> = self.figures.iter().map(figure).collect();
        Spread::new(&values)
    }
}

/// Simulates each family with each rule, once for each of `seeds` successive seeds.
#[must_use]
pub fn compare_rules(
    plan: &FleetPlan,
    families: &[DemandFamily],
    rules: &[(String, SizingRule)],
    trouble: &WorldTrouble,
    seeds: std::ops::Range<u64>,
) -> Vec<ComparisonRow> {
    let pairs = families
        .iter()
        .flat_map(|&family| rules.iter().map(move |rule| (family, rule)));
    let pairs: Vec<_> = pairs.collect();
    let rows = pairs.par_iter().map(|(family, (name, rule))| {
        let seeds = seeds.clone().into_par_iter();
        let figures = seeds.map(|seed| simulate(plan, *family, rule, trouble, seed));
        ComparisonRow {
            family: family.name(),
            rule: name.clone(),
            figures: figures.collect(),
        }
    });
    rows.collect()
}
