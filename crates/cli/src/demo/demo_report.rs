use std::collections::BTreeMap;

use serde::Serialize;
use sesamedeal_core::code::ResultCode;
use sesamedeal_standin::load::LoadReport;
use sesamedeal_standin::observer::ViolationCounts;

use crate::output::{print_line, print_table};

/// Result of the demonstration. The violations are counted by the stand-ins.
#[derive(Debug, Serialize)]
pub(crate) struct DemoReport {
    submitted: u64,
    placed: u64,
    refused: BTreeMap<u16, u64>,
    lost_connections: u64,
    wrong_answers: u64,
    double_runs: u64,
    over_limit: u64,
    budget_breaches: u64,
    after_withdrawal: u64,
    after_leaving: u64,
    over_slots: u64,
    over_connections: u64,
    two_pools: u64,
    median_latency_us: u64,
    p99_latency_us: u64,
    elapsed_s: f64,
}

impl DemoReport {
    /// Creates the report from what callers and stand-ins saw.
    pub(crate) fn new(load: &LoadReport, violations: &ViolationCounts, elapsed_s: f64) -> Self {
        let refused = load
            .codes
            .iter()
            .filter(|(code, _)| **code != ResultCode::Ok.number());
        Self {
            submitted: load.sent,
            placed: load.succeeded(),
            refused: refused.map(|(code, count)| (*code, *count)).collect(),
            lost_connections: load.lost,
            wrong_answers: load.wrong(),
            double_runs: violations.run_twice,
            over_limit: violations.over_limit,
            budget_breaches: violations.over_budget,
            after_withdrawal: violations.after_withdrawal,
            after_leaving: violations.after_leaving + violations.refused_leaving,
            over_slots: violations.over_slots,
            over_connections: violations.over_connections,
            two_pools: violations.two_pools,
            median_latency_us: load.latency_us(0.5),
            p99_latency_us: load.latency_us(0.99),
            elapsed_s,
        }
    }

    /// Number of broken promises.
    pub(crate) const fn broken_promises(&self) -> u64 {
        self.wrong_answers
            + self.double_runs
            + self.over_limit
            + self.budget_breaches
            + self.after_withdrawal
            + self.after_leaving
            + self.over_slots
            + self.over_connections
            + self.two_pools
    }

    /// Prints the report for a reader.
    pub(crate) fn print(&self) {
        let mut rows = vec![row("submitted", self.submitted), row("placed", self.placed)];
        for (code, count) in &self.refused {
            let label = ResultCode::from_number(*code).map_or("unknown", ResultCode::label);
            rows.push(row(&format!("refused {code} {label}"), *count));
        }
        rows.extend([
            row("connections lost", self.lost_connections),
            row("wrong answers", self.wrong_answers),
            row("double runs", self.double_runs),
            row("over a team's limit", self.over_limit),
            row("availability budget breaches", self.budget_breaches),
            row("work after a key's withdrawal", self.after_withdrawal),
            row("work after a server's leaving", self.after_leaving),
            row("over a worker's slots", self.over_slots),
            row("over a worker's connections", self.over_connections),
            row("instance in two pools", self.two_pools),
        ]);
        rows.push([
            "median latency".to_owned(),
            format!("{} us", self.median_latency_us),
        ]);
        rows.push([
            "p99 latency".to_owned(),
            format!("{} us", self.p99_latency_us),
        ]);
        print_table(["figure", "value"], &rows);
        print_line(&format!("finished in {:.1} s", self.elapsed_s));
    }
}

fn row(name: &str, value: u64) -> [String; 2] {
    [name.to_owned(), value.to_string()]
}
