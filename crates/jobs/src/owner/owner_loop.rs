use std::time::Duration;

use sesamedeal_core::ids::{InstanceName, SessionId};
use sesamedeal_core::jobs::DispatchPolicy;
use sesamedeal_core::lease::{LeaseAction, LeaseCandidate, LeasePolicy};
use sesamedeal_core::time::TimePoint;
use slog::{Logger, debug, info, o, warn};
use tokio::sync::{mpsc, watch};
use tokio::time::{MissedTickBehavior, interval, timeout};

use super::owner_lease::OwnerLease;
use super::owner_rows::OwnerRows;
use super::owner_watch::OwnerWatch;
use super::takeover_delay::TakeoverDelay;
use super::takeover_kind::TakeoverKind;
use super::{HeartbeatView, OwnerPolicy};
use crate::feeds::{EvacuationList, FeedStatus, FollowTiming, TableEvent, TableFollower, WaveList};
use crate::ports::{
    AdvicePort, FleetPort, HandOverOffer, PeerPort, RowPort, StorePort, StoreTable, WorkerPort,
};
use crate::row_codec::HeartbeatRow;
use crate::{BootClock, DeploymentView, JobMetrics, StoreHealth};

/// Capacity of the channel for events of a followed table.
pub(super) const TABLE_QUEUE_LEN: usize = 16;

/// Interval between two checks of the ownership.
pub(super) const OWNERSHIP_CHECK_PERIOD: Duration = Duration::from_millis(150);

/// Capacity of the channels for ownership offers and for exits of an owner's process.
const PEER_QUEUE_LEN: usize = 1;

/// Pause after a failed attempt to take the ownership.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Maximum time from an offer until this instance has read the ownership rows. An owner with a slow
/// store gains nothing from a successor with a slow store, and it may step down meanwhile.
const OFFER_READ_LIMIT: Duration = Duration::from_millis(100);

/// Pause after a failed read of the stored records, or a failed release.
pub(super) const READ_RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Events that the loop handles.
#[derive(Debug)]
enum LoopEvent {
    /// Rows of the ownership changed.
    Rows(TableEvent),
    /// The process that owned the pools under this epoch has exited.
    Exited(u64),
    /// The owner offers the ownership.
    Offered(HandOverOffer),
    /// A check of the ownership is due.
    Check,
}

/// Competes for the ownership of the pools and runs the owner while this process holds it.
#[derive(Debug)]
pub struct OwnerLoop {
    pub(crate) node: InstanceName,
    pub(crate) session: SessionId,
    pub(crate) policy: OwnerPolicy,
    pub(crate) dispatch: DispatchPolicy,
    pub(crate) store: StorePort,
    pub(crate) health: StoreHealth,
    pub(crate) workers: WorkerPort,
    pub(crate) fleet: FleetPort,
    pub(crate) advice: Option<AdvicePort>,
    pub(crate) rows: RowPort,
    pub(crate) peers: PeerPort,
    pub(crate) view: DeploymentView,
    pub(crate) waves: WaveList,
    pub(crate) evacuations: EvacuationList,
    pub(crate) heartbeat: HeartbeatView,
    pub(crate) metrics: JobMetrics,
    pub(crate) logger: Logger,
    /// When this process was started.
    pub(crate) started: TimePoint,
    /// Whether the process is stopping.
    pub(crate) stopping: watch::Receiver<bool>,
}

