use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use sesamedeal_core::ids::InstanceName;
use sesamedeal_core::jobs::{
    DispatchPolicy, HoldReport, JobDispatcher, RecordBatch, SizingPolicy, TaskName, WorkerKey,
    WorkerOrder,
};
use sesamedeal_core::time::TimePoint;
use sesamedeal_store::{PlatformError, Result};
use slog::{Logger, debug, info, warn};
use tokio::sync::oneshot;
use xtra::{Actor, Context, Handler};

use super::call_sender::CallSender;
use super::inventory_view::InventoryView;
use super::job_intake::JobIntake;
use super::owner_lease::OwnerLease;
use super::pool_keeper::PoolKeeper;
use super::record_writer::{EXPIRED_PER_WRITE, JOBS_PER_WRITE, RecordWriter};
use super::wave_keeper::WaveKeeper;
use super::worker_links::{WorkerLink, WorkerLinks};
use super::{OwnerEvent, OwnerPolicy, PulseView};
use crate::feeds::TableEvent;
use crate::ports::{
    AdvicePort, FleetPort, HoldOutcome, HoldRequest, PaceRequest, RowPort, StartRequest,
    StopRequest, StorePort, StoreRow, TransactOutcome, WorkerAddress,
};
use crate::row_codec::PulseRow;
use crate::{BootClock, DeploymentView, JobMetrics};

/// Pause after a call for lists that failed.
const HOLD_RETRY: Duration = Duration::from_millis(150);

/// Longest time that a call for lists waits until the ends that are known are stored. A worker
/// with ends that are not acknowledged answers at once.
const STORE_PATIENCE: Duration = Duration::from_millis(300);

/// Time between two log lines about the load of a pool.
const LOAD_PERIOD: Duration = Duration::from_secs(1);

/// Pause after a write that the store turned away.
const WRITE_RETRY: Duration = Duration::from_millis(120);

/// What the owner is built from.
#[derive(Debug)]
pub(crate) struct OwnerParts {
    pub node: InstanceName,
    pub policy: OwnerPolicy,
    pub dispatch: DispatchPolicy,
    pub lease: OwnerLease,
    pub store: StorePort,
    pub fleet: FleetPort,
    pub advice: Option<AdvicePort>,
    pub rows: RowPort,
    pub view: DeploymentView,
    pub pulse: PulseView,
    pub metrics: JobMetrics,
    pub logger: Logger,
}

/// Places tasks, keeps leases and records ends while this process owns the pools.
#[derive(Debug)]
pub(crate) struct OwnerActor {
    pub(super) parts: OwnerParts,
    pub(super) dispatcher: JobDispatcher,
    pub(super) sender: CallSender,
    pub(super) writer: RecordWriter,
    pub(super) waves: WaveKeeper,
    pub(super) inventory: InventoryView,
    pub(super) pools: PoolKeeper,
    intake: JobIntake,
    links: WorkerLinks,
    version: u64,
    write_after: TimePoint,
    loads_logged: TimePoint,
    /// What the last pulse shows of workers out of reach.
    publication: Vec<(InstanceName, Vec<TaskName>)>,
    /// Whether the stored jobs are known. Before that, runs at workers cannot be told apart from
    /// runs of jobs that have ended.
    is_loaded: bool,
    is_retiring: bool,
    /// Ends the ownership when dropped.
    ended: Option<oneshot::Sender<()>>,
}

impl OwnerActor {
    pub(crate) fn new(
        parts: OwnerParts,
        dispatcher: JobDispatcher,
        sender: CallSender,
        writer: RecordWriter,
        waves: WaveKeeper,
        mut intake: JobIntake,
        ended: oneshot::Sender<()>,
    ) -> Self {
        let surges = std::mem::take(&mut intake.earlier_surges);
        Self {
            inventory: InventoryView::new(parts.fleet.clone()),
            parts,
            dispatcher,
            sender,
            writer,
            waves,
            pools: PoolKeeper::new(SizingPolicy::default(), &surges),
            intake,
            links: WorkerLinks::default(),
            version: 0,
            write_after: TimePoint::ORIGIN,
            loads_logged: TimePoint::ORIGIN,
            publication: Vec::new(),
            is_loaded: false,
            is_retiring: false,
            ended: Some(ended),
        }
    }

