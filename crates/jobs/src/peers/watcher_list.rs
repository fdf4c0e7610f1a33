use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use futures::{SinkExt, StreamExt};
use parking_lot::Mutex;
use rand::seq::SliceRandom;
use slog::{Logger, debug, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::peer_message::{PeerMessage, framed};
use crate::ports::OfferEnd;

/// Time within which a watcher answers an offer. It reads and writes the store meanwhile.
const OFFER_DEADLINE: Duration = Duration::from_millis(400);

/// Watchers that are asked in one attempt, one after another.
const OFFERS_PER_ATTEMPT: usize = 3;

/// Offers that may wait for a connection.
const OFFER_QUEUE: usize = 1;

/// Pause after a failure to accept, for example when no file descriptors are left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// An epoch that is offered, and where the answer goes.
type PendingOffer = (u64, oneshot::Sender<bool>);

/// Entry instances that watch this one.
#[derive(Debug, Clone, Default)]
pub struct WatcherList {
    senders: Arc<Mutex<HashMap<u64, mpsc::Sender<PendingOffer>>>>,
}

impl WatcherList {
    /// Accepts watchers. A closed connection is the sign that the process has ended, so that it
    /// serves until then.
    pub async fn serve(self, listener: TcpListener, logger: Logger) {
        // Connections end with this task.
        let mut connections = JoinSet::new();
        for number in 0_u64.. {
            while connections.try_join_next().is_some() {}
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    warn!(logger, "watcher not accepted"; "error" => %error);
                    sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            let (sender, offers) = mpsc::channel(OFFER_QUEUE);
            self.senders.lock().insert(number, sender);
            let (list, logger) = (self.clone(), logger.clone());
            connections.spawn(async move {
                let reason = serve_watcher(stream, offers, &logger).await;
                list.senders.lock().remove(&number);
                debug!(logger, "watcher gone"; "reason" => reason);
            });
        }
    }

    /// Offers the ownership under an epoch to a few watchers, in an order at random, until one has
    /// taken it.
    pub(super) async fn offer(&self, epoch: u64) -> OfferEnd {
        let mut senders: Vec<mpsc::Sender<PendingOffer>> =
            self.senders.lock().values().cloned().collect();
        senders.shuffle(&mut rand::rng());
        let mut end = OfferEnd::Refused;
        for sender in senders.into_iter().take(OFFERS_PER_ATTEMPT) {
            let (reply, answer) = oneshot::channel();
            if sender.try_send((epoch, reply)).is_err() {
                continue;
            }
            match timeout(OFFER_DEADLINE, answer).await {
                Ok(Ok(true)) => return OfferEnd::Taken,
                Ok(Ok(false)) => {}
                Ok(Err(_)) | Err(_) => end = OfferEnd::Unknown,
            }
        }
        end
    }
}

/// Passes offers to a watcher and answers back, until the connection ends.
async fn serve_watcher(
    stream: TcpStream,
    mut offers: mpsc::Receiver<PendingOffer>,
    logger: &Logger,
) -> &'static str {
    let mut frames = framed(stream);
    let mut pending: Option<PendingOffer> = None;
    loop {
        tokio::select! {
            Some((epoch, reply)) = offers.recv() => {
                let Ok(offer) = (PeerMessage::Offer { epoch }).encode() else {
                    return "an offer could not be encoded";
                };
                pending = Some((epoch, reply));
                if frames.send(offer).await.is_err() {
                    return "the connection broke";
                }
            }
            frame = frames.next() => {
                let Some(Ok(frame)) = frame else {
                    return "the connection ended";
                };
                let Ok(PeerMessage::Answer { epoch, is_taken }) = PeerMessage::decode(&frame) else {
                    return "an unusable message";
                };
                if let Some((offered, reply)) = pending.take()
                    && offered == epoch
                    && reply.send(is_taken).is_err()
                {
                    debug!(logger, "an offer was answered too late"; "epoch" => epoch, "is_taken" => is_taken);
                }
            }
        }
    }
}
