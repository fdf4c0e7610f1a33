use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use sesamedeal_core::ids::{InstanceName, SessionId};
use sesamedeal_core::jobs::{DispatchPolicy, FleetRules, JobDispatcher, JobId, JobRecord};
use sesamedeal_core::lease::{LeaseAction, LeaseCandidate, LeasePolicy, LeaseRecord};
use sesamedeal_core::time::TimePoint;
use sesamedeal_store::Result;
use slog::{Logger, info, o, warn};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{MissedTickBehavior, interval, sleep};
use xtra::Mailbox;

use super::call_sender::CallSender;
use super::job_intake::JobIntake;
use super::owner_actor::{OwnerActor, OwnerParts};
use super::owner_lease::OwnerLease;
use super::record_writer::{RecordWriter, condition, put};
use super::wave_keeper::WaveKeeper;
use super::{OwnerEvent, OwnerPolicy, PulseView};
use crate::feeds::{TableEvent, TableFollower, WaveList, read_table};
use crate::ports::{
    AdvicePort, FleetPort, RowChange, RowName, RowPort, StorePort, StoreRow, StoreTable,
    TransactOutcome, WorkerPort,
};
use crate::row_codec::{EPOCH_KEY, EpochRow, PULSE_KEY, PulseRow, SEQUENCE_KEY, decode, encode};
use crate::{BootClock, DeploymentView, JobMetrics, StoreHealth};

/// Events that may wait for the owner.
const OWNER_QUEUE: usize = 1_024;

/// Events of a table that may wait.
const TABLE_QUEUE: usize = 16;

/// Time between two looks at the ownership.
const LOOK_PERIOD: Duration = Duration::from_millis(150);

/// Longest pause before an attempt to take the ownership, as a multiple of the time that the store
/// takes for a read. About eight entry instances compete.
const CONTENTION_SPREAD: f64 = 4.0;

/// Time in which a retiring owner extends leases and stores what it knows.
const RETIRE_TIME: Duration = Duration::from_millis(150);

/// Pause after a failed attempt to read what the owner needs.
const READ_PAUSE: Duration = Duration::from_millis(150);

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

/// The rows of ownership as last read.
#[derive(Debug, Default)]
struct OwnerRows {
    epoch: Option<(EpochRow, u64)>,
    pulse: Option<PulseRow>,
}

impl OwnerRows {
    fn take(&mut self, row: &StoreRow, logger: &Logger) {
        let result = match row.key.as_str() {
            EPOCH_KEY => decode(&row.value).map(|epoch| self.epoch = Some((epoch, row.version))),
            PULSE_KEY => decode(&row.value).map(|pulse| self.pulse = Some(pulse)),
            _ => Ok(()),
        };
        if let Err(error) = result {
            warn!(logger, "row left out"; "key" => %row.key, "row" => row.version, "error" => %error);
        }
    }

    fn record(&self) -> Option<LeaseRecord> {
        let (epoch, _) = self.epoch.as_ref()?;
        let pulse = self.pulse.as_ref();
        let renewals = pulse
            .filter(|pulse| pulse.epoch == epoch.epoch)
            .map_or(0, |pulse| pulse.renewals);
        Some(LeaseRecord {
            holder: epoch.holder,
            epoch: epoch.epoch,
            renewals,
        })
    }
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

    /// Whether the rows are still as the follower saw them, after a pause at random. The follower
    /// may have been cut off, and a slow store has no room for the attempts of all candidates.
    async fn confirm(&self, rows: &mut OwnerRows) -> bool {
        let begin = tokio::time::Instant::now();
        if !self.is_unchanged(rows).await {
            return false;
        }
        let pause = begin
            .elapsed()
            .mul_f64(CONTENTION_SPREAD * rand::random::<f64>());
        sleep(pause).await;
        pause < LOOK_PERIOD || self.is_unchanged(rows).await
    }

    async fn is_unchanged(&self, rows: &mut OwnerRows) -> bool {
        let before = rows.record();
        match read_table(&self.store, StoreTable::Owner).await {
            Ok((read, _)) => {
                for row in &read {
                    rows.take(row, &self.logger);
                }
                rows.record() == before
            }
            Err(error) => {
                warn!(self.logger, "ownership not read"; "error" => %error);
                false
            }
        }
    }

