use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio::time::timeout;

use crate::error::{NoAnswerSnafu, PlatformError, Result, StatusSnafu, UnreachableSnafu};

pub(crate) type HttpClient = Client<HttpConnector, Full<Bytes>>;

pub(crate) fn http_client() -> HttpClient {
    Client::builder(TokioExecutor::new()).build_http()
}

/// Sends one request and returns the whole body of a successful answer.
pub(crate) async fn call(
    client: &HttpClient,
    method: Method,
    uri: String,
    body: Bytes,
    deadline: Duration,
) -> Result<Bytes> {
    let request = Request::builder()
        .method(method)
        .uri(uri)
        .body(Full::new(body))
        .map_err(|error| PlatformError::Unreachable {
            reason: error.to_string(),
        })?;
    let exchange = async {
        let response = client.request(request).await.map_err(|error| {
            let reason = error.to_string();
            if error.is_connect() {
                PlatformError::Unreachable { reason }
            } else {
                PlatformError::NoAnswer { reason }
            }
        })?;
        let status = response.status();
        let body = response.into_body().collect().await;
        let body = body.map_err(|error| PlatformError::NoAnswer {
            reason: error.to_string(),
        })?;
        match status.as_u16() {
            200 => Ok(body.to_bytes()),
            503 => UnreachableSnafu {
                reason: "the service is unavailable",
            }
            .fail(),
            status => StatusSnafu { status }.fail(),
        }
    };
    match timeout(deadline, exchange).await {
        Ok(result) => result,
        Err(_) => NoAnswerSnafu {
            reason: format!("deadline of {} ms passed", deadline.as_millis()),
        }
        .fail(),
    }
}
