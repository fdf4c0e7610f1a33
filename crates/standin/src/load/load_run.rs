use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::header::AUTHORIZATION;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use parking_lot::Mutex;
use sesamedeal_wire::header;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until, timeout};

use super::{AnswerVerdict, LoadMode, LoadReport, LoadSettings, check_answer};
use crate::backend::TaskScript;
use crate::loopback::check_loopback;

/// Shortest pause of a caller after a lost answer, so that a dead server is not flooded.
const LOST_PAUSE: Duration = Duration::from_millis(50);

type LoadClient = Client<HttpConnector, Full<Bytes>>;

#[derive(Debug)]
struct LoadRun {
    settings: LoadSettings,
    start: Instant,
    sent: AtomicU64,
    report: Mutex<LoadReport>,
}

/// Sends load until its bounds are reached and all answers are in.
///
/// # Errors
///
/// Fails without sending anything when a target is not on loopback, or there is none.
pub async fn run_load(settings: LoadSettings) -> std::io::Result<LoadReport> {
    for target in &settings.targets {
        check_loopback(*target)?;
    }
    if settings.targets.is_empty() || settings.queues.is_empty() {
        return Err(std::io::Error::other("load needs a target and a queue"));
    }
    let mode = settings.mode;
    let run = Arc::new(LoadRun {
        settings,
        start: Instant::now(),
        sent: AtomicU64::new(0),
        report: Mutex::default(),
    });
    match mode {
        LoadMode::Closed { callers } => run_closed(&run, callers).await,
        LoadMode::Open {
            shape,
            max_in_flight,
        } => {
            let settings = &run.settings;
            let (duration, most) = (settings.duration, settings.max_requests);
            let arrivals = shape.schedule(duration, most, settings.seed);
            let client = new_client();
            let mut tasks = JoinSet::new();
            for arrival in arrivals {
                let at = run.start + arrival.at;
                sleep_until(at).await;
                while tasks.try_join_next().is_some() {}
                if tasks.len() >= max_in_flight {
                    run.report.lock().skipped += 1;
                    continue;
                }
                let number = run.sent.fetch_add(1, Ordering::Relaxed);
                let (run, client) = (Arc::clone(&run), client.clone());
                tasks.spawn(async move { run.send(&client, number, arrival.queue, at).await });
            }
            tasks.join_all().await;
        }
    }
    let mut report = run.report.lock().clone();
    report.sent = run.sent.load(Ordering::Relaxed);
    report.elapsed = run.start.elapsed();
    Ok(report)
}

async fn run_closed(run: &Arc<LoadRun>, callers: usize) {
    let mut tasks = JoinSet::new();
    for caller in 0..callers {
        let run = Arc::clone(run);
        tasks.spawn(async move {
            // A client of its own gives each caller its own connection.
            let client = new_client();
            while let Some(number) = run.next_request() {
                let pause = run.send(&client, number, caller, Instant::now()).await;
                if let Some(pause) = pause {
                    let end = run.start + run.settings.duration;
                    sleep_until(end.min(Instant::now() + pause)).await;
                }
            }
        });
    }
    tasks.join_all().await;
}

fn new_client() -> LoadClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .build(connector)
}

impl LoadRun {
    fn next_request(&self) -> Option<u64> {
        if self.start.elapsed() >= self.settings.duration {
            return None;
        }
        let most = self.settings.max_requests;
        let taken = self
            .sent
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |sent| {
                (sent < most).then_some(sent + 1)
            });
        taken.ok()
    }

    /// Sends one request and counts its answer. Returns the time that the caller should wait.
    async fn send(
        &self,
        client: &LoadClient,
        number: u64,
        caller: usize,
        begin: Instant,
    ) -> Option<Duration> {
        let settings = &self.settings;
        let id = format_compact!("load-{}-{number}", settings.seed);
        let target = settings.targets[caller % settings.targets.len()];
        let queue = &settings.queues[caller % settings.queues.len()];
        let request = self.request(target, queue, &id);
        let answer = timeout(settings.timeout, self.exchange(client, request, &id)).await;
        let (verdict, pause) = answer.unwrap_or((AnswerVerdict::Lost, None));
        self.report.lock().count(verdict, begin.elapsed());
        match verdict {
            AnswerVerdict::Lost => Some(LOST_PAUSE),
            _ => pause.filter(|_| settings.heed_retry_after),
        }
    }

    fn request(
        &self,
        target: SocketAddr,
        queue: &str,
        id: &CompactString,
    ) -> hyper::http::Result<Request<Full<Bytes>>> {
        let settings = &self.settings;
        let mut script = TaskScript {
            echo: id.to_string(),
            ..settings.script.clone()
        };
        let uri = format!("http://{target}/v1/queues/{queue}/jobs");
        let mut request = Request::post(uri).header(header::REQUEST_ID, id.as_str());
        if settings.idempotent {
            request = request.header(header::IDEMPOTENT, "1");
        } else {
            request = request.header(header::IDEMPOTENCY_KEY, id.as_str());
            script.once = id.to_string();
        }
        if let Some(authorization) = &settings.authorization {
            request = request.header(AUTHORIZATION, authorization.as_str());
        }
        for (name, value) in &settings.headers {
            request = request.header(name.as_str(), value.as_str());
        }
        let body = serde_json::to_vec(&script).unwrap_or_default();
        request.body(Full::new(body.into()))
    }

    async fn exchange(
        &self,
        client: &LoadClient,
        request: hyper::http::Result<Request<Full<Bytes>>>,
        id: &str,
    ) -> (AnswerVerdict, Option<Duration>) {
        let lost = (AnswerVerdict::Lost, None);
        let Ok(request) = request else {
            return lost;
        };
        let Ok(response) = client.request(request).await else {
            return lost;
        };
        let (parts, body) = response.into_parts();
        let Ok(body) = body.collect().await else {
            return lost;
        };
        let script = &self.settings.script;
        let mut expected = id.as_bytes().to_vec();
        expected.resize(script.answer_bytes.max(expected.len()), b'.');
        let verdict = check_answer(
            parts.status,
            &parts.headers,
            &body.to_bytes(),
            id,
            &expected,
            self.settings.expect_codes,
        );
        let pause = parts.headers.get(header::RETRY_AFTER);
        let pause = pause.and_then(|value| value.to_str().ok()?.parse().ok());
        (verdict, pause.map(Duration::from_secs))
    }
}
