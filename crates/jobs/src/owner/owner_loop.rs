use std::sync::Arc;
use std::time::Duration;

use sesamedeal_core::ids::{InstanceName, SessionId};
use sesamedeal_core::jobs::{DispatchPolicy, FleetRules, JobDispatcher};
use sesamedeal_core::lease::{LeaseAction, LeaseCandidate, LeasePolicy};
use slog::{Logger, info, o, warn};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{MissedTickBehavior, interval, sleep};
use xtra::Mailbox;

use super::call_sender::CallSender;
use super::job_intake::JobIntake;
use super::owner_actor::{OwnerActor, OwnerParts};
use super::owner_lease::OwnerLease;
use super::owner_rows::OwnerRows;
use super::record_writer::RecordWriter;
use super::wave_keeper::WaveKeeper;
use super::{OwnerEvent, OwnerPolicy, PulseView};
use crate::feeds::{TableEvent, TableFollower, WaveList};
use crate::ports::{AdvicePort, FleetPort, RowPort, StorePort, StoreTable, WorkerPort};
use crate::row_codec::{EpochRow, PulseRow, SEQUENCE_KEY, decode};
use crate::{BootClock, DeploymentView, JobMetrics, StoreHealth};

/// Events that may wait for the owner.
const OWNER_QUEUE: usize = 1_024;

/// Events of a table that may wait.
const TABLE_QUEUE: usize = 16;

/// Time between two looks at the ownership.
pub(super) const LOOK_PERIOD: Duration = Duration::from_millis(150);

/// Time in which a retiring owner extends leases and stores what it knows.
const RETIRE_TIME: Duration = Duration::from_millis(150);

/// Pause after a failed attempt to read what the owner needs.
pub(super) const READ_PAUSE: Duration = Duration::from_millis(150);

/// Competes for the ownership of the pools and exercises it.
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
    pub(crate) view: DeploymentView,
    pub(crate) waves: WaveList,
    pub(crate) pulse: PulseView,
    pub(crate) metrics: JobMetrics,
    pub(crate) logger: Logger,
    /// Whether the process is stopping.
    pub(crate) stopping: watch::Receiver<bool>,
}

impl OwnerLoop {
    /// Runs until the process stops.
    pub(crate) async fn run(mut self) {
        let (sender, mut events) = mpsc::channel(TABLE_QUEUE);
        let follower = TableFollower {
            store: self.store.clone(),
            table: StoreTable::Owner,
            health: self.health.clone(),
            logger: self.logger.clone(),
        };
        let follower = tokio::spawn(follower.run(sender));
        let mut rows = OwnerRows::default();
        let policy = LeasePolicy {
            expiry: self.policy.expiry,
            renewal: self.policy.renewal,
        };
        let mut candidate = LeaseCandidate::new(self.session, policy);
        let mut is_read = false;
        let mut looks = interval(LOOK_PERIOD);
        looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut stopping = self.stopping.clone();
        loop {
            tokio::select! {
                Some(event) = events.recv() => {
                    let (TableEvent::Snapshot(changed) | TableEvent::Changes(changed)) = event;
                    is_read = true;
                    for row in &changed {
                        rows.take(row, &self.logger);
                    }
                    self.publish(&rows);
                }
                _ = looks.tick() => {}
                _ = stopping.wait_for(|stopping| *stopping) => break,
            }
            if *self.stopping.borrow() {
                // Several branches can be ready, and a stopping process takes nothing over.
                break;
            }
            if !is_read || self.view.load().is_none() {
                continue;
            }
            let record = rows.record();
            let action = candidate.step(record.as_ref(), BootClock.now());
            let is_vacant = rows.epoch.as_ref().is_none_or(|(epoch, _)| {
                // An earlier process of this instance has ended, and this one does not lead here.
                epoch.is_released || epoch.node == self.node
            });
            if is_vacant || matches!(action, LeaseAction::Acquire(_)) {
                self.try_lead(&mut rows, !is_vacant).await;
                candidate = LeaseCandidate::new(self.session, policy);
            }
        }
        follower.abort();
    }

    fn publish(&self, rows: &OwnerRows) {
        if let Some(pulse) = &rows.pulse {
            self.pulse.set(pulse.clone());
        }
    }

    /// Takes the ownership, if nobody has renewed it since, and exercises it.
    async fn try_lead(&mut self, rows: &mut OwnerRows, is_expired: bool) {
        if !self.confirm(rows).await {
            return;
        }
        let sent = BootClock.now();
        let (lease, pulse) = match self.acquire(rows, sent).await {
            Ok(Some(taken)) => taken,
            Ok(None) => return,
            Err(error) => {
                warn!(self.logger, "ownership not taken"; "error" => %error);
                return;
            }
        };
        let logger = self.logger.new(o!("epoch" => lease.epoch));
        info!(logger, "ownership taken"; "is_expired" => is_expired, "row" => lease.version);
        self.metrics.set_epoch(lease.epoch);
        self.lead(lease.clone(), pulse, is_expired, logger).await;
        self.metrics.set_epoch(0);
        // The rows that were read before are stale; the follower brings the present ones.
        *rows = OwnerRows {
            epoch: Some((
                EpochRow {
                    epoch: lease.epoch,
                    holder: self.session,
                    node: self.node.clone(),
                    is_released: false,
                },
                lease.version,
            )),
            pulse: None,
        };
    }

