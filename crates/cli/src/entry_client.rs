use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use sesamedeal_core::code::ResultCode;
use sesamedeal_wire::header;

use crate::error::{CliError, Result};

/// Client of one entry instance.
#[derive(Debug)]
pub(crate) struct EntryClient {
    address: SocketAddr,
    http: Client<HttpConnector, Full<Bytes>>,
}

impl EntryClient {
    /// Creates a client. No connection is made before the first request.
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            http: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Starts a request to a path of the entry instance.
    pub(crate) fn request(&self, path: &str) -> hyper::http::request::Builder {
        Request::builder().uri(format!("http://{}{path}", self.address))
    }

    /// Sends a request and returns the whole answer.
    pub(crate) async fn send(&self, request: Request<Full<Bytes>>) -> Result<Response<Bytes>> {
        let address = self.address;
        let response = self.http.request(request).await;
        let response = response.map_err(|error| CliError::NoAnswer {
            address,
            reason: error.to_string(),
        })?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await.map_err(|error| CliError::NoAnswer {
            address,
            reason: error.to_string(),
        })?;
        Ok(Response::from_parts(parts, body.to_bytes()))
    }

    /// Returns the body of a successful answer, or the refusal as an error.
    pub(crate) fn accepted(&self, response: Response<Bytes>) -> Result<Bytes> {
        match result_code(&response) {
            Some(ResultCode::Ok) => Ok(response.into_body()),
            Some(code) => Err(CliError::Refused {
                code,
                text: refusal_text(code, &response),
            }),
            None => Err(CliError::UnexpectedAnswer {
                address: self.address,
                reason: format!("status {} without a result code", response.status()),
            }),
        }
    }
}

fn result_code(response: &Response<Bytes>) -> Option<ResultCode> {
    let text = response.headers().get(header::CODE)?.to_str().ok()?;
    ResultCode::from_number(text.parse().ok()?)
}

/// What an entry instance says beyond the result code.
fn refusal_text(code: ResultCode, response: &Response<Bytes>) -> String {
    let body = String::from_utf8_lossy(response.body());
    let name = code.to_string();
    let text = body.trim().strip_prefix(&name).unwrap_or(body.trim());
    let mut parts = vec![text.trim_start_matches(": ").to_owned()];
    let again = response.headers().get(header::RETRY_AFTER);
    if let Some(seconds) = again.and_then(|value| value.to_str().ok()) {
        parts.push(format!("come back in {seconds} s"));
    }
    parts.retain(|part| !part.is_empty());
    parts.join("; ")
}
