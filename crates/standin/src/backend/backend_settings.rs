use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;

use crate::observer::{FleetEvent, FleetObserver};

/// Receives what a backend server sees.
#[derive(Clone)]
pub struct EventSink {
    send: Arc<dyn Fn(FleetEvent) + Send + Sync>,
}

impl EventSink {
    /// Creates a sink from a closure.
    #[must_use]
    pub fn new(send: impl Fn(FleetEvent) + Send + Sync + 'static) -> Self {
        Self {
            send: Arc::new(send),
        }
    }

    /// Creates a sink that records in an observer of this process.
    #[must_use]
    pub fn with_observer(observer: FleetObserver) -> Self {
        Self::new(move |event| observer.record(event))
    }

    pub(crate) fn send(&self, event: FleetEvent) {
        (self.send)(event);
    }
}

impl Default for EventSink {
    fn default() -> Self {
        Self::new(|_| {})
    }
}

impl fmt::Debug for EventSink {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EventSink").finish_non_exhaustive()
    }
}

/// Settings of a backend server.
#[derive(Debug, Clone)]
pub struct BackendSettings {
    /// Name in the platform's list.
    pub name: CompactString,
    /// Tasks that run at once.
    pub slots: u32,
    /// Connections accepted at once.
    pub max_connections: usize,
    /// Longest time that a task runs when the request names no lease.
    pub default_lease: Duration,
    /// Age of the usage that is reported.
    pub usage_lag: Duration,
    /// Who is told what the server sees.
    pub events: EventSink,
}

impl BackendSettings {
    /// Creates settings with 8 slots, 64 connections, a lease of 10 s and a usage lag of 2 s.
    #[must_use]
    pub fn new(name: &str) -> Self {
        Self {
            name: name.into(),
            slots: 8,
            max_connections: 64,
            default_lease: Duration::from_secs(10),
            usage_lag: Duration::from_secs(2),
            events: EventSink::default(),
        }
    }
}