    async fn lead(
        &mut self,
        lease: OwnerLease,
        pulse: Option<PulseRow>,
        is_expired: bool,
        logger: Logger,
    ) {
        let Some(((states, ended), writer_rows)) = self.read_records(&lease, &logger).await else {
            warn!(logger, "ownership lost"; "reason" => "the records could not be read in time");
            return;
        };
        let now = BootClock.now();
        let rules = self
            .view
            .load()
            .map(|deployment| Arc::clone(&deployment.rules));
        let rules = rules.unwrap_or_else(|| Arc::new(FleetRules::default()));
        let wait = if is_expired {
            // The earlier owner may extend leases for a while after its last renewal.
            self.policy.extension.saturating_sub(self.policy.expiry)
        } else {
            Duration::ZERO
        };
        let out_of_reach = pulse
            .as_ref()
            .map(|pulse| pulse.out_of_reach.clone())
            .unwrap_or_default();
        let mut dispatcher = JobDispatcher::new(self.dispatch.clone(), rules, lease.epoch, now)
            .with_extension(wait)
            .with_out_of_reach(out_of_reach.clone());
        for (id, at) in ended {
            dispatcher.note_ended(id, at);
        }
        let sequence = writer_rows.iter().find(|row| row.key == SEQUENCE_KEY);
        let sequence = sequence.map_or(0, |row| row.version);
        let mut waves = WaveKeeper::new(Arc::clone(&self.waves));
        for row in &writer_rows {
            let wave = row.key.strip_prefix("wave/");
            if let Some(wave) = wave.and_then(|wave| wave.parse().ok()) {
                match decode(&row.value) {
                    Ok(row) => waves.restore(wave, row, now),
                    Err(error) => {
                        warn!(logger, "row left out"; "key" => %row.key, "error" => %error);
                    }
                }
            }
        }
        let (address, mailbox) = Mailbox::bounded(OWNER_QUEUE);
        let sender = CallSender {
            workers: self.workers.clone(),
            owner: address.clone(),
            order_deadline: self.policy.order_deadline,
            logger: logger.clone(),
        };
        let intake = JobIntake {
            epoch_version: lease.version,
            states,
            earlier_pending: pulse
                .as_ref()
                .map(|pulse| pulse.pending.clone())
                .unwrap_or_default(),
            earlier_out_of_reach: out_of_reach,
            earlier_surges: pulse.map(|pulse| pulse.surges_ms).unwrap_or_default(),
            waiting: Vec::new(),
            logger: logger.clone(),
        };
        let parts = OwnerParts {
            node: self.node.clone(),
            policy: self.policy.clone(),
            dispatch: self.dispatch.clone(),
            lease: lease.clone(),
            store: self.store.clone(),
            fleet: self.fleet.clone(),
            advice: self.advice.clone(),
            rows: self.rows,
            view: self.view.clone(),
            pulse: self.pulse.clone(),
            metrics: self.metrics.clone(),
            logger: logger.clone(),
        };
        let (ended, end) = oneshot::channel();
        let writer = RecordWriter::new(lease.clone(), sequence, now);
        let actor = OwnerActor::new(parts, dispatcher, sender, writer, waves, intake, ended);
        let mut tasks = tokio::task::JoinSet::new();
        tasks.spawn(xtra::run(mailbox, actor));
        self.follow(
            &mut tasks,
            StoreTable::Job,
            address.clone(),
            OwnerEvent::Jobs,
        );
        self.follow(
            &mut tasks,
            StoreTable::WorkerList,
            address.clone(),
            OwnerEvent::Workers,
        );
        let round = self.policy.round;
        let owner = address.clone();
        tasks.spawn(async move {
            let mut rounds = interval(round);
            rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
            loop {
                rounds.tick().await;
                if address.send(OwnerEvent::Round).await.is_err() {
                    return;
                }
            }
        });
        let is_stopping = tokio::select! {
            // The sender is dropped when the ownership is lost.
            _ = end => false,
            result = self.stopping.wait_for(|stopping| *stopping) => result.is_ok(),
        };
        if is_stopping {
            // The owner has gone when the ownership was lost meanwhile.
            drop(owner.send(OwnerEvent::Retire).await);
            sleep(RETIRE_TIME).await;
        }
        lease.lose();
        tasks.shutdown().await;
        if is_stopping {
            self.release(&lease, &logger).await;
        }
    }

    fn follow(
        &self,
        tasks: &mut tokio::task::JoinSet<()>,
        table: StoreTable,
        address: xtra::Address<OwnerActor>,
        wrap: fn(TableEvent) -> OwnerEvent,
    ) {
        let (sender, mut events) = mpsc::channel(TABLE_QUEUE);
        let follower = TableFollower {
            store: self.store.clone(),
            table,
            health: self.health.clone(),
            logger: self.logger.clone(),
        };
        tasks.spawn(follower.run(sender));
        tasks.spawn(async move {
            while let Some(event) = events.recv().await {
                if address.send(wrap(event)).await.is_err() {
                    return;
                }
            }
        });
    }
}
