use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use arc_swap::ArcSwap;
use parking_lot::Mutex;
use rand::RngExt;
use sesamedeal_core::fleet::FleetState;
use sesamedeal_core::ids::{InstanceName, SessionId};
use sesamedeal_core::membership::SessionState;
use sesamedeal_core::scheduler::{JobScheduler, SchedulerPolicy};
use sesamedeal_platform::{ChangeLog, PlatformClient, PlatformSettings};
use slog::{Logger, info, o, warn};
use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{Instant, sleep, timeout_at};
use xtra::{Address, Mailbox};

use crate::admin::AdminService;
use crate::clock::ProcessClock;
use crate::control::{ControlTick, ControllerActor};
use crate::control_traffic::ControlTraffic;
use crate::dispatch::{
    BackendClient, BeginShutdown, DispatchActor, DriveQueue, JobRunner, ReadProgress,
};
use crate::entry_context::EntryContext;
use crate::error::{ListenSnafu, Result, SignalSnafu};
use crate::http::{Router, serve};
use crate::peer::{PeerClient, PeerLoop, PeerService, PeerTable, PeerTraffic};
use crate::session::SessionWriter;
use crate::settings::DaemonSettings;
use crate::store::{EvidenceGate, FleetView, StateFollower, StateKeeper};
use crate::timer::TimerService;

/// Most messages that wait for the dispatcher; senders beyond it wait.
const MAILBOX_SIZE: usize = 65_536;

/// Most steps that wait for the controller. A slow step lets ticks lapse instead of queueing them.
const CONTROL_MAILBOX_SIZE: usize = 1;

/// Exchanges that the scheduler may ask for ahead of the peer loop.
const WANTED_EXCHANGES: usize = 64;

/// Time between two checks for deadlines that have passed.
const DRIVE_PERIOD: Duration = Duration::from_millis(10);

/// Time between two ticks of the pause detection. It is well below the gap of 1 s that counts as
/// a pause, so that a busy machine does not look like a paused process.
const PAUSE_PERIOD: Duration = Duration::from_millis(100);

/// A running entry instance.
#[derive(Debug)]
pub struct EntryInstance {
    context: Arc<EntryContext>,
    stop: watch::Sender<bool>,
    server: JoinHandle<()>,
    session: JoinHandle<()>,
    loops: JoinSet<()>,
}

impl EntryInstance {
    /// Starts an entry instance that writes no logs.
    ///
    /// # Errors
    ///
    /// Fails when the listening address cannot be bound.
    pub async fn start(settings: DaemonSettings) -> Result<Self> {
        Self::start_with_logger(settings, Logger::root(slog::Discard, o!())).await
    }

    /// Starts an entry instance.
    ///
    /// # Errors
    ///
    /// Fails when the listening address cannot be bound.
    pub async fn start_with_logger(settings: DaemonSettings, logger: Logger) -> Result<Self> {
        let address = settings.listen;
        let listener = TcpListener::bind(address)
            .await
            .context(ListenSnafu { address })?;
        let address = listener.local_addr().context(ListenSnafu { address })?;
        let (wanted, wanted_receiver) = mpsc::channel(WANTED_EXCHANGES);
        let view = FleetView::new(ArcSwap::from_pointee(FleetState::default()));
        let context = context(settings, logger, address, Arc::clone(&view), wanted);
        let peers = PeerClient::new(context.settings.peer_deadline, context.traffic.clone());
        let mut loops = JoinSet::new();
        start_ticks(&mut loops, &context);
        let follower = StateFollower {
            context: Arc::clone(&context),
            peers: peers.clone(),
        };
        loops.spawn(follower.run());
        let exchanges = PeerLoop {
            context: Arc::clone(&context),
            client: peers,
            wanted: wanted_receiver,
        };
        loops.spawn(exchanges.run());
        let session = tokio::spawn(SessionWriter::new(Arc::clone(&context)).run());
        let router = Router {
            view,
            runner: JobRunner {
                dispatcher: context.dispatcher.clone(),
                backend: BackendClient::new(),
                clock: context.clock,
            },
            peers: PeerService {
                context: Arc::clone(&context),
            },
            admin: AdminService {
                context: Arc::clone(&context),
            },
            remote: None,
        };
        let (stop, stopped) = watch::channel(false);
        let server = tokio::spawn(serve(listener, router, stopped));
        info!(context.logger, "started"; "address" => %address);
        Ok(Self {
            context,
            stop,
            server,
            session,
            loops,
        })
    }

