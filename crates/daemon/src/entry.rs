use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use rand::RngExt;
use sesamedeal_core::fleet::FleetState;
use sesamedeal_core::ids::SessionId;
use sesamedeal_core::scheduler::{JobScheduler, SchedulerPolicy};
use sesamedeal_platform::{ChangeLog, PlatformClient, PlatformSettings};
use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use xtra::{Address, Mailbox};

use crate::clock::ProcessClock;
use crate::dispatch::{BackendClient, DispatchActor, DriveQueue, JobRunner};
use crate::error::{ListenSnafu, Result, SignalSnafu};
use crate::http::{Router, serve};
use crate::settings::DaemonSettings;
use crate::store::{FleetView, StateFollower};
use crate::timer::TimerService;

/// Most messages that wait for the dispatcher; senders beyond it wait.
const MAILBOX_SIZE: usize = 65_536;

/// Time between two checks for deadlines that have passed.
const DRIVE_PERIOD: Duration = Duration::from_millis(10);

/// A running entry instance.
#[derive(Debug)]
pub struct EntryInstance {
    address: SocketAddr,
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
        let dispatcher = start_dispatcher(clock, &timer);
        let view = FleetView::new(ArcSwap::from_pointee(FleetState::default()));
        let client = PlatformClient::new(PlatformSettings::new(settings.platform.to_string()));
        let follower = StateFollower {
            log: ChangeLog::new(client),
            view: Arc::clone(&view),
            dispatcher: dispatcher.clone(),
        };
        tokio::spawn(follower.run(timer));
        let runner = JobRunner {
            dispatcher,
            backend: BackendClient::new(),
            clock,
        };
        let (stop, stopped) = watch::channel(false);
        let server = tokio::spawn(serve(listener, Router { view, runner }, stopped));
        Ok(Self {
            address,
            stop,
            server,
        })
    }

    /// IP address and port that callers reach.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting requests and waits until open ones have ended.
    pub async fn shut_down(self) {
        self.stop.send_replace(true);
        // A panic of the server task has already been reported by the runtime.
        drop(self.server.await);
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

fn start_dispatcher(clock: ProcessClock, timer: &TimerService) -> Address<DispatchActor> {
    let session = SessionId(rand::rng().random());
    let scheduler = JobScheduler::new(session, SchedulerPolicy::new(), rand::rng().random());
    let actor = DispatchActor::new(scheduler, clock);
    let dispatcher = xtra::spawn_tokio(actor, Mailbox::bounded(MAILBOX_SIZE));
    let mut ticks = timer.every(DRIVE_PERIOD);
    let weak = dispatcher.downgrade();
    tokio::spawn(async move {
        while ticks.next().await.is_some() {
            let Some(address) = weak.try_upgrade() else {
                return;
            };
            if address.send(DriveQueue).await.is_err() {
                return;
            }
        }
    });
    dispatcher
}