    /// Gives the ownership up.
    pub(super) fn step_down(&mut self, reason: &str) {
        self.parts.lease.lose();
        if self.ended.take().is_some() {
            warn!(self.parts.logger, "ownership lost"; "epoch" => self.parts.lease.epoch, "reason" => reason);
        }
    }

    fn round(&mut self) {
        if !self.parts.lease.is_younger(self.parts.policy.extension) {
            self.step_down("not renewed in time");
            return;
        }
        let now = BootClock.now();
        self.take_rules();
        if self.is_loaded {
            let orders = self.dispatcher.plan(now, BootClock.unix_ms());
            for order in orders {
                self.send_order(order, now);
            }
            self.ask_advice(now);
            self.send_holds(now);
            self.wave_round(now);
            self.log_loads(now);
        }
        self.write(now);
        self.parts
            .metrics
            .set_open_jobs(self.dispatcher.open_jobs());
    }

    fn log_loads(&mut self, now: TimePoint) {
        if now.since(self.loads_logged) < LOAD_PERIOD {
            return;
        }
        self.loads_logged = now;
        for (pool, load) in self.dispatcher.loads(now) {
            info!(self.parts.logger, "pool load"; "pool" => %pool, "workers" => load.workers, "usable" => load.usable, "capacity" => load.capacity, "lasting" => load.lasting, "ending" => load.ending, "waiting" => load.waiting, "arriving" => load.arriving, "backlog" => load.backlog, "waiting_tasks" => load.waiting_tasks);
        }
    }

    /// Length of the leases that are asked for. A successor needs time when this owner retires or
    /// cannot renew.
    fn lease(&self) -> Duration {
        let is_fresh = self.parts.lease.is_younger(self.parts.policy.renewal * 2);
        if is_fresh && !self.is_retiring {
            self.parts.dispatch.lease
        } else {
            self.parts.dispatch.longest_lease
        }
    }

    /// Extends the leases for a successor.
    fn retire(&mut self) {
        let now = BootClock.now();
        self.is_retiring = true;
        for (_, link) in self.links.iter_mut() {
            link.due = now;
            link.due_unstored = now;
            link.is_calling = false;
        }
        self.send_holds(now);
        self.writer.sent = TimePoint::ORIGIN;
        self.write(now);
    }

    fn take_rules(&mut self) {
        if let Some(deployment) = self.parts.view.load()
            && deployment.version > self.version
        {
            self.version = deployment.version;
            self.dispatcher.set_rules(Arc::clone(&deployment.rules));
        }
    }

    fn send_order(&mut self, order: WorkerOrder, now: TimePoint) {
        let (WorkerOrder::Start(key, _) | WorkerOrder::Stop(key, ..) | WorkerOrder::Pace(key, ..)) =
            order;
        let Some((link, worker)) = self.link(key) else {
            return;
        };
        let lanes = Arc::clone(&link.lanes);
        let fence = self.parts.lease.epoch;
        let stop_request = |task, run| StopRequest {
            worker: worker.clone(),
            fence,
            task,
            run,
        };
        match order {
            WorkerOrder::Start(_, order) => {
                let Some(lease_end_ms) = link.lease_end_ms(self.lease(), now) else {
                    return;
                };
                let request = StartRequest {
                    worker,
                    fence,
                    lease_end_ms,
                    order,
                };
                self.sender.start(key, lanes, request);
                self.dispatcher.note_extension(key, self.lease(), now);
            }
            WorkerOrder::Stop(_, task, run) => {
                self.sender.stop(key, lanes, stop_request(task, run));
            }
            WorkerOrder::Pace(_, task, run, percent) => {
                let run = stop_request(task, run);
                self.sender.pace(lanes, PaceRequest { run, percent });
            }
        }
    }

    fn link(&self, key: WorkerKey) -> Option<(&WorkerLink, WorkerAddress)> {
        let report = self.dispatcher.worker(key)?;
        let worker = WorkerAddress {
            name: report.name.clone(),
            address: report.address,
        };
        Some((self.links.get(key)?, worker))
    }

