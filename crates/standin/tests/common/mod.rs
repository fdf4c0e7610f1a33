#![allow(dead_code, reason = "each test file uses a part")]

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Request};
use hyper_util::client::legacy::{Client, Error};
use hyper_util::rt::TokioExecutor;
use sesamedeal_standin::backend::TaskScript;
use sesamedeal_wire::header;
use tokio::time::{Instant, sleep};

/// A loopback address with any free port.
pub fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Status, headers and body of an answer.
#[derive(Debug)]
pub struct TestAnswer {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl TestAnswer {
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }
}

/// An HTTP call on a connection of its own.
pub async fn call(
    method: &str,
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> Result<TestAnswer, Error> {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let uri = format!("http://{address}{path}");
    let mut request = Request::builder().method(method).uri(uri);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(body.into())).unwrap();
    let response = client.request(request).await?;
    let (parts, body) = response.into_parts();
    // A body that ends early counts as empty, with status 0.
    let (status, body) = match body.collect().await {
        Ok(body) => (parts.status.as_u16(), body.to_bytes()),
        Err(_) => (0, Bytes::new()),
    };
    Ok(TestAnswer {
        status,
        headers: parts.headers,
        body,
    })
}

/// Runs a script on a backend server as pool `p` and team `t`.
pub async fn run(
    address: SocketAddr,
    attempt: &str,
    script: &TaskScript,
    headers: &[(&str, &str)],
) -> Result<TestAnswer, Error> {
    let mut all = vec![
        (header::REQUEST_ID, attempt),
        (header::ATTEMPT, attempt),
        (header::POOL, "p"),
        (header::TEAM, "t"),
    ];
    all.extend_from_slice(headers);
    let body = serde_json::to_vec(script).unwrap();
    call("POST", address, "/run", &all, body).await
}

/// A script that echoes a text and runs for some milliseconds.
pub fn script(echo: &str, run_ms: u64) -> TaskScript {
    TaskScript {
        echo: echo.to_owned(),
        run_ms,
        ..TaskScript::default()
    }
}

/// Waits until a condition holds, at most 10 s.
pub async fn until(condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < Duration::from_secs(10),
            "the condition does not come true"
        );
        sleep(Duration::from_millis(5)).await;
    }
}
