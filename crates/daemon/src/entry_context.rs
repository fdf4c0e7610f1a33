use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;

use compact_str::CompactString;
use parking_lot::Mutex;
use sesamedeal_core::control::HealthReport;
use sesamedeal_core::ids::{InstanceName, SessionId};
use sesamedeal_core::lease::LeaseRecord;
use sesamedeal_core::membership::SessionState;
use sesamedeal_core::time::TimePoint;
use sesamedeal_store::protocol::TableRow;
use sesamedeal_store::rows::CONTROLLER_LEASE;
use sesamedeal_store::{CallKind, ChangeLog, PlatformClient};
use slog::Logger;
use tokio::sync::{Notify, watch};
use xtra::Address;

use crate::clock::ProcessClock;
use crate::control_traffic::ControlTraffic;
use crate::dispatch::DispatchActor;
use crate::peer::{PeerTable, PeerTraffic};
use crate::settings::DaemonSettings;
use crate::store::{EvidenceGate, StateKeeper};
use crate::timer::TimerService;

/// A read of the controller's lease.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LeaseSighting {
    /// Content and version of the row; none if there is no row.
    pub row: Option<(LeaseRecord, u64)>,
    /// When the read was sent.
    pub sent: TimePoint,
    /// Whether the controller of this entry instance made the read, which also covers the head and
    /// the settled generation.
    pub by_controller: bool,
}

impl LeaseSighting {
    /// Takes the lease from rows that were read.
    pub(crate) fn new(rows: &[TableRow], sent: TimePoint, by_controller: bool) -> Self {
        let row = rows.iter().find(|row| row.key == CONTROLLER_LEASE);
        let row = row.and_then(|row| {
            let lease: Option<LeaseRecord> = serde_json::from_value(row.value.clone()).ok();
            lease.map(|lease| (lease, row.version))
        });
        Self {
            row,
            sent,
            by_controller,
        }
    }
}

/// What the control loops of one entry instance share.
#[derive(Debug)]
pub(crate) struct EntryContext {
    pub settings: DaemonSettings,
    pub session: SessionId,
    /// Name of this machine in the platform's list.
    pub instance: InstanceName,
    /// IP address and port that peers reach.
    pub address: SocketAddr,
    pub clock: ProcessClock,
    pub timer: TimerService,
    pub logger: Logger,
    pub client: PlatformClient,
    pub log: ChangeLog,
    pub dispatcher: Address<DispatchActor>,
    pub gate: EvidenceGate,
    pub keeper: StateKeeper,
    pub peers: PeerTable,
    pub traffic: PeerTraffic,
    /// Whether the last read of the head succeeded.
    pub store_up: AtomicBool,
    /// The controller's lease, as last read.
    pub lease: Mutex<Option<LeaseSighting>>,
    /// Reports about workers that the controller has not judged yet.
    pub health: Mutex<Vec<HealthReport>>,
    /// Whether this entry instance takes work.
    pub phase: watch::Sender<SessionState>,
    /// Wakes the follower after a change by this entry instance.
    pub changed: Notify,
}

impl EntryContext {
    /// The own address as text, as in the session row.
    pub(crate) fn address_text(&self) -> CompactString {
        CompactString::from(self.address.to_string())
    }

    /// Session that holds the controller's lease, as last read.
    pub(crate) fn controller(&self) -> Option<SessionId> {
        let sighting = (*self.lease.lock())?;
        sighting.row.map(|(lease, _)| lease.holder)
    }

    /// Bytes and calls of control since the start.
    pub(crate) fn control_traffic(&self) -> ControlTraffic {
        let (peer_sent, peer_received) = self.traffic.totals();
        let counters = self.client.counters();
        let calls = |kind| counters.calls.get(&kind).copied().unwrap_or_default();
        ControlTraffic {
            peer_sent,
            peer_received,
            store_sent: counters.bytes_sent,
            store_received: counters.bytes_received,
            store_reads: calls(CallKind::Read) + calls(CallKind::Scan),
            store_writes: calls(CallKind::Write),
        }
    }
}
