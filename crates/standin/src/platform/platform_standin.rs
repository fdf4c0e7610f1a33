use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use parking_lot::Mutex;
use sesamedeal_core::ids::InstanceName;
use sesamedeal_store::protocol::{InstanceList, PlatformInstance};
use sesamedeal_store::{CallTransport, PlatformCall, PlatformError, PlatformReply};
use sesamedeal_wire::message_size::{request_size, response_size};
use tokio::sync::broadcast;
use tokio::time::{Instant, sleep};

use super::platform_state::{CallClass, PlatformState, instance_in};
use super::{InstanceEvent, InstanceStatus, PlatformFaults, RateLimits, StoreCounters};
use crate::ServerHandle;
use crate::http_server::{Answer, AnswerBody, ConnectionLimit, plain, serve};
use crate::observer::{FleetEvent, FleetObserver};

/// Seed of the faults when none is given.
const DEFAULT_SEED: u64 = 1;
/// Instance events that a slow subscriber may lag behind.
const EVENT_CAPACITY: usize = 1024;

/// The platform in memory. Clones are the same platform.
#[derive(Debug, Clone)]
pub struct PlatformStandin {
    pub(super) state: Arc<Mutex<PlatformState>>,
    pub(super) observer: FleetObserver,
    reboot_time: Arc<Mutex<Duration>>,
    events: broadcast::Sender<InstanceEvent>,
}

impl Default for PlatformStandin {
    fn default() -> Self {
        Self::with_seed(DEFAULT_SEED)
    }
}

impl PlatformStandin {
    /// Creates an empty platform.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates an empty platform whose faults are drawn from `seed`.
    #[must_use]
    pub fn with_seed(seed: u64) -> Self {
        Self {
            state: Arc::new(Mutex::new(PlatformState::new(seed))),
            observer: FleetObserver::new(),
            reboot_time: Arc::new(Mutex::new(Duration::from_secs(1))),
            events: broadcast::channel(EVENT_CAPACITY).0,
        }
    }

