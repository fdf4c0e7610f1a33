use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use hyper::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;

use crate::error::{ContentSnafu, Result};
use crate::http_call::{HttpClient, call, http_client};
use crate::protocol::{
    InstanceList, ReadReply, ReadRequest, ScanRequest, TableRow, WriteReply, WriteRequest,
};

/// Settings of the platform client.
#[derive(Debug, Clone)]
pub struct PlatformSettings {
    /// IP address and port of the platform's service.
    pub address: CompactString,
    /// Deadline of one call.
    pub call_deadline: Duration,
}

impl PlatformSettings {
    /// Creates settings with the default deadline of 1 s.
    #[must_use]
    pub fn new(address: impl AsRef<str>) -> Self {
        Self {
            address: address.as_ref().into(),
            call_deadline: Duration::from_secs(1),
        }
    }
}

/// Client of the platform's table service, object store and instance list.
#[derive(Debug, Clone)]
pub struct PlatformClient {
    settings: PlatformSettings,
    http: HttpClient,
}

impl PlatformClient {
    /// Creates a client. No connection is made before the first call.
    #[must_use]
    pub fn new(settings: PlatformSettings) -> Self {
        Self {
            settings,
            http: http_client(),
        }
    }

    /// Reads the rows with these keys; rows that do not exist are left out.
    ///
    /// # Errors
    ///
    /// Fails when the service does not answer within the deadline.
    pub async fn read(&self, keys: &[&str]) -> Result<Vec<TableRow>> {
        let request = ReadRequest {
            keys: keys.iter().map(|key| CompactString::from(*key)).collect(),
        };
        let reply: ReadReply = self.post("/v1/table/read", &request).await?;
        Ok(reply.rows)
    }

    /// Reads at most `limit` rows whose keys start with `prefix` and lie after `after`, in order.
    ///
    /// # Errors
    ///
    /// Fails when the service does not answer within the deadline.
    pub async fn scan(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> Result<Vec<TableRow>> {
        let request = ScanRequest {
            prefix: prefix.into(),
            after: after.map(CompactString::from),
            limit,
        };
        let reply: ReadReply = self.post("/v1/table/scan", &request).await?;
        Ok(reply.rows)
    }

    /// Writes rows if all conditions hold.
    ///
    /// # Errors
    ///
    /// After [`crate::PlatformError::NoAnswer`] the write may have taken effect.
    pub async fn write(&self, request: &WriteRequest) -> Result<WriteReply> {
        self.post("/v1/table/write", request).await
    }

    /// Reads the list of instances that are live or leaving.
    ///
    /// # Errors
    ///
    /// Fails when the service does not answer within the deadline.
    pub async fn instances(&self) -> Result<InstanceList> {
        self.send(Method::GET, "/v1/instances", Bytes::new()).await
    }

    async fn post<T: Serialize, R: DeserializeOwned>(&self, path: &str, request: &T) -> Result<R> {
        let body = serde_json::to_vec(request).context(ContentSnafu { what: path })?;
        self.send(Method::POST, path, body.into()).await
    }

    async fn send<R: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<R> {
        let uri = format!("http://{}{path}", self.settings.address);
        let deadline = self.settings.call_deadline;
        let answer = call(&self.http, method, uri, body, deadline).await?;
        serde_json::from_slice(&answer).context(ContentSnafu { what: path })
    }
}
