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
use super::pool_keeper::PoolKeeper;
use super::record_writer::RecordWriter;
use super::wave_keeper::WaveKeeper;
use super::worker_links::WorkerLinks;
use super::{HeartbeatView, OwnerEvent, OwnerPolicy};
use crate::ports::{AdvicePort, FleetPort, PeerPort, RowPort, StorePort};
use crate::{BootClock, DeploymentView, JobMetrics, StoreHealth};

/// Time between two log lines about the load of a pool.
const LOAD_PERIOD: Duration = Duration::from_secs(1);

/// What the owner is built from.
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
    pub(super) waves: WaveKeeper,
    pub(super) inventory: InventoryView,
    pub(super) pools: PoolKeeper,
    pub(super) intake: JobIntake,
    pub(super) links: WorkerLinks,
    pub(super) hand_over: HandOver,
    pub(super) health: OwnerHealth,
    pub(super) version: u64,
    pub(super) write_after: TimePoint,
    pub(super) loads_logged: TimePoint,
    /// What the last heartbeat shows of workers out of reach.
    pub(super) publication: Vec<UnreachableWorker>,
    /// Whether the stored jobs are known. Before that, runs at workers cannot be told apart from
    /// runs of jobs that have ended.
    pub(super) is_loaded: bool,
    pub(super) is_retiring: bool,
    /// Whether a larger instance is about to take the ownership.
    is_yielding: bool,
    /// Ends the ownership: when dropped, it is lost; otherwise it is yielded to an instance of the
    /// capacity that is sent.
    ended: Option<oneshot::Sender<InstanceCapacity>>,
}

impl OwnerActor {
    pub(crate) fn new(
        parts: OwnerParts,
        dispatcher: JobDispatcher,
        sender: CallSender,
        writer: RecordWriter,
        waves: WaveKeeper,
        mut intake: JobIntake,
        ended: oneshot::Sender<InstanceCapacity>,
    ) -> Self {
        let surges = std::mem::take(&mut intake.earlier_surges);
        let scaling = parts.policy.scaling.clone();
        Self {
            inventory: InventoryView::new(parts.fleet.clone()),
            parts,
            dispatcher,
            sender,
            writer,
            waves,
            pools: PoolKeeper::new(scaling, &surges),
            intake,
            links: WorkerLinks::default(),
            hand_over: HandOver::default(),
            health: OwnerHealth::new(BootClock.now()),
            version: 0,
            write_after: TimePoint::ORIGIN,
            loads_logged: TimePoint::ORIGIN,
            publication: Vec::new(),
            is_loaded: false,
            is_retiring: false,
            is_yielding: false,
            ended: Some(ended),
        }
    }

    /// Makes a call and lets this owner react to its outcome, if it still owns the pools then.
    pub(super) fn react<T: Send + 'static>(
        &self,
        call: impl Future<Output = T> + Send + 'static,
        wrap: impl FnOnce(T) -> OwnerEvent + Send + 'static,
    ) {
        let owner = self.sender.owner.clone();
        tokio::spawn(async move {
            let event = wrap(call.await);
            // The owner has gone when the ownership was lost.
            drop(owner.send(event).await);
        });
    }

    /// Gives the ownership up.
    pub(super) fn step_down(&mut self, reason: &str) {
        self.parts.lease.lose();
        self.is_yielding = false;
        if self.ended.take().is_some() {
            warn!(self.parts.logger, "ownership lost"; "epoch" => self.parts.lease.epoch, "reason" => reason);
        }
    }

    /// Lets a much larger instance take the ownership.
    pub(super) fn yield_to(&mut self, capacity: InstanceCapacity) {
        let Some(ended) = self.ended.take() else {
            return;
        };
        let own = self.parts.peers.capacity;
        info!(self.parts.logger, "ownership yielded"; "epoch" => self.parts.lease.epoch, "own" => ?own, "larger" => ?capacity);
        // Events still count until the ownership is released.
        self.is_yielding = true;
        if ended.send(capacity).is_err() {
            info!(self.parts.logger, "the process is stopping"; "epoch" => self.parts.lease.epoch);
        }
    }

    pub(super) fn round(&mut self) {
        if !self.parts.lease.is_younger(self.parts.policy.extension) {
            self.step_down("not renewed in time");
            return;
        }
        let now = BootClock.now();
        self.note_round(now);
        self.note_ages(now);
        self.take_rules();
        self.read_inventory(false, now);
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
        self.seek_successor(now);
        self.parts
            .metrics
            .set_open_jobs(self.dispatcher.open_jobs());
    }

    fn log_loads(&mut self, now: TimePoint) {
        if now.since(self.loads_logged) < LOAD_PERIOD {
            return;
        }
        self.loads_logged = now;
        for (pool, load) in self.dispatcher.pool_loads(now) {
            info!(self.parts.logger, "pool load"; "pool" => %pool, "workers" => load.workers, "usable" => load.usable, "capacity" => load.capacity, "lasting" => load.long_running, "ending" => load.batch, "waiting" => load.waiting, "arriving" => load.arriving, "backlog" => load.backlog, "waiting_tasks" => load.waiting_tasks);
        }
    }

    /// Length of the leases that are asked for. A successor needs time when this owner retires or
    /// cannot renew.
    pub(super) fn lease(&self) -> Duration {
        let is_fresh = self.parts.lease.is_younger(self.parts.policy.renewal * 2);
        if is_fresh && !self.is_retiring {
            self.parts.dispatch.lease
        } else {
            self.parts.dispatch.max_lease
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
                self.round();
                self.close_links();
            }
            OwnerEvent::Retire => self.retire(),
            OwnerEvent::Searched { is_larger, outcome } => self.take_searched(is_larger, outcome),
            OwnerEvent::Offered(outcome) => self.take_offered(outcome),
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
            OwnerEvent::PartitionsChecked(closed) => self.take_checked(closed),
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
