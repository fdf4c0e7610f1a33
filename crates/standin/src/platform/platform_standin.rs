use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use parking_lot::Mutex;
use serde::Serialize;
use serde::de::DeserializeOwned;
use sesamedeal_platform::protocol::InstanceList;
use tokio::time::sleep;

use super::PlatformFaults;
use super::table_state::TableState;
use crate::ServerHandle;
use crate::http_server::{Answer, serve};

#[derive(Debug, Default)]
struct PlatformState {
    table: TableState,
    instances: InstanceList,
    faults: PlatformFaults,
}

/// The platform in memory.
#[derive(Debug, Clone, Default)]
pub struct PlatformStandin {
    state: Arc<Mutex<PlatformState>>,
}

impl PlatformStandin {
    /// Creates an empty platform.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Switches faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.state.lock().faults = faults;
    }

    /// Replaces the list of instances.
    pub fn set_instances(&self, list: InstanceList) {
        self.state.lock().instances = list;
    }

    /// Serves the platform's interface on `address` until the handle is dropped.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn serve(&self, address: SocketAddr) -> std::io::Result<ServerHandle> {
        let platform = self.clone();
        serve(address, move |request| platform.clone().answer(request)).await
    }

    async fn answer(self, request: Request<Incoming>) -> Answer {
        let (parts, body) = request.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        if parts.uri.path() == "/dev/faults" {
            return Some(self.change_faults(&body));
        }
        let faults = self.state.lock().faults;
        sleep(Duration::from_millis(faults.delay_ms)).await;
        if faults.down {
            return Some(status(StatusCode::SERVICE_UNAVAILABLE));
        }
        let reply = self.call(&parts.method, parts.uri.path(), &body);
        let is_write = parts.uri.path() == "/v1/table/write";
        if is_write && faults.lose_answers {
            return None;
        }
        Some(reply)
    }

    fn call(&self, method: &Method, path: &str, body: &Bytes) -> Response<Full<Bytes>> {
        let mut state = self.state.lock();
        match (method, path) {
            (&Method::POST, "/v1/table/read") => with_json(body, |call| state.table.read(&call)),
            (&Method::POST, "/v1/table/scan") => with_json(body, |call| state.table.scan(&call)),
            (&Method::POST, "/v1/table/write") => with_json(body, |call| state.table.write(call)),
            (&Method::GET, "/v1/instances") => json(&state.instances),
            _ => status(StatusCode::NOT_FOUND),
        }
    }

    fn change_faults(&self, body: &Bytes) -> Response<Full<Bytes>> {
        with_json(body, |faults: PlatformFaults| {
            self.set_faults(faults);
            faults
        })
    }
}

fn with_json<T: DeserializeOwned, R: Serialize>(
    body: &Bytes,
    handle: impl FnOnce(T) -> R,
) -> Response<Full<Bytes>> {
    match serde_json::from_slice(body) {
        Ok(call) => json(&handle(call)),
        Err(_) => status(StatusCode::BAD_REQUEST),
    }
}

fn json<T: Serialize>(value: &T) -> Response<Full<Bytes>> {
    match serde_json::to_vec(value) {
        Ok(encoded) => Response::new(Full::new(encoded.into())),
        Err(_) => status(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

fn status(code: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = code;
    response
}
