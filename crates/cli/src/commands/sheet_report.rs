use serde::Serialize;
use sesamedeal_core::ids::Generation;
use sesamedeal_core::sheet::{DiffEntry, SheetPlan};

use crate::output::{print_line, print_table};

/// What `sheet plan` prints.
#[derive(Debug, Serialize)]
pub(crate) struct SheetReport {
    generation: Generation,
    added: Vec<String>,
    changed: Vec<String>,
    removed: Vec<String>,
    moves: Vec<MoveReport>,
    row_by_row_moves: u64,
    waves: Vec<WaveReport>,
    rollout_seconds: f64,
    buffer_hours: f64,
    shortage: u32,
}

#[derive(Debug, Serialize)]
struct MoveReport {
    after_seconds: u32,
    instance: String,
    from: String,
    to: String,
}

#[derive(Debug, Serialize)]
struct WaveReport {
    name: String,
    at: String,
    members: usize,
    bound_seconds: Option<u64>,
}

impl SheetReport {
    /// Creates the report of a plan made from a generation.
    pub(crate) fn new(generation: Generation, plan: &SheetPlan) -> Self {
        let moves = plan.day.moves.iter().map(|one| MoveReport {
            after_seconds: one.second,
            instance: one.instance.to_string(),
            from: one.from.to_string(),
            to: one.to.to_string(),
        });
        let waves = plan.waves.iter().map(|wave| WaveReport {
            name: wave.name.to_string(),
            at: format!("{:02}:{:02}", wave.minute / 60, wave.minute % 60),
            members: wave.members,
            bound_seconds: wave.bound.map(|bound| bound.as_secs()),
        });
        Self {
            generation,
            added: texts(&plan.diff.added),
            changed: texts(&plan.diff.changed),
            removed: texts(&plan.diff.removed),
            moves: moves.collect(),
            row_by_row_moves: plan.row_by_row_moves,
            waves: waves.collect(),
            rollout_seconds: plan.rollout().as_secs_f64(),
            buffer_hours: plan.day.measures.buffer_hours,
            shortage: plan.day.measures.shortage,
        }
    }
}

/// Prints a plan for a reader.
pub(crate) fn print_plan(report: &SheetReport) {
    print_line(&format!("planned from generation {}", report.generation));
    for (title, entries) in [
        ("added", &report.added),
        ("changed", &report.changed),
        ("removed", &report.removed),
    ] {
        if !entries.is_empty() {
            print_line(&format!("{title}: {}", entries.join(", ")));
        }
    }
    print_line(&format!(
        "moves over the day: {} ({} if the rows were applied one by one)",
        report.moves.len(),
        report.row_by_row_moves
    ));
    let moves: Vec<[String; 4]> = report
        .moves
        .iter()
        .map(|one| {
            [
                format!("{} s", one.after_seconds),
                one.instance.clone(),
                one.from.clone(),
                one.to.clone(),
            ]
        })
        .collect();
    if !moves.is_empty() {
        print_table(["after", "instance", "from", "to"], &moves);
    }
    let waves: Vec<[String; 4]> = report
        .waves
        .iter()
        .map(|wave| {
            let bound = match wave.bound_seconds {
                Some(seconds) => format!("{seconds} s"),
                None => "no budget".to_owned(),
            };
            [
                wave.name.clone(),
                wave.at.clone(),
                wave.members.to_string(),
                bound,
            ]
        })
        .collect();
    if !waves.is_empty() {
        print_table(["wave", "at", "instances", "at least"], &waves);
    }
    print_line(&format!(
        "expected roll-out time: {:.0} s",
        report.rollout_seconds
    ));
    print_line(&format!(
        "buffer cost: {:.1} instance-hours a day",
        report.buffer_hours
    ));
    if report.shortage > 0 {
        print_line(&format!(
            "warning: at one time of the day {} instances are missing",
            report.shortage
        ));
    }
}

fn texts(entries: &[DiffEntry]) -> Vec<String> {
    entries.iter().map(ToString::to_string).collect()
}
