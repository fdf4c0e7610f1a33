use std::sync::Arc;
use std::time::Duration;

use sesamedeal_core::ids::InstanceName;
use sesamedeal_core::jobs::{DispatchPolicy, JobDispatcher, UnreachableWorker};
use sesamedeal_core::lease::InstanceCapacity;
use sesamedeal_core::time::TimePoint;
use slog::{Logger, info, warn};
use tokio::sync::oneshot;
use xtra::{Actor, Context, Handler};

use super::call_sender::CallSender;
use super::hand_over::HandOver;
use super::inventory_view::InventoryView;
use super::job_intake::JobIntake;
use super::owner_health::OwnerHealth;
use super::owner_lease::OwnerLease;
use super::pool_scaler::PoolScaler;
use super::record_writer::RecordWriter;
use super::wave_runner::WaveRunner;
use super::worker_links::WorkerLinks;
use super::{HeartbeatView, OwnerEvent, OwnerPolicy};
use crate::feeds::EvacuationList;
use crate::ports::{AdvicePort, FleetPort, PeerPort, RowPort, StorePort};
use crate::{BootClock, DeploymentView, JobMetrics, StoreHealth};

/// Interval between log lines about the load of the pools.
const LOAD_LOG_PERIOD: Duration = Duration::from_secs(1);

/// Dependencies of an [`OwnerActor`].
#[derive(Debug)]
pub(crate) struct OwnerParts {
    pub node: InstanceName,
    pub policy: OwnerPolicy,
    pub dispatch: DispatchPolicy,
    pub lease: OwnerLease,
    pub store: StorePort,
    pub health: StoreHealth,
    pub fleet: FleetPort,
    pub advice: Option<AdvicePort>,
    pub peers: PeerPort,
    pub rows: RowPort,
    pub view: DeploymentView,
    pub evacuations: EvacuationList,
    pub heartbeat: HeartbeatView,
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
    pub(super) wave_runner: WaveRunner,
    pub(super) inventory: InventoryView,
    pub(super) pool_scaler: PoolScaler,
    pub(super) intake: JobIntake,
    pub(super) links: WorkerLinks,
    pub(super) hand_over: HandOver,
    pub(super) health: OwnerHealth,
    pub(super) rules_version: u64,
    pub(super) write_after: TimePoint,
    pub(super) last_load_log: TimePoint,
    /// Unreachable workers in the last heartbeat.
    pub(super) published_unreachable: Vec<UnreachableWorker>,
    /// Whether the stored jobs are loaded, except those of partitions that do not answer.
    pub(super) is_loaded: bool,
    pub(super) is_retiring: bool,
    /// Whether a larger instance is about to take the ownership.
    is_yielding: bool,
    /// Ends the ownership: dropping the sender means that it is lost, sending a capacity that it is
    /// yielded to an instance of that capacity.
    ended: Option<oneshot::Sender<InstanceCapacity>>,
}

impl OwnerActor {
    pub(crate) fn new(
        parts: OwnerParts,
        dispatcher: JobDispatcher,
        sender: CallSender,
        writer: RecordWriter,
        wave_runner: WaveRunner,
        mut intake: JobIntake,
        ended: oneshot::Sender<InstanceCapacity>,
    ) -> Self {
        let surges = std::mem::take(&mut intake.previous_surges);
        let scaling = parts.policy.scaling.clone();
        Self {
            inventory: InventoryView::new(parts.fleet.clone()),
            parts,
            dispatcher,
            sender,
            writer,
            wave_runner,
            pool_scaler: PoolScaler::new(scaling, &surges),
            intake,
            links: WorkerLinks::default(),
            hand_over: HandOver::default(),
            health: OwnerHealth::new(BootClock.now()),
            rules_version: 0,
            write_after: TimePoint::ORIGIN,
            last_load_log: TimePoint::ORIGIN,
            published_unreachable: Vec::new(),
            is_loaded: false,
            is_retiring: false,
            is_yielding: false,
            ended: Some(ended),
        }
    }

