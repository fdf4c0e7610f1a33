use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use rand::RngExt;
use sesamedeal_core::ids::SessionId;
use sesamedeal_core::scheduler::{JobScheduler, SchedulerPolicy};
use sesamedeal_store::PlatformClient;
use slog::{Logger, info};
use tokio::sync::mpsc;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep};
use xtra::{Address, Mailbox, WeakAddress};

use super::{BodyBudget, JobService, Router};
use crate::admin::AdminService;
use crate::backend::BackendClient;
use crate::claims::ClaimDesk;
use crate::clock::ProcessClock;
use crate::dispatch::{
    CancelList, DispatchActor, DispatchDesk, DispatchParts, EvidenceFlag, JobRunner,
    ShutdownSignal, StopTaking,
};
use crate::metrics::RequestMetrics;
use crate::peer::PeerService;
use crate::settings::DaemonSettings;
use crate::store::FleetView;
use crate::timer::{TimerService, TimerTicks};

/// Most messages that wait for the dispatcher; senders beyond it wait.
const MAILBOX_SIZE: usize = 65_536;

/// Time between two checks for deadlines that have passed.
const DRIVE_PERIOD: Duration = Duration::from_millis(10);

/// Time between two looks at the jobs that are still open during a shutdown.
const DRAIN_PERIOD: Duration = Duration::from_millis(10);

/// Part of the shutdown deadline that is kept for the last answers to be written.
const CLOSE_SHARE: f64 = 0.2;

/// What the request path needs from the rest of the process.
#[derive(Debug)]
pub(crate) struct PathParts<'a> {
    pub settings: &'a DaemonSettings,
    pub session: SessionId,
    pub clock: ProcessClock,
    pub timer: &'a TimerService,
    pub view: FleetView,
    pub client: PlatformClient,
    pub logger: Logger,
    /// Peers that the scheduler wants to exchange messages with.
    pub wanted: mpsc::Sender<SessionId>,
}

/// The way of jobs from callers to backend servers and back.
#[derive(Debug, Clone)]
pub(crate) struct RequestPath {
    jobs: JobService,
    dispatcher: Address<DispatchActor>,
}

impl RequestPath {
    /// Starts the dispatcher.
    pub(crate) fn start(parts: PathParts<'_>) -> Self {
        let settings = parts.settings;
        let dispatch = DispatchParts {
            session: parts.session,
            clock: parts.clock,
            backend: BackendClient::new(),
            cancels: CancelList::default(),
            evidence: EvidenceFlag::new(settings.list_lag),
            metrics: RequestMetrics::new(),
            logger: parts.logger,
            clock_margin: settings.clock_margin,
            wanted: parts.wanted,
        };
        let policy = SchedulerPolicy {
            max_queued: settings.max_queued,
            task_lease: settings.task_lease,
            clock_margin: settings.clock_margin,
            urgent_start: settings.urgent_start,
            ..SchedulerPolicy::new()
        };
        let scheduler = JobScheduler::new(parts.session, policy, rand::rng().random());
        let desk = DispatchDesk::new(scheduler, dispatch.clone());
        let actor = DispatchActor::new(desk.clone());
        let dispatcher = xtra::spawn_tokio(actor, Mailbox::bounded(MAILBOX_SIZE));
        let ticks = parts.timer.every(DRIVE_PERIOD);
        tokio::spawn(drive(dispatcher.downgrade(), desk.clone(), ticks));
        let cancels = dispatch.cancels.clone();
        tokio::spawn(cancel(dispatcher.downgrade(), desk.clone(), cancels));
        let claims = ClaimDesk {
            client: parts.client,
            session: parts.session,
            view: Arc::clone(&parts.view),
        };
        let jobs = JobService {
            view: parts.view,
            runner: JobRunner {
                desk,
                parts: dispatch,
                shutdown: ShutdownSignal::new(),
            },
            claims,
            budget: BodyBudget::default(),
            default_deadline: settings.caller_deadline,
            open: Arc::new(AtomicUsize::new(0)),
        };
        Self { jobs, dispatcher }
    }

    /// Address of the actor that owns the scheduler.
    pub(crate) fn dispatcher(&self) -> Address<DispatchActor> {
        self.dispatcher.clone()
    }

    /// Flag by which the judgement of the evidence reaches the request path.
    pub(crate) fn evidence(&self) -> EvidenceFlag {
        self.jobs.runner.parts.evidence.clone()
    }

    /// Router for the connections of callers.
    pub(crate) fn router(&self, peers: PeerService, admin: AdminService) -> Router {
        Router {
            jobs: self.jobs.clone(),
            peers,
            admin,
            remote: None,
        }
    }

    /// Takes no more jobs and waits until all callers have their answers. Callers whose jobs are
    /// open shortly before the deadline get their final answers then.
    pub(crate) async fn drain(&self, deadline: Duration) {
        let runner = &self.jobs.runner;
        let close_at = Instant::now() + deadline.mul_f64(1.0 - CLOSE_SHARE);
        runner.shutdown.start_draining();
        // An actor that has ended holds no jobs.
        drop(self.dispatcher.send(StopTaking).await);
        let mut open = self.jobs.open.load(Ordering::Acquire);
        info!(runner.parts.logger, "shutdown began"; "open jobs" => open);
        while open > 0 && Instant::now() < close_at {
            sleep(DRAIN_PERIOD).await;
            open = self.jobs.open.load(Ordering::Acquire);
        }
        info!(runner.parts.logger, "jobs have ended"; "given up" => open);
        runner.shutdown.close();
    }
}

/// Lets the scheduler handle deadlines that have passed, until the entry instance has ended.
async fn drive(path: WeakAddress<DispatchActor>, desk: DispatchDesk, mut ticks: TimerTicks) {
    while ticks.next().await.is_some() && path.is_connected() {
        desk.tick();
    }
}

/// Removes the jobs whose callers have gone, one batch after another.
async fn cancel(path: WeakAddress<DispatchActor>, desk: DispatchDesk, cancels: CancelList) {
    while path.is_connected() {
        cancels.wait().await;
        while desk.cancel_batch() {
            yield_now().await;
        }
    }
}
