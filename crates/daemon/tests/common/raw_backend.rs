//! A backend server over raw TCP that can break every rule of the protocol.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

use super::caller::find;

/// A request as the backend server received it.
#[derive(Debug, Clone)]
pub struct RawRequest {
    pub head: String,
    pub body: Vec<u8>,
}

impl RawRequest {
    pub fn header(&self, name: &str) -> &str {
        let prefix = format!("{name}: ");
        let found = self
            .head
            .lines()
            .find_map(|line| line.strip_prefix(&prefix));
        found.unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.head.split(' ').nth(1).unwrap_or_default()
    }

    pub fn attempt(&self) -> &str {
        self.header("sesamedeal-attempt")
    }

    /// Head of a correct answer with a body of `length` bytes.
    pub fn answer_head(&self, status: &str, length: usize) -> String {
        let request = self.header("sesamedeal-request-id");
        let attempt = self.attempt();
        format!(
            "HTTP/1.1 {status}\r\nsesamedeal-request-id: {request}\r\nsesamedeal-attempt: {attempt}\r\ncontent-length: {length}\r\n"
        )
    }

    /// A correct answer.
    pub fn answer(&self, status: &str, body: &str) -> Vec<u8> {
        let head = self.answer_head(status, body.len());
        format!("{head}\r\n{body}").into_bytes()
    }
}

/// How the backend server reacts to a request to run.
#[derive(Debug, Clone)]
pub enum Reaction {
    /// Sends bytes and keeps the connection.
    Send(Vec<u8>),
    /// Sends bytes and closes the connection.
    SendAndClose(Vec<u8>),
    /// Sends the first bytes, then the block as often as given, then the last bytes.
    Repeat(Vec<u8>, Vec<u8>, usize),
    /// Runs until the attempt is released, then answers, or until it is stopped.
    Hold,
}

type Script = dyn Fn(&RawRequest) -> Reaction + Send + Sync;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeldState {
    Running,
    Ended,
    Stopped,
}

#[derive(Debug, Default)]
struct BackendLog {
    runs: Vec<RawRequest>,
    stops: Vec<String>,
    attempts: HashMap<String, watch::Sender<HeldState>>,
    connections: usize,
    closed: usize,
    /// Most connections that were open at once.
    peak: usize,
}

/// A running backend server; it stops when it is dropped.
#[derive(Debug)]
pub struct RawBackend {
    pub address: SocketAddr,
    log: Arc<Mutex<BackendLog>>,
    task: JoinHandle<()>,
}

impl RawBackend {
    pub async fn start(script: impl Fn(&RawRequest) -> Reaction + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
        let address = listener.local_addr().expect("address");
        let log = Arc::new(Mutex::new(BackendLog::default()));
        let script: Arc<Script> = Arc::new(script);
        let shared = Arc::clone(&log);
        let task = tokio::spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                let mut log = shared.lock();
                log.connections += 1;
                log.peak = log.peak.max(log.connections - log.closed);
                drop(log);
                connections.spawn(serve(stream, Arc::clone(&shared), Arc::clone(&script)));
            }
        });
        Self { address, log, task }
    }

    /// Requests to run, in order of receipt.
    pub fn runs(&self) -> Vec<RawRequest> {
        self.log.lock().runs.clone()
    }

    /// Attempts that were asked to stop.
    pub fn stops(&self) -> Vec<String> {
        self.log.lock().stops.clone()
    }

    /// Connections accepted so far.
    pub fn connections(&self) -> usize {
        self.log.lock().connections
    }

    /// Connections closed so far, by either side.
    pub fn closed(&self) -> usize {
        self.log.lock().closed
    }

    /// Most connections open at once so far.
    pub fn peak(&self) -> usize {
        self.log.lock().peak
    }

    /// Lets all held attempts end with an answer.
    pub fn release(&self) {
        for attempt in self.log.lock().attempts.values() {
            attempt.send_replace(HeldState::Ended);
        }
    }

    /// Attempts that are held.
    pub fn held(&self) -> usize {
        let log = self.log.lock();
        let running = log.attempts.values();
        running
            .filter(|attempt| *attempt.borrow() == HeldState::Running)
            .count()
    }
}

