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
use sesamedeal_store::{ChangeLog, PlatformClient, PlatformSettings};
use slog::{info, o, warn};
use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{Instant, timeout_at};
use xtra::Mailbox;

use crate::admin::AdminService;
use crate::clock::ProcessClock;
use crate::control::{ControlTick, ControllerActor, HealthLoop, tick_period};
use crate::control_traffic::ControlTraffic;
use crate::entry_context::EntryContext;
use crate::entry_shutdown::{hand_over_units, wait_idle};
use crate::error::{ListenSnafu, Result, SignalSnafu};
use crate::http::{PathParts, RequestPath, serve};
use crate::logging::root_logger;
use crate::peer::{PeerClient, PeerLoop, PeerService, PeerTable, PeerTraffic};
use crate::session::SessionWriter;
use crate::settings::DaemonSettings;
use crate::store::{EvidenceGate, FleetView, StateFollower, StateKeeper};
use crate::timer::TimerService;

/// Most steps that wait for the controller. A slow step lets ticks lapse instead of queueing them.
const CONTROL_MAILBOX_SIZE: usize = 1;

/// Exchanges that the scheduler may ask for ahead of the peer loop.
const WANTED_EXCHANGES: usize = 64;

/// Time between two ticks of the pause detection. It is well below the gap of 1 s that counts as
/// a pause, so that a busy machine does not look like a paused process.
const PAUSE_PERIOD: Duration = Duration::from_millis(100);

/// A running entry instance.
#[derive(Debug)]
pub struct EntryInstance {
    context: Arc<EntryContext>,
    path: RequestPath,
    stop: watch::Sender<bool>,
    server: JoinHandle<()>,
    session: JoinHandle<()>,
    loops: JoinSet<()>,
}

impl EntryInstance {
    /// Starts an entry instance.
    ///
    /// # Errors
    ///
    /// Fails when the listening address cannot be bound.
    pub async fn start(settings: DaemonSettings) -> Result<Self> {
        let address = settings.listen;
        let listener = TcpListener::bind(address)
            .await
            .context(ListenSnafu { address })?;
        let address = listener.local_addr().context(ListenSnafu { address })?;
        let (wanted, wanted_receiver) = mpsc::channel(WANTED_EXCHANGES);
        let (context, path) = context(settings, address, wanted);
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
            client: peers.clone(),
            wanted: wanted_receiver,
        };
        loops.spawn(exchanges.run());
        let health = HealthLoop {
            context: Arc::clone(&context),
            peers,
        };
        loops.spawn(health.run());
        let session = tokio::spawn(SessionWriter::new(Arc::clone(&context)).run());
        let service = PeerService {
            context: Arc::clone(&context),
        };
        let admin = AdminService {
            context: Arc::clone(&context),
        };
        let router = path.router(service, admin);
        let (stop, stopped) = watch::channel(false);
        let server = tokio::spawn(serve(listener, router, stopped));
        info!(context.logger, "started"; "address" => %address);
        Ok(Self {
            context,
            path,
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
        let limit = context.settings.shutdown_deadline;
        let deadline = Instant::now() + limit;
        context.phase.send_replace(SessionState::Leaving);
        let finished = timeout_at(deadline, async {
            self.path.drain(limit).await;
            self.stop.send_replace(true);
            // A panic of the server task has already been reported by the runtime.
            drop((&mut self.server).await);
            wait_idle(&context).await;
            hand_over_units(&context).await;
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

fn context(
    settings: DaemonSettings,
    listened: SocketAddr,
    wanted: mpsc::Sender<SessionId>,
) -> (Arc<EntryContext>, RequestPath) {
    let session = SessionId(rand::rng().random());
    let address = settings.advertise.unwrap_or(listened);
    let instance = settings.instance.clone();
    let instance = instance.unwrap_or_else(|| InstanceName::new(address.to_string()));
    let logger = root_logger(settings.log_level, settings.log_format);
    let logger = logger.new(o!("session" => session.to_string()));
    let clock = ProcessClock::new();
    let timer = TimerService::new(rand::rng().random());
    let view = FleetView::new(ArcSwap::from_pointee(FleetState::default()));
    let client = PlatformClient::new(PlatformSettings {
        call_deadline: settings.store_deadline,
        ..PlatformSettings::new(settings.platform.to_string())
    });
    let path = RequestPath::start(PathParts {
        settings: &settings,
        session,
        clock,
        timer: &timer,
        view: Arc::clone(&view),
        client: client.clone(),
        logger: logger.clone(),
        wanted,
    });
    let dispatcher = path.dispatcher();
    let gate = EvidenceGate::new(
        session,
        settings.evidence,
        clock,
        Arc::clone(&view),
        path.evidence(),
    );
    let keeper = StateKeeper::new(
        view,
        gate.clone(),
        dispatcher.clone(),
        logger.clone(),
        settings.utc_offset_minutes,
    );
    let context = EntryContext {
        session,
        instance,
        address,
        clock,
        timer,
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
        health: Mutex::default(),
        phase: watch::Sender::new(SessionState::Active),
        changed: Notify::new(),
        settings,
    };
    (Arc::new(context), path)
}

/// Starts the ticks of the controller and the pause detection.
fn start_ticks(loops: &mut JoinSet<()>, context: &Arc<EntryContext>) {
    let actor = ControllerActor::new(Arc::clone(context));
    let mailbox = Mailbox::bounded(CONTROL_MAILBOX_SIZE);
    let (controller, mailbox) = mailbox;
    loops.spawn(xtra::run(mailbox, actor));
    let mut ticks = context.timer.every(tick_period(&context.settings));
    loops.spawn(async move {
        while ticks.next().await.is_some() {
            if controller.send(ControlTick).await.is_err() {
                return;
            }
        }
    });
    loops.spawn(judge_evidence(Arc::clone(context)));
}

/// Passes the verdict on the evidence to the request path.
async fn judge_evidence(context: Arc<EntryContext>) {
    let mut ticks = context.timer.every(PAUSE_PERIOD);
    let mut last = None;
    while ticks.next().await.is_some() {
        if context.gate.tick() {
            warn!(
                context.logger,
                "process was paused; evidence is void until renewed"
            );
            context.changed.notify_one();
        }
        let verdict = context.gate.judge();
        if last.replace(verdict) != Some(verdict) {
            info!(context.logger, "evidence"; "verdict" => ?verdict);
        }
    }
}
