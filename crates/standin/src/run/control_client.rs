use std::io::{Error, Result};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use sesamedeal_core::ids::InstanceName;
use sesamedeal_store::protocol::PlatformInstance;
use tokio::time::timeout;

use crate::loopback::check_loopback;
use crate::observer::{FleetEvent, ViolationCounts};
use crate::platform::{InstanceStatus, PlatformControl, PlatformFaults, StoreCounters};

/// Time within which the stand-in must answer a control call.
const CALL_DEADLINE: Duration = Duration::from_secs(2);

/// Client of the calls under `/dev/` of the platform's stand-in.
#[derive(Debug, Clone)]
pub struct ControlClient {
    platform: SocketAddr,
    http: Client<HttpConnector, Full<Bytes>>,
}

impl ControlClient {
    /// Creates a client.
    ///
    /// # Errors
    ///
    /// Fails when the address is not on loopback.
    pub fn new(platform: SocketAddr) -> Result<Self> {
        check_loopback(platform)?;
        let http = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .build_http();
        Ok(Self { platform, http })
    }

    /// Adds an instance to the list or replaces its description.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not accept it within 2 s.
    pub async fn put_instance(&self, instance: &PlatformInstance) -> Result<()> {
        self.post("/dev/instances", instance).await
    }

    /// Takes an instance off the list.
    ///
    /// # Errors
    ///
    /// Fails when the instance is unknown or the platform does not answer within 2 s.
    pub async fn remove_instance(&self, name: &InstanceName) -> Result<()> {
        let path = format!("/dev/instances/{name}");
        self.call(Method::DELETE, &path, Bytes::new())
            .await
            .map(drop)
    }

    /// What the platform does with an instance at present, without the list's lag.
    ///
    /// # Errors
    ///
    /// Fails when the instance is unknown or the platform does not answer within 2 s.
    pub async fn instance_status(&self, name: &InstanceName) -> Result<InstanceStatus> {
        let path = format!("/dev/instances/{name}");
        let body = self.call(Method::GET, &path, Bytes::new()).await?;
        serde_json::from_slice(&body).map_err(Error::other)
    }

    /// Lists an instance as leaving.
    ///
    /// # Errors
    ///
    /// Fails when the instance is unknown or the platform does not answer within 2 s.
    pub async fn drain(&self, name: &InstanceName) -> Result<()> {
        self.post(&format!("/dev/instances/{name}/drain"), &())
            .await
    }

    /// Reports events to the platform's observer, in order.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer within 2 s.
    pub async fn report_events(&self, events: &[FleetEvent]) -> Result<()> {
        self.post("/dev/observer/events", &events).await
    }

    /// Violations that the platform's observer has seen.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer within 2 s.
    pub async fn violations(&self) -> Result<ViolationCounts> {
        let path = "/dev/observer/violations";
        let body = self.call(Method::GET, path, Bytes::new()).await?;
        serde_json::from_slice(&body).map_err(Error::other)
    }

    /// Calls that the platform has counted.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer within 2 s.
    pub async fn counters(&self) -> Result<StoreCounters> {
        let body = self.call(Method::GET, "/dev/counters", Bytes::new());
        serde_json::from_slice(&body.await?).map_err(Error::other)
    }

    /// Switches the platform's faults.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer within 2 s.
    pub async fn set_faults(&self, faults: &PlatformFaults) -> Result<()> {
        self.post("/dev/faults", faults).await
    }

    /// Changes the platform's settings.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer within 2 s.
    pub async fn apply(&self, control: &PlatformControl) -> Result<()> {
        self.post("/dev/settings", control).await
    }

    async fn post<T: serde::Serialize + Sync>(&self, path: &str, content: &T) -> Result<()> {
        let body = serde_json::to_vec(content).map_err(Error::other)?;
        self.call(Method::POST, path, body.into()).await.map(drop)
    }

    async fn call(&self, method: Method, path: &str, body: Bytes) -> Result<Bytes> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.platform))
            .body(Full::new(body))
            .map_err(Error::other)?;
        let exchange = async {
            let response = self.http.request(request).await.map_err(Error::other)?;
            let status = response.status();
            let body = response.into_body().collect().await.map_err(Error::other)?;
            if status.is_success() {
                return Ok(body.to_bytes());
            }
            let reason = format!("the platform answered {path} with status {status}");
            Err(Error::other(reason))
        };
        timeout(CALL_DEADLINE, exchange).await?
    }
}
