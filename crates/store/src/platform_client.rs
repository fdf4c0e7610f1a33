use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use futures::FutureExt;
use hyper::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;
use sesamedeal_core::ids::{InstanceName, OperationId};
use snafu::ResultExt;
use tokio::time::{Instant, timeout};

use crate::error::{ContentSnafu, NoAnswerSnafu, PlatformError, Result, StatusSnafu};
use crate::protocol::{
    InstanceList, ObjectList, ReadReply, ReadRequest, ScanRequest, TableRow, WriteReply,
    WriteRequest,
};
use crate::read_coalescer::ReadCoalescer;
use crate::service_caller::ServiceCaller;
use crate::table_writer::TableWriter;
use crate::transport::{CallTransport, PlatformCall, PlatformReply};
use crate::{CallKind, PlatformCounters, PlatformSettings, WithdrawOutcome};

/// Client of the platform's table service, object store and instance list.
///
/// Clones share connections, the retry budget, the circuit breakers and the counters.
#[derive(Debug, Clone)]
pub struct PlatformClient {
    call_deadline: Duration,
    object_deadline: Duration,
    caller: Arc<ServiceCaller>,
    writer: Arc<TableWriter>,
    reads: ReadCoalescer,
}

impl PlatformClient {
    /// Creates a client. No connection is made before the first call.
    #[must_use]
    pub fn new(settings: PlatformSettings) -> Self {
        let transport = CallTransport::with_http(&settings.address);
        Self::with_transport(&settings, transport)
    }

    /// Creates a client whose calls go through `transport`.
    #[must_use]
    pub fn with_transport(settings: &PlatformSettings, transport: CallTransport) -> Self {
        let caller = Arc::new(ServiceCaller::new(settings, transport));
        Self {
            call_deadline: settings.call_deadline,
            object_deadline: settings.object_deadline,
            writer: Arc::new(TableWriter::new(Arc::clone(&caller))),
            caller,
            reads: ReadCoalescer::default(),
        }
    }

    /// The same client with another deadline for calls of the table service and the list.
    #[must_use]
    pub fn with_deadline(&self, call_deadline: Duration) -> Self {
        Self {
            call_deadline,
            ..self.clone()
        }
    }

    /// What the client has done so far.
    #[must_use]
    pub fn counters(&self) -> PlatformCounters {
        self.caller.counters()
    }

    /// Reads the rows with these keys; rows that do not exist are left out.
    ///
    /// Concurrent reads of the same keys share a request. The answer is never older than the call.
    ///
    /// # Errors
    ///
    /// Fails when the service does not answer within the deadline.
    pub async fn read(&self, keys: &[&str]) -> Result<Vec<TableRow>> {
        let keys: Vec<CompactString> = keys.iter().map(|key| CompactString::from(*key)).collect();
        let (caller, deadline) = (Arc::clone(&self.caller), self.call_deadline);
        let read = self.reads.read(keys, move |keys| {
            async move {
                let kind = CallKind::Read;
                let path = "/v1/table/read";
                let call = post(path, &ReadRequest { keys })?;
                let reply = caller.call(kind, call, Instant::now() + deadline).await?;
                decode::<ReadReply>(path, &reply).map(|reply| reply.rows)
            }
            .boxed()
        });
        let Ok((joined, result)) = timeout(deadline, read).await else {
            return NoAnswerSnafu {
                reason: "the deadline passed",
            }
            .fail();
        };
        if joined {
            self.caller.count(|counters| counters.coalesced_reads += 1);
        }
        result
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
        let path = "/v1/table/scan";
        let reply = self.send(CallKind::Scan, post(path, &request)?).await?;
        decode::<ReadReply>(path, &reply).map(|reply| reply.rows)
    }

    /// Writes rows if all conditions hold.
    ///
    /// `Committed` and `Conflict` are final: after `Conflict`, the write has not taken effect and
    /// no delayed copy of it will. Use a new operation id for each write.
    ///
    /// # Errors
    ///
    /// After [`PlatformError::NoAnswer`] the write may have taken effect or may still do so. Call
    /// again with the same request to find out, or [`Self::withdraw`] it. After any other error
    /// the write has not taken effect.
    pub async fn write(&self, request: &WriteRequest) -> Result<WriteReply> {
        self.writer
            .write(request, Instant::now() + self.call_deadline)
            .await
    }