    /// Runs a call in the background and sends its outcome to this owner as an event.
    pub(super) fn spawn_call<T: Send + 'static>(
        &self,
        call: impl Future<Output = T> + Send + 'static,
        wrap: impl FnOnce(T) -> OwnerEvent + Send + 'static,
    ) {
        let owner = self.sender.owner.clone();
        tokio::spawn(async move {
            let event = wrap(call.await);
            // The owner's mailbox is closed once the ownership is lost.
            drop(owner.send(event).await);
        });
    }

    /// Ends the ownership without a release.
    pub(super) fn step_down(&mut self, reason: &str) {
        self.parts.lease.relinquish();
        self.is_yielding = false;
        if self.ended.take().is_some() {
            warn!(self.parts.logger, "ownership lost"; "epoch" => self.parts.lease.epoch, "reason" => reason);
        }
    }

    /// Yields the ownership to a much larger instance.
    pub(super) fn yield_to(&mut self, capacity: InstanceCapacity) {
        let Some(ended) = self.ended.take() else {
            return;
        };
        let own = self.parts.peers.capacity;
        info!(self.parts.logger, "ownership yielded"; "epoch" => self.parts.lease.epoch, "own" => ?own, "larger" => ?capacity);
        // Events are still handled until the ownership is released.
        self.is_yielding = true;
        if ended.send(capacity).is_err() {
            info!(self.parts.logger, "ownership not yielded: the process is stopping"; "epoch" => self.parts.lease.epoch);
        }
    }

    pub(super) fn run_round(&mut self) {
        if !self.parts.lease.is_recent(self.parts.policy.grace_period) {
            self.step_down("not renewed in time");
            return;
        }
        let now = BootClock.now();
        self.note_round(now);
        self.note_ages(now);
        self.update_rules();
        self.update_evacuations(now);
        self.read_inventory(false, now);
        if self.is_loaded {
            self.note_complete_jobs(now);
            let orders = self.dispatcher.plan(now, BootClock.unix_ms());
            for order in orders {
                self.send_order(order, now);
            }
            self.log_losses();
            self.log_reservations();
            self.log_placement_waits(now);
            self.log_abandoned_tasks();
            self.log_overloads();
            self.request_advice(now);
            self.send_holds(now);
            self.run_waves(now);
            self.log_loads(now);
        }
        self.write(now);
        self.search_successor(now);
        self.parts
            .metrics
            .set_open_jobs(self.dispatcher.open_jobs());
    }

    /// Logs and counts the runs that were lost since the last round.
    fn log_losses(&mut self) {
        for lost in self.dispatcher.take_lost_runs() {
            let reason = format!("{:?}", lost.reason);
            self.parts.metrics.count_lost_run(&reason.to_lowercase());
            info!(self.parts.logger, "run lost"; "task" => %lost.task, "run" => lost.run, "worker" => %lost.worker, "reason" => reason, "boot" => lost.boot, "was_listed" => lost.was_listed, "age_ms" => lost.age.as_millis(), "lost_together" => lost.lost_together);
        }
    }

    /// Logs the workers that have been kept free for a task since the last round.
    fn log_reservations(&mut self) {
        for entry in self.dispatcher.take_reservations() {
            info!(self.parts.logger, "worker reserved"; "task" => %entry.task, "worker" => %entry.worker, "wait_ms" => entry.wait.as_millis() as u64, "has_lapsed" => entry.has_lapsed);
        }
    }

    /// Logs and counts the tasks that were given up since the last round.
    fn log_abandoned_tasks(&mut self) {
        self.parts.metrics.set_suspects(self.dispatcher.suspects());
        for lost in self.dispatcher.take_abandoned_tasks() {
            self.parts.metrics.count_abandoned_task();
            warn!(self.parts.logger, "task given up: workers crashed under it"; "job" => %lost.task.step.job, "task" => %lost.task, "crashes" => lost.crashes.len(), "workers" => lost.worker_names(), "ends_job" => lost.ends_job);
        }
    }

    fn log_loads(&mut self, now: TimePoint) {
        if now.since(self.last_load_log) < LOAD_LOG_PERIOD {
            return;
        }
        self.last_load_log = now;
        let counts = self.dispatcher.suspect_counts();
        if counts.total > 0 {
            info!(self.parts.logger, "suspects"; "total" => counts.total, "unstored" => counts.unstored, "isolated" => counts.isolated, "planned" => counts.planned, "exhausted" => counts.exhausted);
        }
        for (pool, load) in self.dispatcher.pool_loads(now) {
            info!(self.parts.logger, "pool load"; "pool" => %pool, "workers" => load.workers, "usable" => load.usable, "outdated" => load.outdated, "reserved" => load.reserved, "capacity" => load.capacity, "lasting" => load.long_running, "ending" => load.batch, "waiting" => load.waiting, "expected" => load.expected, "waiting_tasks" => load.waiting_tasks);
        }
    }

    /// Length of the leases to request. A successor needs more time if this owner is retiring or
    /// cannot renew.
    pub(super) fn lease_length(&self) -> Duration {
        let is_fresh = self.parts.lease.is_recent(self.parts.policy.renewal * 2);
        if is_fresh && !self.is_retiring {
            self.parts.dispatch.lease
        } else {
            self.parts.dispatch.max_lease
        }
    }

    /// Extends the leases and stores the records before the ownership is released.
    fn retire(&mut self) {
        let now = BootClock.now();
        self.is_retiring = true;
        for (_, link) in self.links.iter_mut() {
            link.next_hold = now;
            link.store_deadline = now;
            link.is_calling = false;
        }
        self.send_holds(now);
        self.writer.sent = TimePoint::ORIGIN;
        self.write(now);
    }

    fn update_rules(&mut self) {
        if let Some(deployment) = self.parts.view.load()
            && deployment.version > self.rules_version
        {
            self.rules_version = deployment.version;
            self.dispatcher.set_rules(Arc::clone(&deployment.rules));
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
        if self.ended.is_none() && !self.is_yielding {
            return;
        }
        match event {
            OwnerEvent::Round => {
                self.run_round();
                self.close_links();
            }
            OwnerEvent::Retire => self.retire(),
            OwnerEvent::Searched { is_larger, outcome } => self.handle_search(is_larger, outcome),
            OwnerEvent::OfferEnded(outcome) => self.handle_offer_result(outcome),
            OwnerEvent::Loaded(partitions) => self.handle_loaded(partitions),
            OwnerEvent::Jobs(event) => self.handle_job_rows(event),
            OwnerEvent::Workers(event) => self.handle_worker_rows(event),
            OwnerEvent::Held {
                key,
                fence,
                sent,
                outcome,
            } => self.handle_hold_result(key, fence, sent, outcome),
            OwnerEvent::Started {
                key,
                fence,
                task,
                run,
                outcome,
            } => {
                self.parts.metrics.count_start(outcome);
                self.dispatcher
                    .note_start(key, task, run, outcome, BootClock.now());
                if outcome == sesamedeal_core::jobs::StartOutcome::Fenced {
                    self.handle_fenced(key, fence);
                }
            }
            OwnerEvent::Stopped {
                key,
                fence,
                task,
                run,
                accepted,
            } => {
                if accepted {
                    self.dispatcher.note_stop(key, task, run, BootClock.now());
                } else {
                    self.handle_fenced(key, fence);
                }
            }
            OwnerEvent::Written {
                number,
                sent,
                outcome,
            } => self.handle_write_result(number, sent, outcome),
            OwnerEvent::PartitionsChecked(report) => {
                self.handle_partition_check(report, BootClock.now());
            }
            OwnerEvent::Inventory { sent, outcome } => self.handle_inventory(sent, outcome),
            OwnerEvent::MaintenanceOrdered {
                wave,
                instance,
                outcome,
            } => self.handle_maintenance_result(wave, &instance, outcome),
            OwnerEvent::MoveOrdered { instance, outcome } => self.handle_move(&instance, outcome),
            OwnerEvent::Advised {
                request,
                sent,
                outcome,
            } => self.handle_advice(&request, sent, outcome),
            OwnerEvent::StatusWritten { wave, outcome } => self.handle_status_result(wave, outcome),
        }
    }
}
