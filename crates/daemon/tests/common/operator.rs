//! Client of entry instances for operators and callers.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use sesamedeal_core::fleet::{FleetChange, FleetState};
use sesamedeal_core::ids::Generation;
use sesamedeal_wire::admin::{AppendReply, AppendRequest, InForceReply, StatusReply};
use sesamedeal_wire::header;

use super::cluster::team_key;

/// HTTP client of operators and callers.
#[derive(Debug, Clone)]
pub struct TestClient {
    http: Client<HttpConnector, Full<Bytes>>,
}

impl TestClient {
    pub fn new() -> Self {
        Self {
            http: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    pub async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Option<Response<Bytes>> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body.into())).expect("valid request");
        let response = self.http.request(request).await.ok()?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        Some(Response::from_parts(parts, body))
    }

    pub async fn get<T: serde::de::DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Option<T> {
        let response = self.call(Method::GET, address, path, &[], "").await?;
        serde_json::from_slice(response.body()).ok()
    }

    pub async fn status(&self, address: SocketAddr) -> Option<StatusReply> {
        self.get(address, "/status").await
    }

    pub async fn state(&self, address: SocketAddr) -> FleetState {
        self.get(address, "/admin/state").await.expect("state")
    }

    /// Appends changes; the reply, or the refusal's code.
    pub async fn append(
        &self,
        address: SocketAddr,
        expected: Generation,
        changes: Vec<FleetChange>,
    ) -> Result<AppendReply, String> {
        let request = AppendRequest {
            expected,
            author: "test".into(),
            changes,
        };
        let body = serde_json::to_vec(&request).expect("encoded");
        let path = "/admin/changes";
        let response = self.call(Method::POST, address, path, &[], body).await;
        let response = response.expect("answer");
        let code = response.headers()[header::CODE].to_str().expect("code");
        match code {
            "1000" => Ok(serde_json::from_slice(response.body()).expect("reply")),
            code => Err(code.to_owned()),
        }
    }

    /// Appends changes to the state that the entry instance knows, and again after conflicts
    /// with the controller.
    pub async fn change(&self, address: SocketAddr, changes: Vec<FleetChange>) -> Generation {
        for _ in 0..20 {
            let expected = self.state(address).await.generation;
            match self.append(address, expected, changes.clone()).await {
                Ok(AppendReply::Accepted { generation }) => return generation,
                Ok(AppendReply::Conflict { .. }) => {}
                Err(code) => panic!("change refused with code {code}"),
            }
        }
        panic!("conflicts without end");
    }

    pub async fn in_force(&self, address: SocketAddr, generation: Generation) -> bool {
        let path = format!("/admin/in-force/{generation}");
        let reply: Option<InForceReply> = self.get(address, &path).await;
        reply.is_some_and(|reply| reply.in_force)
    }

    /// Sends a job to a queue, with the key of team `clock` unless the queue is `swap`; its result
    /// code, or none without an answer.
    pub async fn job(
        &self,
        address: SocketAddr,
        queue: &str,
        body: &'static str,
    ) -> Option<String> {
        let path = format!("/v1/queues/{queue}/jobs");
        let key = team_key().header();
        let mut headers = vec![(header::DEADLINE_MS, "2000")];
        if queue != "swap" {
            headers.push(("authorization", &key));
        }
        let response = self.call(Method::POST, address, &path, &headers, body);
        let response = response.await?;
        let code = response.headers().get(header::CODE)?;
        Some(code.to_str().ok()?.to_owned())
    }
}
