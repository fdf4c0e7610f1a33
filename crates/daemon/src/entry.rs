use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use rand::RngExt;
use sesamedeal_core::fleet::FleetState;
use sesamedeal_core::ids::SessionId;
use sesamedeal_platform::{ChangeLog, PlatformClient, PlatformSettings};
use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout_at};

use crate::clock::ProcessClock;
use crate::error::{ListenSnafu, Result, SignalSnafu};
use crate::http::{PathParts, RequestPath, serve};
use crate::logging::root_logger;
use crate::settings::DaemonSettings;
use crate::store::{FleetView, StateFollower};
use crate::timer::TimerService;

/// A running entry instance.
#[derive(Debug)]
pub struct EntryInstance {
    address: SocketAddr,
    shutdown_deadline: Duration,
    path: RequestPath,
    stop: watch::Sender<bool>,
    server: JoinHandle<()>,
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
        let clock = ProcessClock::new();
        let timer = TimerService::new(rand::rng().random());
        let view = FleetView::new(ArcSwap::from_pointee(FleetState::default()));
        let client = PlatformClient::new(PlatformSettings::new(settings.platform.to_string()));
        let path = RequestPath::start(PathParts {
            settings: &settings,
            session: SessionId(rand::rng().random()),
            clock,
            timer: &timer,
            view: Arc::clone(&view),
            client: client.clone(),
            logger: root_logger(settings.log_level, settings.log_format),
        });
        let follower = StateFollower {
            log: ChangeLog::new(client),
            view,
            dispatcher: path.dispatcher(),
            evidence: path.evidence(),
            clock,
        };
        tokio::spawn(follower.run(timer));
        let (stop, stopped) = watch::channel(false);
        let server = tokio::spawn(serve(listener, path.router(), stopped));
        Ok(Self {
            address,
            shutdown_deadline: settings.shutdown_deadline,
            path,
            stop,
            server,
        })
    }

    /// IP address and port that callers reach.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes no more jobs, and ends when open ones have ended or the deadline has passed.
    pub async fn shut_down(self) {
        let ends_by = Instant::now() + self.shutdown_deadline;
        self.path.drain(self.shutdown_deadline).await;
        self.stop.send_replace(true);
        // A panic of the server task has already been reported by the runtime.
        drop(timeout_at(ends_by, self.server).await);
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