    /// Switches faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.state.lock().faults = faults;
    }

    /// Refuses calls with status 429 beyond these rates.
    pub fn set_rate_limits(&self, limits: RateLimits) {
        self.state.lock().load.limits = limits;
    }

    /// Sets the time after which changes of the list become visible.
    pub fn set_list_lag(&self, lag: Duration) {
        self.state.lock().instances.lag = lag;
    }

    /// Sets the time that a reboot takes.
    pub fn set_reboot_time(&self, time: Duration) {
        *self.reboot_time.lock() = time;
    }

    /// Replaces the list of instances.
    pub fn set_instances(&self, list: InstanceList) {
        self.state.lock().instances.replace(list, Instant::now());
    }

    /// Adds an instance or replaces its description.
    pub fn put_instance(&self, instance: PlatformInstance) {
        self.state.lock().instances.put(instance, Instant::now());
    }

    /// Takes an instance off the list, as after its death; false if it is unknown.
    pub fn remove_instance(&self, name: &InstanceName) -> bool {
        self.state.lock().instances.remove(name, Instant::now())
    }

    /// What happens to an instance at present; none if it is unknown.
    #[must_use]
    pub fn instance_status(&self, name: &InstanceName) -> Option<InstanceStatus> {
        self.state.lock().instances.status(name)
    }

    /// Lists an instance as leaving; false if it is unknown.
    pub fn drain(&self, name: &InstanceName) -> bool {
        let drained = self.state.lock().instances.drain(name, Instant::now());
        if drained {
            let worker = name.as_str().into();
            self.observer.record(FleetEvent::Leaving { worker });
            self.announce(InstanceEvent::Leaving(name.clone()));
        }
        drained
    }

    /// Makes the next reboot of an instance fail: it does not come back.
    pub fn fail_next_reboot(&self, name: &InstanceName) {
        self.state.lock().instances.fail_next_reboot(name);
    }

    /// Reboots an instance; false if it is unknown. A rebooting instance is not rebooted again.
    #[must_use]
    pub fn reboot(&self, name: &InstanceName) -> bool {
        let started = self
            .state
            .lock()
            .instances
            .start_reboot(name, Instant::now());
        if started == Some(true) {
            self.observer.record(FleetEvent::OutOfService {
                worker: name.as_str().into(),
                pool: None,
                planned: true,
            });
            self.announce(InstanceEvent::RebootStarted(name.clone()));
            let (platform, name) = (self.clone(), name.clone());
            tokio::spawn(async move { platform.finish_reboot(name).await });
        }
        started.is_some()
    }

    async fn finish_reboot(self, name: InstanceName) {
        let time = *self.reboot_time.lock();
        sleep(time).await;
        if self
            .state
            .lock()
            .instances
            .end_reboot(&name, Instant::now())
        {
            let worker = name.as_str().into();
            self.observer.record(FleetEvent::InService { worker });
            let worker = name.as_str().into();
            self.observer.record(FleetEvent::Returned { worker });
            self.announce(InstanceEvent::RebootDone(name));
        }
    }

    /// What the platform does to instances from now on.
    #[must_use]
    pub fn instance_events(&self) -> broadcast::Receiver<InstanceEvent> {
        self.events.subscribe()
    }

    /// Calls counted so far.
    #[must_use]
    pub fn counters(&self) -> StoreCounters {
        self.state.lock().load.counters
    }

    /// Observer of the fleet's invariants, which separate backend servers report to.
    #[must_use]
    pub const fn observer(&self) -> &FleetObserver {
        &self.observer
    }

    /// Transport that calls the platform within the process, for tests with a paused clock.
    #[must_use]
    pub fn transport(&self) -> CallTransport {
        let platform = self.clone();
        CallTransport::new(move |call| platform.clone().call_directly(call).boxed())
    }

    /// Serves the platform's interface on `address` until the handle is dropped.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn serve(&self, address: SocketAddr) -> std::io::Result<ServerHandle> {
        let platform = self.clone();
        serve(address, ConnectionLimit::none(), move |request| {
            platform.clone().answer(request)
        })
        .await
    }

    async fn call_directly(self, call: PlatformCall) -> sesamedeal_store::Result<PlatformReply> {
        let PlatformCall {
            method, path, body, ..
        } = call;
        // The call goes on when its caller gives up, as it does on the network.
        let size = request_size(&method, &path, "", &HeaderMap::new(), body.len());
        let handled = tokio::spawn(self.handle(method, path, body, size)).await;
        let Some(response) = handled.ok().flatten() else {
            return Err(PlatformError::NoAnswer {
                reason: "the connection was closed".to_owned(),
            });
        };
        let (parts, body) = response.into_parts();
        let Ok(body) = body.collect().await;
        let body = body.to_bytes();
        Ok(PlatformReply {
            status: parts.status.as_u16(),
            size: response_size(parts.status, &parts.headers, body.len()),
            body,
        })
    }

    async fn answer(self, request: Request<Incoming>) -> Answer {
        let (parts, body) = request.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        let uri = parts.uri.path_and_query()?.as_str().to_owned();
        if uri.starts_with("/dev/") {
            return Some(self.control(&parts.method, &uri, &body));
        }
        // The request names its host itself.
        let size = request_size(&parts.method, &uri, "", &parts.headers, body.len());
        let handled = tokio::spawn(self.handle(parts.method, uri, body, size));
        handled.await.ok().flatten()
    }

    /// Handles a call whose message has `size` bytes.
    async fn handle(self, method: Method, uri: String, body: Bytes, size: usize) -> Answer {
        let class = CallClass::new(&method, &uri);
        let faults = {
            let mut state = self.state.lock();
            state.load.counters.bytes += size as u64;
            if !state.load.count(class.load, Instant::now()) {
                return Some(plain(StatusCode::TOO_MANY_REQUESTS, Bytes::new()));
            }
            state.draw_faults(class)
        };
        if faults.down {
            return Some(plain(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()));
        }
        if faults.late_ms > 0 {
            tokio::spawn(async move {
                sleep(Duration::from_millis(faults.late_ms)).await;
                self.take_effect(&method, &uri, &body);
            });
            return None;
        }
        if faults.delay_ms > 0 {
            sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        let response = self.take_effect(&method, &uri, &body);
        let body = response.body().size_hint().exact().unwrap_or_default();
        let body = usize::try_from(body).unwrap_or(usize::MAX);
        let size = response_size(response.status(), response.headers(), body);
        self.state.lock().load.counters.bytes += size as u64;
        (!faults.lose_answer).then_some(response)
    }

    fn take_effect(&self, method: &Method, uri: &str, body: &Bytes) -> Response<AnswerBody> {
        if let Some(name) = instance_in(uri, "/v1/instances/", "/reboot") {
            let code = match (method, self.reboot(&name)) {
                (&Method::POST, true) => StatusCode::OK,
                _ => StatusCode::NOT_FOUND,
            };
            return plain(code, Bytes::new());
        }
        self.state.lock().call(method, uri, body)
    }

    fn announce(&self, event: InstanceEvent) {
        // Without a subscriber nobody needs the event.
        drop(self.events.send(event));
    }
}