impl OwnerLoop {
    /// Runs until the process stops.
    pub(crate) async fn run(mut self) {
        let (sender, mut events) = mpsc::channel(TABLE_QUEUE_LEN);
        let follower = TableFollower {
            store: self.store.clone(),
            table: StoreTable::Owner,
            timing: FollowTiming::RELAXED,
            start: None,
            health: self.health.clone(),
            status: FeedStatus::default(),
            logger: self.logger.clone(),
        };
        let follower = tokio::spawn(follower.run(sender));
        let mut rows = OwnerRows::default();
        let policy = LeasePolicy {
            expiry: self.policy.expiry,
            renewal: self.policy.renewal,
        };
        let mut candidate = LeaseCandidate::new(self.session, policy);
        let mut delay = TakeoverDelay::default();
        let mut exited_epoch: Option<u64> = None;
        let mut is_read = false;
        let mut retry_after = TimePoint::ORIGIN;
        let (offer_sender, mut offers) = mpsc::channel(PEER_QUEUE_LEN);
        let (exit_sender, mut exits) = mpsc::channel(PEER_QUEUE_LEN);
        let logger = self.logger.clone();
        let mut watch = OwnerWatch::new(self.peers.clone(), offer_sender, exit_sender, logger);
        let mut checks = interval(OWNERSHIP_CHECK_PERIOD);
        checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut stopping = self.stopping.clone();
        loop {
            let event = tokio::select! {
                Some(event) = events.recv() => LoopEvent::Rows(event),
                Some(epoch) = exits.recv() => LoopEvent::Exited(epoch),
                Some(offer) = offers.recv() => LoopEvent::Offered(offer),
                _ = checks.tick() => LoopEvent::Check,
                _ = stopping.wait_for(|stopping| *stopping) => break,
            };
            if *self.stopping.borrow() {
                // Several branches can be ready at once, and a stopping process takes nothing over.
                break;
            }
            match event {
                LoopEvent::Rows(event) => {
                    is_read = true;
                    self.apply_rows(event, &mut rows);
                    // Rows that arrived while this process owned the pools are still queued.
                    while let Ok(event) = events.try_recv() {
                        self.apply_rows(event, &mut rows);
                    }
                }
                LoopEvent::Exited(epoch) => exited_epoch = Some(epoch),
                LoopEvent::Offered(offer) => self.handle_offer(&mut rows, offer).await,
                LoopEvent::Check => {}
            }
            if !is_read || self.view.load().is_none() {
                continue;
            }
            if let Some((epoch, _)) = &rows.epoch {
                watch.watch_epoch(epoch.epoch, epoch.address);
            }
            let record = rows.record();
            let action = candidate.step(record.as_ref(), BootClock.now());
            let has_exited = exited_epoch.is_some_and(|epoch| rows.is_held(epoch));
            let kind = self.available_takeover(&rows, has_exited, &action);
            let may_take_over = kind.is_some() && delay.has_passed(&rows, self.peers.capacity);
            if kind.is_none() {
                delay = TakeoverDelay::default();
            }
            if let Some(kind) = kind
                && may_take_over
                && retry_after <= BootClock.now()
            {
                let has_owned = self.try_take_over(&mut rows, kind).await;
                if !has_owned {
                    retry_after = BootClock.now().after(RETRY_PAUSE);
                }
                // A lagging owner may also stop renewing, so its expiry keeps running.
                if has_owned || kind != TakeoverKind::Lagging {
                    candidate = LeaseCandidate::new(self.session, policy);
                }
            }
        }
        follower.abort();
    }

    /// How the ownership can be taken; none if another instance holds it.
    fn available_takeover(
        &self,
        rows: &OwnerRows,
        has_exited: bool,
        action: &LeaseAction,
    ) -> Option<TakeoverKind> {
        let is_vacant = rows.epoch.as_ref().is_none_or(|(epoch, _)| {
            // A holder with this name is an earlier process of this instance, which has ended.
            epoch.is_released || epoch.node == self.node
        });
        if has_exited || is_vacant {
            Some(TakeoverKind::Vacant)
        } else if matches!(action, LeaseAction::Acquire(_)) {
            Some(TakeoverKind::Expired)
        } else if self.seems_lagging(rows) {
            Some(TakeoverKind::Lagging)
        } else {
            None
        }
    }