    /// Makes sure that a write whose outcome is unknown either has taken effect or never will.
    ///
    /// # Errors
    ///
    /// Fails when this cannot be found out within the deadline; it can be called again.
    pub async fn withdraw(&self, operation: OperationId) -> Result<WithdrawOutcome> {
        self.writer
            .withdraw(operation, Instant::now() + self.call_deadline)
            .await
    }

    /// Reads the list of instances that are live or leaving.
    ///
    /// # Errors
    ///
    /// Fails when the service does not answer within the deadline.
    pub async fn instances(&self) -> Result<InstanceList> {
        let path = "/v1/instances";
        let call = request(Method::GET, path.to_owned(), Bytes::new());
        decode(path, &self.send(CallKind::InstanceList, call).await?)
    }

    /// Asks the platform to reboot an instance. The boot number in the list shows when it is done.
    ///
    /// # Errors
    ///
    /// After [`PlatformError::NoAnswer`] the reboot may be under way. It is not asked for again,
    /// since a second request could reboot the instance twice.
    pub async fn reboot(&self, name: &InstanceName) -> Result<()> {
        let path = format!("/v1/instances/{name}/reboot");
        let call = request(Method::POST, path, Bytes::new());
        let deadline = Instant::now() + self.call_deadline;
        self.caller.begin();
        let reply = self.caller.attempt(CallKind::Reboot, call, deadline).await;
        found(reply.map_err(|failure| failure.error)?).map(drop)
    }

    /// Reads an object; none if it does not exist.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer within the object deadline.
    pub async fn get_object(&self, key: &str) -> Result<Option<Bytes>> {
        let reply = self.object(CallKind::ObjectGet, Method::GET, key, Bytes::new());
        let reply = reply.await?;
        Ok((reply.status == 200).then_some(reply.body))
    }

    /// Writes an object. Objects are written once per key, so that repetitions are harmless.
    ///
    /// # Errors
    ///
    /// Fails when the store does not confirm the write within the object deadline.
    pub async fn put_object(&self, key: &str, content: Bytes) -> Result<()> {
        let reply = self.object(CallKind::ObjectPut, Method::PUT, key, content);
        found(reply.await?).map(drop)
    }

    /// Removes an object if it exists.
    ///
    /// # Errors
    ///
    /// Fails when the store does not confirm the removal within the object deadline.
    pub async fn delete_object(&self, key: &str) -> Result<()> {
        let reply = self.object(CallKind::ObjectDelete, Method::DELETE, key, Bytes::new());
        reply.await.map(drop)
    }

    /// Keys of the objects that start with `prefix`, in order.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer within the object deadline.
    pub async fn list_objects(&self, prefix: &str) -> Result<Vec<CompactString>> {
        let path = format!("/v1/objects?prefix={prefix}");
        let call = request(Method::GET, path, Bytes::new());
        let deadline = Instant::now() + self.object_deadline;
        let reply = self.caller.call(CallKind::ObjectList, call, deadline);
        decode::<ObjectList>("object list", &reply.await?).map(|list| list.keys)
    }

    async fn object(
        &self,
        kind: CallKind,
        method: Method,
        key: &str,
        body: Bytes,
    ) -> Result<PlatformReply> {
        let call = request(method, format!("/v1/objects/{key}"), body);
        let deadline = Instant::now() + self.object_deadline;
        self.caller.call(kind, call, deadline).await
    }

    async fn send(&self, kind: CallKind, call: PlatformCall) -> Result<PlatformReply> {
        let deadline = Instant::now() + self.call_deadline;
        self.caller.call(kind, call, deadline).await
    }
}

fn request(method: Method, path: String, body: Bytes) -> PlatformCall {
    PlatformCall::new(method, path, body)
}

/// Encodes a POST request.
pub(crate) fn post<T: Serialize>(path: &str, content: &T) -> Result<PlatformCall> {
    let body = serde_json::to_vec(content).context(ContentSnafu { what: path })?;
    Ok(request(Method::POST, path.to_owned(), body.into()))
}

/// Decodes the body of a successful answer.
pub(crate) fn decode<T: DeserializeOwned>(what: &str, reply: &PlatformReply) -> Result<T> {
    if reply.status != 200 {
        let status = reply.status;
        return StatusSnafu { status }.fail();
    }
    serde_json::from_slice(&reply.body).context(ContentSnafu { what })
}

fn found(reply: PlatformReply) -> Result<PlatformReply> {
    match reply.status {
        200 => Ok(reply),
        status => Err(PlatformError::Status { status }),
    }
}