    /// Calls the workers whose lists are due.
    fn send_holds(&mut self, now: TimePoint) {
        let lease = self.lease();
        let policy = &self.parts.policy;
        for (key, link) in self.links.iter_mut() {
            if link.is_calling || link.due > now {
                continue;
            }
            let Some(report) = self.dispatcher.worker(key) else {
                continue;
            };
            if self.dispatcher.has_unstored_ends(key) && now < link.due_unstored {
                continue;
            }
            let is_idle = self.dispatcher.is_idle(key);
            let is_silent = link.failures > 0;
            let wait = if link.clock.is_none() || is_silent || self.is_retiring {
                Duration::ZERO
            } else if is_idle {
                policy.idle_wait
            } else {
                policy.hold_wait
            };
            // The lease of a silent worker must pass, so that its tasks can run elsewhere.
            let lease_end_ms = link.lease_end_ms(lease, now).filter(|_| !is_silent);
            let request = HoldRequest {
                worker: WorkerAddress {
                    name: report.name.clone(),
                    address: report.address,
                },
                fence: self.parts.lease.epoch,
                stored_end: self.dispatcher.stored_end(key),
                lease_end_ms,
                wait,
            };
            link.is_calling = true;
            self.sender
                .hold(key, link.generation, request, wait + policy.hold_margin);
            if lease_end_ms.is_some() {
                self.dispatcher.note_extension(key, lease, now);
            }
        }
    }

    fn take_held(
        &mut self,
        key: WorkerKey,
        generation: u64,
        sent: TimePoint,
        outcome: Result<HoldOutcome>,
    ) {
        let now = BootClock.now();
        let Some(link) = self.links.current(key, generation) else {
            return;
        };
        link.is_calling = false;
        match outcome {
            Ok(HoldOutcome::Held(report)) => {
                if link.failures > 0 || link.clock.is_none() {
                    info!(self.parts.logger, "worker reached"; "worker" => self.dispatcher.worker(key).map(|worker| worker.name.to_string()), "failures" => link.failures, "running" => report.running.len());
                }
                link.failures = 0;
                link.clock = Some((report.clock_ms, now));
                link.due = sent.after(self.parts.policy.hold_gap).max(now);
                link.due_unstored = now.after(STORE_PATIENCE);
                self.log_ends(key, &report);
                self.dispatcher.note_hold(key, &report, now);
            }
            Ok(HoldOutcome::Fenced) => self.step_down("a worker has seen a later epoch"),
            Ok(HoldOutcome::Replaced) => {
                link.failures += 1;
                link.due = now.after(HOLD_RETRY);
                debug!(self.parts.logger, "another worker answers"; "worker" => ?key);
            }
            Err(error) => {
                link.failures += 1;
                link.due = now.after(HOLD_RETRY);
                self.dispatcher.note_silence(key);
                if link.failures == 1 {
                    warn!(self.parts.logger, "worker lost"; "worker" => self.dispatcher.worker(key).map(|worker| worker.name.to_string()), "error" => %error);
                }
            }
        }
    }

    fn log_ends(&self, key: WorkerKey, report: &HoldReport) {
        for end in &report.ended {
            if end.number > self.dispatcher.processed_end(key) {
                let kind = format!("{:?}", end.kind);
                self.parts.metrics.count_end(&kind.to_lowercase());
                info!(self.parts.logger, "end"; "task" => %end.task, "run" => end.run, "worker" => self.dispatcher.worker(key).map(|worker| worker.name.to_string()), "number" => end.number, "kind" => kind);
            }
        }
    }