    async fn acquire(
        &self,
        rows: &OwnerRows,
        sent: TimePoint,
    ) -> Result<Option<(OwnerLease, Option<PulseRow>)>> {
        let known = rows.epoch.as_ref();
        let epoch = known.map_or(0, |(row, _)| row.epoch) + 1;
        let version = known.map_or(0, |(_, version)| *version);
        let row = EpochRow {
            epoch,
            holder: self.session,
            node: self.node.clone(),
            is_released: false,
        };
        let change = RowChange {
            conditions: vec![condition(StoreTable::Owner, EPOCH_KEY, version)],
            puts: vec![put(
                RowName::new(StoreTable::Owner, EPOCH_KEY),
                encode(&row),
            )],
            deletes: Vec::new(),
        };
        let taken = match (self.store.transact)(change).await {
            Ok(TransactOutcome::Committed { version }) => Some(version),
            Ok(TransactOutcome::Conflict { .. }) => None,
            Err(error) => {
                warn!(self.logger, "taking of the ownership has no answer"; "error" => %error);
                self.find_taken(epoch).await?
            }
        };
        Ok(taken.map(|version| (OwnerLease::new(epoch, version, sent), rows.pulse.clone())))
    }

    /// Version of the epoch row if this process holds `epoch`.
    async fn find_taken(&self, epoch: u64) -> Result<Option<u64>> {
        let (read, _) = read_table(&self.store, StoreTable::Owner).await?;
        let mut rows = OwnerRows::default();
        for row in &read {
            rows.take(row, &self.logger);
        }
        let own = rows
            .epoch
            .filter(|(row, _)| row.epoch == epoch && row.holder == self.session);
        Ok(own.map(|(_, version)| version))
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

    /// Reads the states of all jobs and the rows of the writer.
    async fn read_records(
        &self,
        lease: &OwnerLease,
        logger: &Logger,
    ) -> Option<(StoredStates, Vec<StoreRow>)> {
        while lease.is_younger(self.policy.extension) && !*self.stopping.borrow() {
            let reads = tokio::try_join!(
                read_table(&self.store, StoreTable::State),
                read_table(&self.store, StoreTable::Writer),
            );
            match reads {
                Ok(((states, _), (writer_rows, _))) => {
                    return Some((decode_states(&states, logger), writer_rows));
                }
                Err(error) => {
                    warn!(logger, "records not read"; "error" => %error);
                    sleep(READ_PAUSE).await;
                }
            }
        }
        None
    }

    /// Lets another entry instance take the ownership at once. A repetition after a release that
    /// took effect finds another version and changes nothing.
    async fn release(&self, lease: &OwnerLease, logger: &Logger) {
        let row = EpochRow {
            epoch: lease.epoch,
            holder: self.session,
            node: self.node.clone(),
            is_released: true,
        };
        let change = RowChange {
            conditions: vec![condition(StoreTable::Owner, EPOCH_KEY, lease.version)],
            puts: vec![put(
                RowName::new(StoreTable::Owner, EPOCH_KEY),
                encode(&row),
            )],
            deletes: Vec::new(),
        };
        loop {
            let outcome = (self.store.transact)(change.clone()).await;
            info!(logger, "ownership released"; "outcome" => ?outcome);
            if outcome.is_ok() {
                return;
            }
            sleep(READ_PAUSE).await;
        }
    }
}

/// States of open jobs, and ended jobs with the time of their end, the earliest first.
type StoredStates = (HashMap<JobId, JobRecord>, Vec<(JobId, TimePoint)>);

fn decode_states(rows: &[StoreRow], logger: &Logger) -> StoredStates {
    let mut states = HashMap::new();
    let mut ended = Vec::new();
    for row in rows {
        let id = row.key.parse::<JobId>();
        match (id, decode::<JobRecord>(&row.value)) {
            (Ok(id), Ok(record)) if record.phase.is_final() => {
                ended.push((id, BootClock.time_of(record.ended_ms)));
            }
            (Ok(id), Ok(record)) => {
                states.insert(id, record);
            }
            (_, Err(error)) => {
                warn!(logger, "row left out"; "key" => %row.key, "error" => %error);
            }
            (Err(problem), _) => {
                warn!(logger, "row left out"; "key" => %row.key, "error" => problem);
            }
        }
    }
    ended.sort_by_key(|(_, at)| *at);
    (states, ended)
}