impl Drop for RawBackend {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve(mut stream: TcpStream, log: Arc<Mutex<BackendLog>>, script: Arc<Script>) {
    let mut buffer = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut buffer).await {
        let path = request.path().to_owned();
        let reaction = if let Some(attempt) = path.strip_prefix("/stop/") {
            log.lock().stops.push(attempt.to_owned());
            Reaction::Send(status_answer(&log, attempt, true))
        } else if let Some(attempt) = path.strip_prefix("/attempts/") {
            Reaction::Send(status_answer(&log, attempt, false))
        } else {
            log.lock().runs.push(request.clone());
            script(&request)
        };
        if !react(&mut stream, reaction, &request, &log).await {
            break;
        }
    }
    drop(stream);
    log.lock().closed += 1;
}

async fn react(
    stream: &mut TcpStream,
    reaction: Reaction,
    request: &RawRequest,
    log: &Arc<Mutex<BackendLog>>,
) -> bool {
    match reaction {
        Reaction::Send(bytes) => stream.write_all(&bytes).await.is_ok(),
        Reaction::SendAndClose(bytes) => {
            // A peer that has gone cannot take the rest.
            drop(stream.write_all(&bytes).await);
            false
        }
        Reaction::Repeat(first, block, times) => {
            let mut is_open = stream.write_all(&first).await.is_ok();
            for _ in 0..times {
                is_open = is_open && stream.write_all(&block).await.is_ok();
            }
            is_open
        }
        Reaction::Hold => {
            let (sender, mut held) = watch::channel(HeldState::Running);
            let attempt = request.attempt().to_owned();
            log.lock().attempts.insert(attempt, sender);
            // The sender stays in the log.
            drop(held.wait_for(|state| *state != HeldState::Running).await);
            let answer = if *held.borrow() == HeldState::Stopped {
                let head = request.answer_head("500 Internal Server Error", 0);
                format!("{head}sesamedeal-state: stopped\r\n\r\n").into_bytes()
            } else {
                request.answer("200 OK", "held")
            };
            stream.write_all(&answer).await.is_ok()
        }
    }
}

fn status_answer(log: &Arc<Mutex<BackendLog>>, attempt: &str, is_stop: bool) -> Vec<u8> {
    let log = log.lock();
    let text = match log.attempts.get(attempt) {
        Some(held) if is_stop => {
            held.send_if_modified(|state| {
                let was_running = *state == HeldState::Running;
                if was_running {
                    *state = HeldState::Stopped;
                }
                was_running
            });
            "ended"
        }
        Some(held) if *held.borrow() == HeldState::Running => "running",
        Some(_) => "ended",
        None if log.runs.iter().any(|run| run.attempt() == attempt) => "ended",
        None => "unknown",
    };
    let length = text.len();
    format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{text}").into_bytes()
}

async fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<RawRequest> {
    loop {
        if let Some(end) = find(buffer, b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let mut request = RawRequest {
                head,
                body: Vec::new(),
            };
            let length: usize = request.header("content-length").parse().unwrap_or_default();
            if buffer.len() >= end + 4 + length {
                request.body = buffer[end + 4..end + 4 + length].to_vec();
                buffer.drain(..end + 4 + length);
                return Some(request);
            }
        }
        let mut part = vec![0; 64 * 1024];
        match stream.read(&mut part).await {
            Ok(0) | Err(_) => return None,
            Ok(length) => buffer.extend_from_slice(&part[..length]),
        }
    }
}

/// A backend server that answers every job but those with the body `hold`.
pub async fn hold_backend() -> RawBackend {
    RawBackend::start(|request| {
        if request.body == b"hold" {
            Reaction::Hold
        } else {
            Reaction::Send(request.answer("200 OK", "done"))
        }
    })
    .await
}