    /// Writes what has changed, or renews the ownership.
    fn write(&mut self, now: TimePoint) {
        if self.writer.is_writing || now < self.write_after {
            return;
        }
        let is_pulse_due = now.since(self.writer.pulsed) >= self.parts.policy.renewal;
        let has_records = self.dispatcher.has_records()
            && now.since(self.writer.sent) >= self.parts.policy.record_gap;
        if !is_pulse_due && !has_records && !self.writer.has_rows() {
            // Ends that changed no record need no write before they are acknowledged.
            if !self.dispatcher.has_records() {
                let batch = self.dispatcher.take_records(0, 0);
                self.dispatcher.note_stored(&batch, now);
            }
            return;
        }
        let batch = self
            .dispatcher
            .take_records(JOBS_PER_WRITE, BootClock.unix_ms());
        let pulse = is_pulse_due.then(|| self.pulse());
        if let Some(pulse) = &pulse {
            self.publication = pulse.out_of_reach.clone();
            self.writer.pulsed = now;
            self.parts.pulse.set(pulse.clone());
        }
        let expired = self.dispatcher.take_expired(EXPIRED_PER_WRITE, now);
        let change = self.writer.change(&batch, &expired, pulse);
        self.writer.is_writing = true;
        self.writer.sent = now;
        let call = (self.parts.store.transact)(change);
        let owner = self.sender.owner.clone();
        tokio::spawn(async move {
            let outcome = call.await;
            let event = OwnerEvent::Written {
                batch,
                sent: now,
                outcome,
            };
            // The owner has gone when the ownership was lost.
            drop(owner.send(event).await);
        });
    }

    fn pulse(&self) -> PulseRow {
        PulseRow {
            epoch: self.parts.lease.epoch,
            renewals: 0,
            out_of_reach: if self.is_loaded {
                self.dispatcher.out_of_reach(BootClock.now())
            } else {
                self.intake.earlier_out_of_reach.clone()
            },
            pending: if self.is_loaded {
                self.dispatcher.pending().into_iter().collect()
            } else {
                self.intake.earlier_pending.clone()
            },
            surges_ms: self.surges_ms(),
        }
    }

    fn take_written(
        &mut self,
        batch: &RecordBatch,
        sent: TimePoint,
        outcome: Result<TransactOutcome>,
    ) {
        self.writer.is_writing = false;
        match outcome {
            Ok(TransactOutcome::Committed { version }) => {
                self.writer.commit(version, sent);
                let rows = self.writer.take_sent();
                self.note_wave_rows(&rows);
                self.dispatcher.note_stored(batch, BootClock.now());
                self.dispatcher.note_published(&self.publication);
                let rows = std::mem::take(&mut self.intake.waiting);
                self.intake.take(rows, &mut self.dispatcher);
                for (id, record) in &batch.records {
                    if record.phase.is_final() {
                        info!(self.parts.logger, "job ended"; "job" => %id, "phase" => ?record.phase, "row" => version);
                    }
                }
            }
            Ok(TransactOutcome::Conflict { rows }) => {
                self.dispatcher.return_records(batch);
                self.writer.fail();
                self.writer.pulsed = TimePoint::ORIGIN;
                self.parts.metrics.count_store_failure("conflict");
                if !self.writer.resume(&rows) {
                    self.step_down("the epoch row has changed");
                }
            }
            Err(error) => {
                self.dispatcher.return_records(batch);
                self.writer.fail();
                self.writer.pulsed = TimePoint::ORIGIN;
                self.write_after = BootClock.now().after(WRITE_RETRY);
                let kind = match error {
                    PlatformError::NoAnswer { .. } => "no-answer",
                    PlatformError::Unreachable { .. } => "unreachable",
                    _ => "refused",
                };
                self.parts.metrics.count_store_failure(kind);
                warn!(self.parts.logger, "records not written"; "jobs" => batch.records.len(), "error" => %error);
            }
        }
    }

    /// Takes rows of jobs. While renewals fail, new jobs wait: a successor may run them.
    fn take_jobs(&mut self, event: TableEvent) {
        let is_snapshot = matches!(event, TableEvent::Snapshot(_));
        let (TableEvent::Snapshot(rows) | TableEvent::Changes(rows)) = event;
        let policy = &self.parts.policy;
        if is_snapshot && !self.is_loaded {
            info!(self.parts.logger, "jobs loaded"; "rows" => rows.len());
            self.intake.take(rows, &mut self.dispatcher);
            self.is_loaded = true;
        } else if self
            .parts
            .lease
            .is_younger(policy.expiry.saturating_sub(policy.renewal))
        {
            self.intake.take(rows, &mut self.dispatcher);
        } else {
            self.intake.waiting.extend(rows);
        }
    }

