use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::CompactString;
use serde::Serialize;
use sesamedeal_standin::backend::TaskScript;
use sesamedeal_standin::load::{LoadMode, LoadReport, LoadSettings, SurgeShape, run_load};
use snafu::ResultExt;

use crate::args::{LoadArgs, default_entry};
use crate::error::{CliError, ReadFileSnafu, Result};
use crate::output::{print_json, print_table};

/// Most requests under way at once in an open loop.
const MAX_IN_FLIGHT: usize = 10_000;

#[derive(Debug, Serialize)]
struct LoadResult {
    sent: u64,
    codes: BTreeMap<u16, u64>,
    lost: u64,
    wrong_answers: u64,
    per_second: f64,
    median_us: u64,
    p99_us: u64,
}

/// Sends load and reports the answers.
pub(crate) async fn load(args: LoadArgs) -> Result<()> {
    let report = run_load(settings(&args)?)
        .await
        .map_err(|error| CliError::Start {
            what: "load".to_owned(),
            reason: error.to_string(),
        })?;
    let result = result(&report);
    if args.json {
        print_json(&result);
    } else {
        print(&result);
    }
    Ok(())
}

fn settings(args: &LoadArgs) -> Result<LoadSettings> {
    let targets = if args.entry.is_empty() {
        vec![default_entry()]
    } else {
        args.entry.clone()
    };
    let queues: Vec<CompactString> = args.queue.iter().map(CompactString::from).collect();
    let authorization = match &args.key_file {
        Some(path) => {
            let key = std::fs::read_to_string(path).context(ReadFileSnafu { path })?;
            Some(CompactString::from(format!("Bearer {}", key.trim())))
        }
        None => None,
    };
    let mode = match args.mean_rate {
        Some(mean_rate) => LoadMode::Open {
            shape: SurgeShape {
                mean_rate,
                queues: queues.len(),
                surge: Duration::from_secs(args.surge_s),
            },
            max_in_flight: MAX_IN_FLIGHT,
        },
        None => LoadMode::Closed {
            callers: args.callers,
        },
    };
    Ok(LoadSettings {
        queues,
        authorization,
        mode,
        duration: Duration::from_secs(args.duration_s),
        script: TaskScript {
            run_ms: args.run_ms,
            answer_bytes: args.answer_bytes,
            ..TaskScript::default()
        },
        seed: args.seed,
        ..LoadSettings::new(targets, "")
    })
}

fn result(report: &LoadReport) -> LoadResult {
    LoadResult {
        sent: report.sent,
        codes: report.codes.clone(),
        lost: report.lost,
        wrong_answers: report.wrong(),
        per_second: report.throughput(),
        median_us: report.latency_us(0.5),
        p99_us: report.latency_us(0.99),
    }
}

fn print(result: &LoadResult) {
    let mut rows: Vec<[String; 2]> = vec![["sent".to_owned(), result.sent.to_string()]];
    for (code, count) in &result.codes {
        rows.push([format!("code {code}"), count.to_string()]);
    }
    rows.push(["lost".to_owned(), result.lost.to_string()]);
    rows.push(["wrong answers".to_owned(), result.wrong_answers.to_string()]);
    rows.push([
        "answers per second".to_owned(),
        format!("{:.0}", result.per_second),
    ]);
    rows.push([
        "median latency".to_owned(),
        format!("{} us", result.median_us),
    ]);
    rows.push(["p99 latency".to_owned(), format!("{} us", result.p99_us)]);
    print_table(["figure", "value"], &rows);
}
