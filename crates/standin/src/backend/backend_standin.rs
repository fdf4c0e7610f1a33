use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Method, Request, Response, StatusCode};
use sesamedeal_wire::header;
use tokio::time::sleep;

use super::TaskScript;
use crate::ServerHandle;
use crate::http_server::{Answer, serve};

/// A backend server that runs scripted tasks.
#[derive(Debug, Clone, Default)]
pub struct BackendStandin {}

impl BackendStandin {
    /// Creates a backend server without tasks.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Serves the backend server's interface on `address` until the handle is dropped.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn serve(&self, address: SocketAddr) -> std::io::Result<ServerHandle> {
        let backend = self.clone();
        serve(address, move |request| backend.clone().answer(request)).await
    }

    async fn answer(self, request: Request<Incoming>) -> Answer {
        let (parts, body) = request.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        if parts.method != Method::POST || parts.uri.path() != "/run" {
            return Some(plain(StatusCode::NOT_FOUND, Bytes::new()));
        }
        let script: TaskScript = serde_json::from_slice(&body).unwrap_or_default();
        sleep(Duration::from_millis(script.run_ms)).await;
        let mut response = if script.fail {
            plain(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
        } else {
            plain(StatusCode::OK, task_answer(&script, body))
        };
        for name in [header::REQUEST_ID, header::ATTEMPT] {
            let value = parts.headers.get(name).cloned();
            let value = value.unwrap_or_else(|| HeaderValue::from_static(""));
            response.headers_mut().insert(name, value);
        }
        Some(response)
    }
}

/// The script's text padded to its size; the job's body when there is no script.
fn task_answer(script: &TaskScript, body: Bytes) -> Bytes {
    if *script == TaskScript::default() {
        return body;
    }
    let mut answer = script.echo.clone().into_bytes();
    answer.resize(script.answer_bytes.max(answer.len()), b'.');
    answer.into()
}

fn plain(code: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = code;
    response
}
