use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::header::HeaderMap;
use hyper::{Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use sesamedeal_core::scheduler::{AttemptOutcome, DispatchOrder};
use sesamedeal_wire::header;
use tokio::time::timeout;

use super::JobAnswer;

/// What is sent to a backend server.
#[derive(Debug, Clone)]
pub(crate) struct BackendRequest {
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// Client for calls to backend servers.
#[derive(Debug, Clone)]
pub(crate) struct BackendClient {
    http: Client<HttpConnector, Full<Bytes>>,
}

impl BackendClient {
    pub(crate) fn new() -> Self {
        Self {
            http: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Runs one attempt and returns its outcome, with the answer if there is a whole one.
    pub(crate) async fn run(
        &self,
        order: &DispatchOrder,
        request: &BackendRequest,
        wait: Duration,
    ) -> (AttemptOutcome, Option<JobAnswer>) {
        let uri = format!("http://{}/run", order.address);
        let mut outgoing = Request::new(Full::new(request.body.clone()));
        *outgoing.method_mut() = hyper::Method::POST;
        *outgoing.headers_mut() = request.headers.clone();
        let Ok(uri) = uri.parse() else {
            return (AttemptOutcome::NotStarted, None);
        };
        *outgoing.uri_mut() = uri;
        match timeout(wait, self.exchange(outgoing)).await {
            Ok(result) => result,
            Err(_) => (AttemptOutcome::Lost, None),
        }
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> (AttemptOutcome, Option<JobAnswer>) {
        let expected = request.headers().get(header::ATTEMPT).cloned();
        let response = match self.http.request(request).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => return (AttemptOutcome::NotStarted, None),
            Err(_) => return (AttemptOutcome::Lost, None),
        };
        if let Some(outcome) = proven_not_started(&response) {
            return (outcome, None);
        }
        if response.headers().get(header::ATTEMPT) != expected.as_ref() {
            return (AttemptOutcome::BadAnswer, None);
        }
        let status = response.status();
        match response.into_body().collect().await {
            Ok(body) if status.is_success() => {
                let body = body.to_bytes();
                (AttemptOutcome::Answered, Some(JobAnswer { status, body }))
            }
            Ok(body) => {
                let body = body.to_bytes();
                (AttemptOutcome::Failed, Some(JobAnswer { status, body }))
            }
            Err(_) => (AttemptOutcome::BadAnswer, None),
        }
    }
}

fn proven_not_started<B>(response: &Response<B>) -> Option<AttemptOutcome> {
    let state = response.headers().get(header::STATE)?;
    match state.as_bytes() {
        b"not-started" => Some(AttemptOutcome::NotStarted),
        b"draining" => Some(AttemptOutcome::Draining),
        _ => None,
    }
}