    /// Applies changed rows of the ownership and publishes the newest heartbeat.
    fn apply_rows(&self, event: TableEvent, rows: &mut OwnerRows) {
        for row in &event.rows {
            rows.apply_row(row, &self.logger);
        }
        self.record_heartbeat(rows);
        if let Some(heartbeat) = &rows.heartbeat {
            self.heartbeat.set(heartbeat.clone());
        }
    }

    /// Takes the ownership, if it has not been renewed meanwhile, and runs the owner. Returns false
    /// if the store failed or another instance was first.
    async fn try_take_over(&mut self, rows: &mut OwnerRows, kind: TakeoverKind) -> bool {
        let is_confirmed = match kind {
            TakeoverKind::Lagging => self.confirm_lag(rows).await,
            _ => self.confirm_unchanged(rows).await,
        };
        if !is_confirmed {
            return false;
        }
        let Some((lease, heartbeat)) = self.try_acquire(rows).await else {
            return false;
        };
        self.hold_ownership(rows, lease, heartbeat, kind).await;
        true
    }

    /// Answers an offer of the ownership. Takes the ownership and runs the owner if the offer is
    /// binding; otherwise only answers whether this instance could take it.
    async fn handle_offer(&mut self, rows: &mut OwnerRows, offer: HandOverOffer) {
        let can_take = match timeout(OFFER_READ_LIMIT, self.read_rows(rows)).await {
            Ok(Ok(())) => rows.is_held(offer.epoch) && offer.received.elapsed() < OFFER_READ_LIMIT,
            Ok(Err(error)) => {
                warn!(self.logger, "could not read the ownership"; "error" => %error);
                false
            }
            Err(_) => {
                warn!(self.logger, "could not read the ownership"; "error" => "no answer in time");
                false
            }
        };
        let taken = if can_take && offer.is_binding {
            self.try_acquire(rows).await
        } else {
            None
        };
        let is_accepted = taken.is_some() || (can_take && !offer.is_binding);
        info!(self.logger, "ownership offered to this instance"; "epoch" => offer.epoch, "is_binding" => offer.is_binding, "is_accepted" => is_accepted);
        if offer.reply.send(is_accepted).is_err() {
            debug!(self.logger, "connection closed before the offer was answered"; "epoch" => offer.epoch);
        }
        if let Some((lease, heartbeat)) = taken {
            let kind = TakeoverKind::HandedOver;
            self.hold_ownership(rows, lease, heartbeat, kind).await;
        }
    }

    async fn try_acquire(&self, rows: &OwnerRows) -> Option<(OwnerLease, Option<HeartbeatRow>)> {
        if *self.stopping.borrow() {
            return None;
        }
        match self.acquire(rows, BootClock.now()).await {
            Ok(taken) => taken,
            Err(error) => {
                warn!(self.logger, "could not take the ownership"; "error" => %error);
                None
            }
        }
    }

    /// Runs the owner until the ownership is lost.
    async fn hold_ownership(
        &mut self,
        rows: &mut OwnerRows,
        lease: OwnerLease,
        heartbeat: Option<HeartbeatRow>,
        kind: TakeoverKind,
    ) {
        let logger = self.logger.new(o!("epoch" => lease.epoch));
        let before = rows.epoch.as_ref().map(|(row, _)| row.largest);
        info!(logger, "ownership taken"; "kind" => ?kind, "row" => lease.version, "capacity" => ?self.peers.capacity, "largest_before" => ?before);
        self.metrics.set_epoch(lease.epoch);
        let larger = self.run_owner(lease.clone(), heartbeat, kind, logger).await;
        self.metrics.set_epoch(0);
        self.metrics.set_unreachable_partitions(0);
        self.metrics.set_unread_partitions(0);
        // The rows that were read before are stale; the follower delivers the current ones.
        let row = self.epoch_row(lease.epoch, larger.unwrap_or(lease.largest));
        *rows = OwnerRows {
            epoch: Some((row, lease.version)),
            ..OwnerRows::default()
        };
    }
}
