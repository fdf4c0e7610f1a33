use super::measure_pools::compare_pools;
use crate::args::MeasureArgs;
use crate::error::{CliError, Result};
use crate::measure::{
    DayFigures, MeasureScope, PathFigures, RequestRound, ShareDeviation, ShareFigures, UserReport,
    measure_requests, measure_users,
};
use crate::output::{print_json, print_line, print_table};

/// Measures the decisions and prints the figures.
pub(crate) async fn measure(args: &MeasureArgs) -> Result<()> {
    if args.requests {
        return request_path(args.json).await;
    }
    if args.pools {
        compare_pools(args);
        return Ok(());
    }
    let report = measure_users(args.user, &MeasureScope::new(), args.seed)?;
    if args.json {
        print_json(&report);
        return Ok(());
    }
    print_line(&format!("seed {}", report.seed));
    for user in &report.users {
        print_line(&format!("\n{}", user.user));
        print_table(
            ["measure", "sesamedeal", "baseline", "what the baseline is"],
            &rows(user),
        );
    }
    Ok(())
}

/// Measures on threads of its own, since each part of the path has its own runtime.
async fn request_path(json: bool) -> Result<()> {
    let measured = tokio::task::spawn_blocking(measure_requests).await;
    let rounds = measured.map_err(|error| CliError::Start {
        what: "measurement".to_owned(),
        reason: error.to_string(),
    })??;
    if json {
        print_json(&rounds);
        return Ok(());
    }
    let rows: Vec<[String; 8]> = rounds
        .iter()
        .flat_map(|round| {
            [
                path_row("pass-through", &round.pass_through, round),
                path_row("entry instance", &round.entry, round),
            ]
        })
        .collect();
    print_table(
        [
            "way",
            "answers/s",
            "half load/s",
            "median us",
            "p99 us",
            "processor us",
            "failed",
            "skipped",
        ],
        &rows,
    );
    for round in &rounds {
        print_line(&format!("throughput ratio {}", round.ratio));
    }
    Ok(())
}

fn path_row(way: &str, path: &PathFigures, round: &RequestRound) -> [String; 8] {
    [
        way.to_owned(),
        path.throughput.to_string(),
        round.half_load.to_string(),
        path.median_us.to_string(),
        path.p99_us.to_string(),
        path.processor_us.to_string(),
        path.failed.to_string(),
        path.skipped.to_string(),
    ]
}

fn rows(user: &UserReport) -> Vec<[String; 4]> {
    let mut rows = day_rows(&user.day, &user.day_row_by_row);
    let (plan, generated) = (&user.plan, &user.generated);
    rows.extend([
        row(
            "moves planned",
            plan.moves,
            plan.lowest_moves,
            "lower bound",
        ),
        row(
            "moves planned",
            plan.moves,
            plan.row_by_row_moves,
            "row by row",
        ),
        row(
            &format!("moves on {} generated days", generated.days),
            generated.moves,
            generated.lowest_moves,
            "lower bound",
        ),
        row(
            &format!("moves on {} generated days", generated.days),
            generated.moves,
            generated.row_by_row_moves,
            "row by row",
        ),
    ]);
    rows.extend(share_rows(&user.share, &user.share_first_come));
    if let Some(limit) = &user.limit {
        let what = format!("tasks running of {}'s limit of {}", limit.team, limit.limit);
        let (loans, fixed) = (limit.running_with_loans, limit.running_static);
        rows.push(row(&what, loans, fixed, "static split"));
        let (loans, fixed) = (limit.lost_with_loans, limit.lost_static);
        rows.push(row(
            "throughput lost to the split",
            loans,
            fixed,
            "static split",
        ));
    }
    rows
}

fn day_rows(day: &DayFigures, baseline: &DayFigures) -> Vec<[String; 4]> {
    const BASELINE: &str = "row by row";
    let mut rows = vec![
        row("moves", day.moves, baseline.moves, BASELINE),
        row(
            "buffer, instance-hours a day",
            day.buffer_hours,
            baseline.buffer_hours,
            BASELINE,
        ),
        row(
            "roll-out, s",
            optional(day.rollout_seconds),
            optional(baseline.rollout_seconds),
            BASELINE,
        ),
    ];
    for (own, other) in day.rows.iter().zip(&baseline.rows) {
        let time = format!("{:02}:{:02}", own.minute / 60, own.minute % 60);
        rows.push(row(
            &format!("  {time}: roll-out, s (lead {} s)", own.lead_seconds),
            optional(own.rollout_seconds),
            optional(other.rollout_seconds),
            BASELINE,
        ));
        rows.push(row(
            &format!("  {time}: first to last of {} moves, s", own.taken_out),
            own.span_seconds,
            own.bound_seconds,
            "bound by budgets",
        ));
    }
    rows.push(row(
        &format!("maintenance of {}, s", day.maintained),
        optional(day.wave_seconds),
        day.wave_bound_seconds,
        "bound by budgets",
    ));
    rows.push(row(
        "maintenance, instance-hours",
        day.maintenance_hours,
        "-",
        "",
    ));
    rows
}

fn share_rows(share: &ShareFigures, baseline: &ShareFigures) -> Vec<[String; 4]> {
    const BASELINE: &str = "first-come first-served";
    vec![
        row(
            "largest deviation from share, steady",
            deviation(share.steady.as_ref()),
            deviation(baseline.steady.as_ref()),
            BASELINE,
        ),
        row(
            "largest deviation from share, after surges",
            deviation(share.after_surge.as_ref()),
            deviation(baseline.after_surge.as_ref()),
            BASELINE,
        ),
        row(
            "s until within 5% after a surge",
            optional(share.recovery_seconds),
            optional(baseline.recovery_seconds),
            BASELINE,
        ),
        row(
            "pools not within 5% before the next surge",
            share.pools_not_recovered,
            baseline.pools_not_recovered,
            BASELINE,
        ),
        row(
            "refusals by code",
            format!("{:?}", share.refusals),
            format!("{:?}", baseline.refusals),
            BASELINE,
        ),
    ]
}

fn row(what: &str, own: impl ToString, other: impl ToString, baseline: &str) -> [String; 4] {
    [
        what.to_owned(),
        own.to_string(),
        other.to_string(),
        baseline.to_owned(),
    ]
}

fn deviation(value: Option<&ShareDeviation>) -> String {
    value.map_or_else(
        || "none".to_owned(),
        |off| {
            let percent = off.part * 100.0;
            format!(
                "{percent:+.1}% {} {} at {} s",
                off.pool, off.team, off.window_start
            )
        },
    )
}

fn optional(value: Option<f64>) -> String {
    value.map_or_else(|| "none".to_owned(), |value| value.to_string())
}
