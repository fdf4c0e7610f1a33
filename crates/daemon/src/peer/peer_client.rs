use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{HeaderMap, Method, Request};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use sesamedeal_core::control::HealthReport;
use sesamedeal_core::exchange::MESSAGE_VERSION;
use sesamedeal_wire::codec::{FieldNames, MAX_MESSAGE_BYTES, decode_versioned, encode_versioned};
use sesamedeal_wire::message_size::{request_size, response_size};
use sesamedeal_wire::peer::{MAX_STATE_BYTES, PeerMessage, PeerState};
use snafu::ResultExt;
use tokio::time::timeout;

use super::PeerTraffic;
use crate::error::{DaemonError, PeerCallSnafu, PeerMessageSnafu, Result};

/// Deadline for fetching the whole state, which can have 16 MB.
const STATE_DEADLINE: Duration = Duration::from_secs(5);

/// Client for calls to other entry instances.
#[derive(Debug, Clone)]
pub(crate) struct PeerClient {
    http: Client<HttpConnector, Full<Bytes>>,
    deadline: Duration,
    traffic: PeerTraffic,
}

impl PeerClient {
    pub(crate) fn new(deadline: Duration, traffic: PeerTraffic) -> Self {
        Self {
            http: Client::builder(TokioExecutor::new()).build_http(),
            deadline,
            traffic,
        }
    }

    /// Sends a message and returns the peer's.
    pub(crate) async fn exchange(
        &self,
        address: &str,
        message: &PeerMessage,
    ) -> Result<PeerMessage> {
        let names = FieldNames::Omitted;
        let body = encode_versioned(message, names, MESSAGE_VERSION, MAX_MESSAGE_BYTES);
        let body = body.context(PeerMessageSnafu { address })?;
        let call = self.call(
            Method::POST,
            address,
            "/peer/exchange",
            body,
            MAX_MESSAGE_BYTES,
        );
        let answer = within(self.deadline, address, call).await?;
        let answer = decode_versioned(&answer, MESSAGE_VERSION, MAX_MESSAGE_BYTES);
        answer.context(PeerMessageSnafu { address })
    }

    /// Reports workers to the peer that holds the controller's lease.
    pub(crate) async fn report_health(
        &self,
        address: &str,
        reports: &[HealthReport],
    ) -> Result<()> {
        let names = FieldNames::Omitted;
        let body = encode_versioned(&reports, names, MESSAGE_VERSION, MAX_MESSAGE_BYTES);
        let body = body.context(PeerMessageSnafu { address })?;
        let path = "/peer/health";
        let call = self.call(Method::POST, address, path, body, MAX_MESSAGE_BYTES);
        within(self.deadline, address, call).await.map(drop)
    }

    /// Fetches the state that a peer acts under.
    pub(crate) async fn state(&self, address: &str) -> Result<PeerState> {
        let path = "/peer/state";
        let call = self.call(Method::GET, address, path, Bytes::new(), MAX_STATE_BYTES);
        let answer = within(STATE_DEADLINE, address, call).await?;
        let answer = decode_versioned(&answer, MESSAGE_VERSION, MAX_STATE_BYTES);
        answer.context(PeerMessageSnafu { address })
    }

    async fn call(
        &self,
        method: Method,
        address: &str,
        path: &str,
        body: Bytes,
        limit: usize,
    ) -> Result<Bytes> {
        let sent = request_size(&method, path, address, &HeaderMap::new(), body.len());
        self.traffic.note_sent(sent);
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .body(Full::new(body))
            .map_err(|error| failure(address, &error))?;
        let response = self.http.request(request).await;
        let response = response.map_err(|error| failure(address, &error))?;
        let (parts, body) = response.into_parts();
        let status = parts.status;
        let body = Limited::new(body, limit).collect().await;
        let body = body.map_err(|error| DaemonError::PeerCall {
            address: address.to_owned(),
            reason: error.to_string(),
        })?;
        let body = body.to_bytes();
        let received = response_size(status, &parts.headers, body.len());
        self.traffic.note_received(received);
        if !status.is_success() {
            let reason = format!("status {status}");
            return PeerCallSnafu { address, reason }.fail();
        }
        Ok(body)
    }
}

async fn within(
    deadline: Duration,
    address: &str,
    call: impl Future<Output = Result<Bytes>>,
) -> Result<Bytes> {
    let Ok(result) = timeout(deadline, call).await else {
        let reason = format!("no answer within {} ms", deadline.as_millis());
        return PeerCallSnafu { address, reason }.fail();
    };
    result
}

fn failure(address: &str, error: &dyn std::error::Error) -> DaemonError {
    DaemonError::PeerCall {
        address: address.to_owned(),
        reason: error.to_string(),
    }
}