    /// IP address and port that callers reach.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.context.address
    }

    /// Session of this run.
    #[must_use]
    pub fn session(&self) -> SessionId {
        self.context.session
    }

    /// Bytes and calls of control since the start.
    #[must_use]
    pub fn control_traffic(&self) -> ControlTraffic {
        self.context.control_traffic()
    }

    /// Leaves the fleet: becomes not ready, finishes or rejects its work and marks its session as
    /// left, within the shutdown deadline.
    pub async fn shut_down(mut self) {
        let context = Arc::clone(&self.context);
        let deadline = Instant::now() + context.settings.shutdown_deadline;
        context.phase.send_replace(SessionState::Leaving);
        self.stop.send_replace(true);
        // An actor that has ended holds no jobs.
        drop(context.dispatcher.send(BeginShutdown).await);
        let finished = timeout_at(deadline, async {
            // A panic of the server task has already been reported by the runtime.
            drop((&mut self.server).await);
            wait_idle(&context).await;
            context.phase.send_replace(SessionState::Left);
            drop((&mut self.session).await);
        });
        if finished.await.is_err() {
            warn!(context.logger, "shutdown deadline passed");
        }
        info!(context.logger, "stopped");
        self.kill().await;
    }

    /// Drops everything without a goodbye, as the death of the process would.
    pub async fn kill(mut self) {
        self.server.abort();
        self.session.abort();
        self.loops.shutdown().await;
        for task in [&mut self.server, &mut self.session] {
            // A finished task may have been awaited before, which is possible only once.
            if !task.is_finished() {
                // A task that was aborted ends with an error, which is expected here.
                drop(task.await);
            }
        }
    }

    /// Runs until the process is asked to stop.
    ///
    /// # Errors
    ///
    /// Fails when signals cannot be received.
    pub async fn run_until_signal(self) -> Result<()> {
        let mut terminate = signal(SignalKind::terminate()).context(SignalSnafu)?;
        let mut interrupt = signal(SignalKind::interrupt()).context(SignalSnafu)?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        self.shut_down().await;
        Ok(())
    }
}

/// Waits until no attempt holds units.
async fn wait_idle(context: &EntryContext) {
    while let Ok(progress) = context.dispatcher.send(ReadProgress).await {
        if progress.running == 0 {
            return;
        }
        sleep(DRIVE_PERIOD).await;
    }
}

fn context(
    settings: DaemonSettings,
    logger: Logger,
    listened: SocketAddr,
    view: FleetView,
    wanted: mpsc::Sender<SessionId>,
) -> Arc<EntryContext> {
    let session = SessionId(rand::rng().random());
    let address = settings.advertise.unwrap_or(listened);
    let instance = settings.instance.clone();
    let instance = instance.unwrap_or_else(|| InstanceName::new(address.to_string()));
    let logger = logger.new(o!("session" => session.to_string()));
    let clock = ProcessClock::new();
    let client = PlatformClient::new(PlatformSettings {
        call_deadline: settings.store_deadline,
        ..PlatformSettings::new(settings.platform.to_string())
    });
    let dispatcher = start_dispatcher(session, &settings, clock, wanted);
    let gate = EvidenceGate::new(session, settings.evidence, clock, Arc::clone(&view));
    let keeper = StateKeeper::new(view, gate.clone(), dispatcher.clone(), logger.clone());
    Arc::new(EntryContext {
        session,
        instance,
        address,
        clock,
        timer: TimerService::new(rand::rng().random()),
        logger,
        log: ChangeLog::new(client.clone()),
        client,
        dispatcher,
        gate,
        keeper,
        peers: PeerTable::new(session, settings.peers.clone()),
        traffic: PeerTraffic::default(),
        store_up: AtomicBool::new(false),
        lease: Mutex::new(None),
        phase: watch::Sender::new(SessionState::Active),
        changed: Notify::new(),
        settings,
    })
}

fn start_dispatcher(
    session: SessionId,
    settings: &DaemonSettings,
    clock: ProcessClock,
    wanted: mpsc::Sender<SessionId>,
) -> Address<DispatchActor> {
    let policy = SchedulerPolicy {
        max_queued: settings.max_queued,
        task_lease: settings.task_lease,
        clock_margin: settings.clock_margin,
    };
    let scheduler = JobScheduler::new(session, policy, rand::rng().random());
    let actor = DispatchActor::new(scheduler, clock, wanted);
    xtra::spawn_tokio(actor, Mailbox::bounded(MAILBOX_SIZE))
}

/// Starts the ticks of the dispatcher, the controller and the pause detection.
fn start_ticks(loops: &mut JoinSet<()>, context: &Arc<EntryContext>) {
    let dispatcher = context.dispatcher.clone();
    let mut ticks = context.timer.every(DRIVE_PERIOD);
    loops.spawn(async move {
        while ticks.next().await.is_some() {
            if dispatcher.send(DriveQueue).await.is_err() {
                return;
            }
        }
    });
    let actor = ControllerActor::new(Arc::clone(context));
    let mailbox = Mailbox::bounded(CONTROL_MAILBOX_SIZE);
    let (controller, mailbox) = mailbox;
    loops.spawn(xtra::run(mailbox, actor));
    let mut ticks = context.timer.every(context.settings.controller_period);
    loops.spawn(async move {
        while ticks.next().await.is_some() {
            if controller.send(ControlTick).await.is_err() {
                return;
            }
        }
    });
    let context = Arc::clone(context);
    let mut ticks = context.timer.every(PAUSE_PERIOD);
    loops.spawn(async move {
        while ticks.next().await.is_some() {
            if context.gate.tick() {
                warn!(
                    context.logger,
                    "process was paused; evidence is void until renewed"
                );
                context.changed.notify_one();
            }
        }
    });
}
