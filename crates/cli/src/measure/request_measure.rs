use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use sesamedeal_standin::backend::{BackendSettings, BackendStandin, TaskScript};
use sesamedeal_standin::baseline::BaselineProxy;
use sesamedeal_standin::load::{LoadMode, LoadReport, LoadSettings, SurgeShape, run_load};
use tokio::runtime::{Builder, Runtime};

use super::request_fleet::{QUEUE, RequestFleet, failed, loopback};
use super::round::round;
use crate::error::{CliError, Result};

/// Backend servers.
const BACKENDS: usize = 16;

/// Callers that each wait for their answer.
const CALLERS: usize = 64;

/// Size of an answer.
const ANSWER_BYTES: usize = 10_000;

/// Time that each run lasts.
const RUN_TIME: Duration = Duration::from_secs(3);

/// Time until the entry instance has its units: its session joins, and a generation settles.
const START_TIME: Duration = Duration::from_secs(4);

/// Rounds, each of which measures both ways to the backend servers.
const ROUNDS: u64 = 3;

/// Load of a shape with a single queue, relative to its mean; the queue surges all the time.
const SINGLE_QUEUE_FACTOR: f64 = 5.0;

/// Most requests of one run.
const MAX_REQUESTS: u64 = 500_000;

/// Throughput and latency of one way to the backend servers.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PathFigures {
    /// Answers per second with callers that wait for their answers.
    pub throughput: f64,
    /// Median latency in microseconds at half load.
    pub median_us: u64,
    /// Latency in microseconds that 99% of the answers stay within at half load.
    pub p99_us: u64,
    /// Processor time of the process's threads for this way, in microseconds per request. Unlike
    /// throughput, it hardly depends on what else runs on the machine.
    pub processor_us: f64,
    /// Requests without the right answer.
    pub failed: u64,
    /// Requests of the half load that were not sent, since too many were under way.
    pub skipped: u64,
}

/// One round of both ways.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RequestRound {
    /// Through the entry instance.
    pub entry: PathFigures,
    /// Through the plain pass-through.
    pub pass_through: PathFigures,
    /// Throughput of the entry instance divided by that of the pass-through.
    pub ratio: f64,
    /// Requests per second of the half load.
    pub half_load: f64,
}

/// Measures the request path on loopback, next to the pass-through, with 10 KB answers.
///
/// # Errors
///
/// Returns an error when a part cannot be started.
pub fn measure_requests() -> Result<Vec<RequestRound>> {
    let (backs, load) = (runtime("backs", 2)?, runtime("load", 2)?);
    let (middle, other) = (runtime("entry", 3)?, runtime("plain", 3)?);
    let mut handles = Vec::new();
    for number in 0..BACKENDS {
        let mut settings = BackendSettings::new(&format!("w{number}"));
        // The pass-through does not count slots, so that a refusal would depend on chance.
        settings.slots = u32::try_from(CALLERS).unwrap_or(u32::MAX);
        let backend = BackendStandin::with_settings(settings);
        let handle = backs.block_on(backend.serve(loopback()));
        handles.push(handle.map_err(|error| failed("backend server", error))?);
    }
    let backends: Vec<SocketAddr> = handles.iter().map(|handle| handle.address()).collect();
    let fleet = middle.block_on(RequestFleet::start(&backends))?;
    let proxy = BaselineProxy::new(backends).map_err(|error| failed("pass-through", error))?;
    let plain = other
        .block_on(proxy.serve(loopback()))
        .map_err(|error| failed("pass-through", error))?;
    std::thread::sleep(START_TIME);
    let (entry, plain) = (fleet.entry.address(), plain.address());
    load.block_on(async {
        let closed = LoadMode::Closed { callers: CALLERS };
        run(entry, true, closed, 0).await?;
        run(plain, false, closed, 0).await?;
        let mut rounds = Vec::new();
        for round in 1..=ROUNDS {
            rounds.push(measure_round(entry, plain, round).await?);
        }
        Ok(rounds)
    })
}

async fn measure_round(entry: SocketAddr, plain: SocketAddr, seed: u64) -> Result<RequestRound> {
    let closed = LoadMode::Closed { callers: CALLERS };
    let before = processor_time("plain");
    let plain_full = run(plain, false, closed, seed).await?;
    let plain_time = processor_time("plain").saturating_sub(before);
    let before = processor_time("entry");
    let entry_full = run(entry, true, closed, seed).await?;
    let entry_time = processor_time("entry").saturating_sub(before);
    let slower = plain_full.throughput().min(entry_full.throughput());
    let half_load = slower / 2.0;
    let half = LoadMode::Open {
        shape: SurgeShape {
            mean_rate: half_load / SINGLE_QUEUE_FACTOR,
            queues: 1,
            surge: RUN_TIME,
        },
        max_in_flight: 4 * CALLERS,
    };
    let plain_half = run(plain, false, half, seed).await?;
    let entry_half = run(entry, true, half, seed).await?;
    Ok(RequestRound {
        ratio: round(entry_full.throughput() / plain_full.throughput()),
        half_load: round(half_load),
        entry: figures(&entry_full, &entry_half, entry_time),
        pass_through: figures(&plain_full, &plain_half, plain_time),
    })
}

async fn run(target: SocketAddr, codes: bool, mode: LoadMode, seed: u64) -> Result<LoadReport> {
    let mut settings = LoadSettings::new(vec![target], QUEUE);
    settings.mode = mode;
    settings.duration = RUN_TIME;
    settings.max_requests = MAX_REQUESTS;
    settings.expect_codes = codes;
    settings.seed = seed;
    settings.script = TaskScript {
        answer_bytes: ANSWER_BYTES,
        ..TaskScript::default()
    };
    let report = run_load(settings).await;
    report.map_err(|error| failed("load", error))
}

fn figures(full: &LoadReport, half: &LoadReport, time: Duration) -> PathFigures {
    let failed = |report: &LoadReport| report.sent - report.succeeded();
    PathFigures {
        throughput: round(full.throughput()),
        median_us: half.latency_us(0.5),
        p99_us: half.latency_us(0.99),
        processor_us: round(time.as_secs_f64() * 1e6 / full.sent.max(1) as f64),
        failed: failed(full) + failed(half),
        skipped: half.skipped,
    }
}

fn runtime(name: &str, threads: usize) -> Result<Runtime> {
    let mut builder = Builder::new_multi_thread();
    builder
        .worker_threads(threads)
        .thread_name(name)
        .enable_all()
        .build()
        .map_err(|source| CliError::Start {
            what: format!("threads of {name}"),
            reason: source.to_string(),
        })
}

/// Processor time used so far by the threads of a name; zero where `/proc` does not tell it.
fn processor_time(name: &str) -> Duration {
    // Without the state letter, user and system time are the fields 11 and 12, in units of 10 ms.
    const TICK_MS: u64 = 10;
    let mut ticks = 0;
    for task in std::fs::read_dir("/proc/self/task").into_iter().flatten() {
        let Ok(task) = task else {
            continue;
        };
        let text = std::fs::read_to_string(task.path().join("stat")).unwrap_or_default();
        let Some((head, tail)) = text.rsplit_once(") ") else {
            continue;
        };
        if head.ends_with(&format!("({name}")) {
            let fields = tail.split(' ').skip(11).take(2);
            ticks += fields
                .filter_map(|field| field.parse::<u64>().ok())
                .sum::<u64>();
        }
    }
    Duration::from_millis(ticks * TICK_MS)
}