    fn take_workers(&mut self, event: TableEvent) {
        let now = BootClock.now();
        match event {
            TableEvent::Snapshot(rows) => {
                let listed: HashSet<InstanceName> =
                    rows.iter().map(|row| InstanceName::new(&row.key)).collect();
                for name in self.dispatcher.worker_names() {
                    if !listed.contains(&name) {
                        self.unlist(&name);
                    }
                }
                for row in rows {
                    self.take_worker(&row, now);
                }
            }
            TableEvent::Changes(rows) => {
                for row in rows {
                    if row.is_deleted {
                        self.unlist(&InstanceName::new(&row.key));
                    } else {
                        self.take_worker(&row, now);
                    }
                }
            }
        }
    }

    fn take_worker(&mut self, row: &StoreRow, now: TimePoint) {
        let report = match (self.parts.rows.worker)(row) {
            Ok(report) => report,
            Err(problem) => {
                warn!(self.parts.logger, "row left out"; "problem" => %problem, "row" => row.version);
                return;
            }
        };
        info!(self.parts.logger, "worker listed"; "worker" => %report.name, "machine" => report.machine.as_ref().map(ToString::to_string), "pool" => %report.pool, "state" => ?report.state, "boot" => report.boot, "row" => row.version);
        let (key, is_new) = self.dispatcher.set_worker(report, now);
        if is_new {
            self.links.open(key, self.parts.policy.order_lanes, now);
        }
    }

    fn unlist(&mut self, name: &InstanceName) {
        if self.dispatcher.unlist_worker(name).is_some() {
            info!(self.parts.logger, "worker no longer listed"; "worker" => %name);
        }
    }

    /// Ends the calls to workers that the dispatcher has forgotten.
    fn close_links(&mut self) {
        let gone: Vec<WorkerKey> = self
            .links
            .iter_mut()
            .map(|(key, _)| key)
            .filter(|key| self.dispatcher.worker(*key).is_none())
            .collect();
        for key in gone {
            self.links.remove(key);
        }
    }
}

impl Actor for OwnerActor {
    type Stop = ();

    async fn stopped(self) {}
}

impl Handler<OwnerEvent> for OwnerActor {
    type Return = ();

    async fn handle(&mut self, event: OwnerEvent, _ctx: &mut Context<Self>) {
        if self.ended.is_none() {
            return;
        }
        match event {
            OwnerEvent::Round => {
                self.round();
                self.close_links();
            }
            OwnerEvent::Retire => self.retire(),
            OwnerEvent::Jobs(event) => self.take_jobs(event),
            OwnerEvent::Workers(event) => self.take_workers(event),
            OwnerEvent::Held {
                key,
                link,
                sent,
                outcome,
            } => self.take_held(key, link, sent, outcome),
            OwnerEvent::Started {
                key,
                task,
                run,
                outcome,
            } => {
                self.parts
                    .metrics
                    .count_start(&format!("{outcome:?}").to_lowercase());
                self.dispatcher
                    .note_start(key, task, run, outcome, BootClock.now());
                if outcome == sesamedeal_core::jobs::StartOutcome::Fenced {
                    self.step_down("a worker has seen a later epoch");
                }
            }
            OwnerEvent::Stopped {
                key,
                task,
                run,
                accepted,
            } => {
                if accepted {
                    self.dispatcher.note_stop(key, task, run, BootClock.now());
                } else {
                    self.step_down("a worker has seen a later epoch");
                }
            }
            OwnerEvent::Written {
                batch,
                sent,
                outcome,
            } => self.take_written(&batch, sent, outcome),
            OwnerEvent::Inventory { sent, outcome } => self.take_inventory(sent, outcome),
            OwnerEvent::Maintained {
                wave,
                instance,
                outcome,
            } => self.take_maintained(wave, &instance, outcome),
            OwnerEvent::Moved { instance, outcome } => self.take_moved(&instance, outcome),
            OwnerEvent::Advised {
                request,
                asked,
                outcome,
            } => self.take_advice(&request, asked, outcome),
            OwnerEvent::StatusWritten { wave, outcome } => self.take_status(wave, outcome),
        }
    }
}
