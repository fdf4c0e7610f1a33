//! Callers: one over raw TCP, so that every byte of a request and an answer is under control.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::PATIENCE;

/// An answer as it came over the connection.
#[derive(Debug, Clone, Default)]
pub struct RawAnswer {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    /// Whether the body is as long as the head says.
    pub complete: bool,
}

impl RawAnswer {
    /// Value of a header; empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        let prefix = format!("{name}: ");
        let found = self
            .head
            .lines()
            .find_map(|line| line.strip_prefix(&prefix));
        found.unwrap_or_default()
    }

    pub fn code(&self) -> &str {
        self.header("sesamedeal-code")
    }

    pub fn run_state(&self) -> &str {
        self.header("sesamedeal-run-state")
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Text of a request that submits a job.
pub fn job_request(queue: &str, headers: &[(&str, &str)], body: &str) -> String {
    let headers: String = headers
        .iter()
        .map(|(name, value)| format!("{name}: {value}\r\n"))
        .collect();
    let length = body.len();
    format!(
        "POST /v1/queues/{queue}/jobs HTTP/1.1\r\nhost: entry\r\n{headers}content-length: {length}\r\n\r\n{body}"
    )
}

/// Submits a job to the open queue.
pub async fn submit(address: SocketAddr, headers: &[(&str, &str)], body: &str) -> RawAnswer {
    exchange(address, &job_request("swap", headers, body)).await
}

/// Reads a page.
pub async fn get(address: SocketAddr, path: &str) -> RawAnswer {
    exchange(
        address,
        &format!("GET {path} HTTP/1.1\r\nhost: entry\r\n\r\n"),
    )
    .await
}

/// Value of a metric, zero if it is absent. `name` includes the labels.
pub async fn metric(address: SocketAddr, name: &str) -> u64 {
    let page = get(address, "/metrics").await.text();
    let prefix = format!("{name} ");
    let value = page.lines().find_map(|line| line.strip_prefix(&prefix));
    value.map_or(0, |value| value.parse().expect("whole number"))
}

/// Sends bytes on a new connection and reads one answer.
pub async fn exchange(address: SocketAddr, request: &str) -> RawAnswer {
    let mut stream = open(address, request).await;
    read_answer(&mut stream).await
}

/// Opens a connection and sends bytes.
pub async fn open(address: SocketAddr, request: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("connection");
    stream.write_all(request.as_bytes()).await.expect("write");
    stream
}

/// Reads one answer, until its body is complete or the connection ends.
pub async fn read_answer(stream: &mut TcpStream) -> RawAnswer {
    timeout(PATIENCE, read_whole(stream))
        .await
        .expect("answer in time")
}

async fn read_whole(stream: &mut TcpStream) -> RawAnswer {
    let mut bytes = Vec::new();
    let mut answer = RawAnswer::default();
    loop {
        if answer.head.is_empty()
            && let Some(end) = find(&bytes, b"\r\n\r\n")
        {
            answer.head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            answer.status = answer.head[9..12].parse().expect("status");
            bytes.drain(..end + 4);
        }
        if !answer.head.is_empty() {
            let length = answer.header("content-length").parse::<usize>();
            let is_chunked = answer.header("transfer-encoding") == "chunked";
            answer.complete = match length {
                Ok(length) => bytes.len() == length,
                Err(_) => is_chunked && bytes.ends_with(b"0\r\n\r\n"),
            };
        }
        if answer.complete {
            break;
        }
        let mut part = vec![0; 64 * 1024];
        match stream.read(&mut part).await {
            Ok(0) | Err(_) => break,
            Ok(length) => bytes.extend_from_slice(&part[..length]),
        }
    }
    answer.body = bytes;
    answer
}

/// Whether the other side closes the connection within the time.
pub async fn closes(stream: &mut TcpStream, within: Duration) -> bool {
    let mut part = [0; 1024];
    let read = async {
        while let Ok(length) = stream.read(&mut part).await {
            if length == 0 {
                break;
            }
        }
    };
    timeout(within, read).await.is_ok()
}

pub fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}
