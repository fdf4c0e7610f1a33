use std::net::SocketAddr;
use std::time::Duration;

use slog::{Logger, debug, info};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::ports::{HandOverOffer, PeerPort, WatchCall, WatchOutcome};

/// Pause before reconnecting to an owner after the connection to it has ended.
const RECONNECT_PAUSE: Duration = Duration::from_millis(30);

/// Watches the process of the current owner.
#[derive(Debug)]
pub(super) struct OwnerWatch {
    peers: PeerPort,
    offer_sender: mpsc::Sender<HandOverOffer>,
    exit_sender: mpsc::Sender<u64>,
    logger: Logger,
    epoch: u64,
    task: Option<JoinHandle<()>>,
}

impl OwnerWatch {
    /// `offer_sender` receives the offers of owners, `exit_sender` the epochs whose owner's process
    /// has exited.
    pub(super) const fn new(
        peers: PeerPort,
        offer_sender: mpsc::Sender<HandOverOffer>,
        exit_sender: mpsc::Sender<u64>,
        logger: Logger,
    ) -> Self {
        Self {
            peers,
            offer_sender,
            exit_sender,
            logger,
            epoch: 0,
            task: None,
        }
    }

    /// Watches the owner under `epoch` instead of a previous one.
    pub(super) fn watch_epoch(&mut self, epoch: u64, address: SocketAddr) {
        if epoch == self.epoch || address == self.peers.own {
            return;
        }
        if let Some(task) = self.task.take() {
            task.abort();
        }
        self.epoch = epoch;
        let watch = watch_owner(
            self.peers.clone(),
            WatchCall {
                address,
                offers: self.offer_sender.clone(),
            },
            epoch,
            self.exit_sender.clone(),
            self.logger.clone(),
        );
        self.task = Some(tokio::spawn(watch));
    }
}

impl Drop for OwnerWatch {
    fn drop(&mut self) {
        if let Some(task) = self.task.take() {
            task.abort();
        }
    }
}

async fn watch_owner(
    peers: PeerPort,
    call: WatchCall,
    epoch: u64,
    exit_sender: mpsc::Sender<u64>,
    logger: Logger,
) {
    let address = call.address;
    while !matches!(
        (peers.watch)(call.clone()).await,
        Ok(WatchOutcome::ProcessEnded)
    ) {
        sleep(RECONNECT_PAUSE).await;
    }
    info!(logger, "process of the owner has exited"; "epoch" => epoch, "address" => %address);
    if exit_sender.send(epoch).await.is_err() {
        debug!(logger, "this instance no longer competes for the ownership"; "epoch" => epoch);
    }
}
