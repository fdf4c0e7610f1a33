use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use super::backend_state::{BackendState, StartRefusal};
use super::run_request::RunRequest;
use super::task_result::{TaskEnd, task_result};
use super::{BackendFaults, BackendMode, BackendSettings};
use crate::ServerHandle;
use crate::http_server::{Answer, AnswerBody, ConnectionLimit, json, plain, serve, with_json};
use crate::observer::FleetEvent;

/// Time between the answer to `POST /dev/kill` and its effect.
const KILL_DELAY: Duration = Duration::from_millis(50);

#[derive(Debug)]
struct BackendShared {
    settings: BackendSettings,
    state: Mutex<BackendState>,
    requests: AtomicU64,
    frozen: watch::Sender<bool>,
    killed: watch::Sender<bool>,
}

/// A backend server that runs scripted tasks. Clones are the same server.
#[derive(Debug, Clone)]
pub struct BackendStandin {
    shared: Arc<BackendShared>,
}

impl Default for BackendStandin {
    fn default() -> Self {
        Self::with_settings(BackendSettings::new("backend"))
    }
}

impl BackendStandin {
    /// Creates a backend server with 8 slots and without tasks.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a backend server without tasks.
    #[must_use]
    pub fn with_settings(settings: BackendSettings) -> Self {
        let shared = BackendShared {
            settings,
            state: Mutex::default(),
            requests: AtomicU64::new(0),
            frozen: watch::Sender::new(false),
            killed: watch::Sender::new(false),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Serves the backend server's interface on `address` until the handle is dropped.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn serve(&self, address: SocketAddr) -> std::io::Result<ServerHandle> {
        let backend = self.clone();
        let settings = &self.shared.settings;
        let (worker, limit) = (settings.name.clone(), settings.max_connections);
        let events = settings.events.clone();
        let on_change = move |opened| {
            let worker = worker.clone();
            events.send(if opened {
                FleetEvent::ConnectionOpened { worker, limit }
            } else {
                FleetEvent::ConnectionClosed { worker }
            });
        };
        let on_change = Arc::new(on_change);
        let limit = ConnectionLimit { limit, on_change };
        serve(address, limit, move |request| {
            backend.clone().answer(request)
        })
        .await
    }

    /// Switches faults.
    pub fn set_faults(&self, faults: BackendFaults) {
        let before = std::mem::replace(&mut self.shared.state.lock().faults, faults);
        self.shared.frozen.send_replace(faults.frozen);
        let worker = self.shared.settings.name.clone();
        match (before.mode, faults.mode) {
            (BackendMode::Active, BackendMode::Draining | BackendMode::Leaving) => {
                self.tell(FleetEvent::Leaving { worker });
            }
            (BackendMode::Draining | BackendMode::Leaving, BackendMode::Active) => {
                self.tell(FleetEvent::Returned { worker });
            }
            _ => {}
        }
    }

    /// Faults that are switched on.
    #[must_use]
    pub fn faults(&self) -> BackendFaults {
        self.shared.state.lock().faults
    }

    /// Slots in use.
    #[must_use]
    pub fn used_slots(&self) -> u32 {
        self.shared.state.lock().used_slots()
    }

    /// Ends all tasks without an answer, as the death of the process does. The server takes no
    /// work afterwards.
    pub fn kill(&self) {
        self.shared.killed.send_replace(true);
        let worker = self.shared.settings.name.clone();
        self.tell(FleetEvent::Killed { worker });
    }

    /// Waits until the server is killed.
    pub async fn killed(&self) {
        wait_for(&self.shared.killed, true).await;
    }

    async fn answer(self, request: Request<Incoming>) -> Answer {
        let (parts, body) = request.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        let path = parts.uri.path();
        match (&parts.method, path) {
            (&Method::POST, "/run") => {
                let number = self.shared.requests.fetch_add(1, Ordering::Relaxed);
                let request = RunRequest::new(&parts.headers, body, number);
                // The task goes on when its caller closes the connection.
                tokio::spawn(self.run(request)).await.ok().flatten()
            }
            (&Method::POST, "/dev/faults") => Some(with_json(&body, |faults| {
                self.set_faults(faults);
                faults
            })),
            (&Method::POST, "/dev/kill") => {
                // The answer is sent before the process dies.
                tokio::spawn(async move {
                    sleep(KILL_DELAY).await;
                    self.kill();
                });
                Some(plain(StatusCode::OK, Bytes::new()))
            }
            _ => {
                wait_for(&self.shared.frozen, false).await;
                Some(self.report(&parts.method, path))
            }
        }
    }

    fn report(&self, method: &Method, path: &str) -> Response<AnswerBody> {
        let mut state = self.shared.state.lock();
        if method == Method::GET && path == "/usage" {
            let lag = self.shared.settings.usage_lag;
            return json(&state.usage.report(lag, Instant::now()));
        }
        if method == Method::GET
            && let Some(attempt) = path.strip_prefix("/attempts/")
        {
            return plain(StatusCode::OK, state.attempt_state(attempt));
        }
        if method == Method::POST
            && let Some(attempt) = path.strip_prefix("/stop/")
        {
            let code = if state.stop(attempt) {
                StatusCode::OK
            } else {
                StatusCode::NOT_FOUND
            };
            return plain(code, state.attempt_state(attempt));
        }
        plain(StatusCode::NOT_FOUND, Bytes::new())
    }

    async fn run(self, request: RunRequest) -> Answer {
        wait_for(&self.shared.frozen, false).await;
        if *self.shared.killed.borrow() {
            return None;
        }
        let worker = self.shared.settings.name.clone();
        let faults = self.faults();
        if faults.mode == BackendMode::Draining {
            self.tell(FleetEvent::RefusedLeaving { worker });
            return Some(request.not_started("draining"));
        }
        if request.is_late() {
            return Some(request.not_started("not-started"));
        }
        let all_slots = self.shared.settings.slots;
        let slots = request.slots();
        let started = self
            .shared
            .state
            .lock()
            .start(&request.attempt, slots, all_slots);
        let stop = match started {
            Ok(stop) => stop,
            Err(StartRefusal::Full) => {
                self.tell(FleetEvent::RefusedFull { worker });
                return Some(request.not_started("not-started"));
            }
            Err(StartRefusal::KnownAttempt) => {
                return Some(request.failed(StatusCode::CONFLICT));
            }
        };
        self.tell(request.started_event(worker.clone(), all_slots));
        let began = Instant::now();
        let end = tokio::select! {
            () = self.work(&request, faults) => TaskEnd::Done,
            () = sleep(request.lease.unwrap_or(self.shared.settings.default_lease)) => TaskEnd::Stopped,
            () = stop.notified() => TaskEnd::Stopped,
            () = self.killed() => TaskEnd::Killed,
        };
        self.finish(&request, worker, began);
        if end == TaskEnd::Killed {
            return None;
        }
        wait_for(&self.shared.frozen, false).await;
        task_result(&mut self.shared.state.lock(), &request, end)
    }

    async fn work(&self, request: &RunRequest, faults: BackendFaults) {
        let run_ms = request.script.run_ms + faults.extra_ms;
        // Even a sleep of no length lasts about a millisecond, which would hide added latency.
        if !faults.fail_all && run_ms > 0 {
            sleep(Duration::from_millis(run_ms)).await;
        }
        wait_for(&self.shared.frozen, false).await;
    }

    /// Frees the slots after the observer was told, so that it never sees more than are in use.
    fn finish(&self, request: &RunRequest, worker: CompactString, began: Instant) {
        let attempt = request.attempt.clone();
        self.tell(FleetEvent::Ended { worker, attempt });
        let now = Instant::now();
        let mut state = self.shared.state.lock();
        state.end(&request.attempt);
        let (pool, team, slots) = (&request.pool, &request.team, request.slots());
        state.usage.add(pool, team, slots, now - began, now);
    }

    fn tell(&self, event: FleetEvent) {
        self.shared.settings.events.send(event);
    }
}

async fn wait_for(flag: &watch::Sender<bool>, value: bool) {
    if *flag.borrow() == value {
        return;
    }
    // The sender lives as long as the server, so that the wait ends only with the value.
    drop(flag.subscribe().wait_for(|current| *current == value).await);
}
