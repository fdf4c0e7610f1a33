use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use futures::stream::FuturesUnordered;
use futures::{SinkExt, StreamExt};
use parking_lot::Mutex;
use rand::seq::SliceRandom;
use sesamedeal_core::lease::InstanceCapacity;
use slog::{Logger, debug, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::peer_message::{PeerMessage, framed};
use crate::ports::{OfferOutcome, ReadyWatcher, SuccessorQuery};

/// Time within which a watcher answers whether it could take the ownership. It reads the store
/// meanwhile, for at most 0.1 s.
const QUERY_DEADLINE: Duration = Duration::from_millis(200);

/// Time within which a watcher answers an offer. It reads and writes the store meanwhile.
const OFFER_DEADLINE: Duration = Duration::from_millis(400);

/// Watchers that are asked in one attempt.
const ASKED_PER_ATTEMPT: usize = 3;

/// Requests that may wait for a connection.
const REQUEST_QUEUE: usize = 1;

/// Pause after a failure to accept, for example when no file descriptors are left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Request to a watcher, and where the answer goes.
#[derive(Debug)]
struct WatcherRequest {
    epoch: u64,
    is_binding: bool,
    reply: oneshot::Sender<bool>,
}

/// A watcher that has said what it can carry.
#[derive(Debug, Clone)]
struct WatcherEntry {
    capacity: InstanceCapacity,
    requests: mpsc::Sender<WatcherRequest>,
}

/// Entry instances that watch this one.
#[derive(Debug, Clone, Default)]
pub struct WatcherList {
    entries: Arc<Mutex<HashMap<u64, WatcherEntry>>>,
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
            let (list, logger) = (self.clone(), logger.clone());
            connections.spawn(async move {
                let reason = list.serve_watcher(number, stream, &logger).await;
                list.entries.lock().remove(&number);
                debug!(logger, "watcher gone"; "reason" => reason);
            });
        }
    }

    /// Asks the largest watchers at the same time; the first that could take the ownership, if one
    /// answers in time.
    pub(super) async fn find_successor(&self, query: SuccessorQuery) -> Option<ReadyWatcher> {
        let asked = self.largest(query.larger_than).into_iter();
        let mut answers: FuturesUnordered<_> = asked
            .map(|(number, entry)| async move {
                let answer = request(&entry, query.epoch, false, QUERY_DEADLINE).await;
                let capacity = entry.capacity;
                (answer == Some(true)).then_some(ReadyWatcher { number, capacity })
            })
            .collect();
        while let Some(answer) = answers.next().await {
            if answer.is_some() {
                return answer;
            }
        }
        None
    }

    /// Offers the ownership under an epoch to a watcher.
    pub(super) async fn offer(&self, epoch: u64, number: u64) -> OfferOutcome {
        let entry = self.entries.lock().get(&number).cloned();
        let Some(entry) = entry else {
            return OfferOutcome::Refused;
        };
        match request(&entry, epoch, true, OFFER_DEADLINE).await {
            Some(true) => OfferOutcome::Taken,
            Some(false) => OfferOutcome::Refused,
            None => OfferOutcome::Unknown,
        }
    }

    /// The largest watchers, in an order at random among equals. With `larger_than`, only those that
    /// dwarf it.
    fn largest(&self, larger_than: Option<InstanceCapacity>) -> Vec<(u64, WatcherEntry)> {
        let entries = self.entries.lock();
        let suitable = entries.iter().filter(|(_, entry)| {
            larger_than.is_none_or(|own| own.is_much_smaller_than(entry.capacity))
        });
        let mut watchers: Vec<(u64, WatcherEntry)> = suitable
            .map(|(number, entry)| (*number, entry.clone()))
            .collect();
        drop(entries);
        watchers.shuffle(&mut rand::rng());
        watchers.sort_by_key(|(_, entry)| Reverse(entry.capacity));
        watchers.truncate(ASKED_PER_ATTEMPT);
        watchers
    }

    /// Passes requests to a watcher and answers back, until the connection ends.
    async fn serve_watcher(&self, number: u64, stream: TcpStream, logger: &Logger) -> &'static str {
        let mut frames = framed(stream);
        let (sender, mut requests) = mpsc::channel(REQUEST_QUEUE);
        let mut pending: Option<(u64, oneshot::Sender<bool>)> = None;
        let mut last = 0;
        loop {
            tokio::select! {
                Some(WatcherRequest { epoch, is_binding, reply }) = requests.recv() => {
                    last += 1;
                    let request = PeerMessage::Request { number: last, epoch, is_binding };
                    let Ok(request) = request.encode() else {
                        return "a request could not be encoded";
                    };
                    pending = Some((last, reply));
                    if frames.send(request).await.is_err() {
                        return "the connection broke";
                    }
                }
                frame = frames.next() => {
                    let Some(Ok(frame)) = frame else {
                        return "the connection ended";
                    };
                    match PeerMessage::decode(&frame) {
                        Ok(PeerMessage::Hello { capacity }) => {
                            let entry = WatcherEntry { capacity, requests: sender.clone() };
                            self.entries.lock().insert(number, entry);
                        }
                        Ok(PeerMessage::Answer { number: answered, is_accepted }) => {
                            let expected = pending.take_if(|(asked, _)| *asked == answered);
                            let is_late = expected
                                .is_none_or(|(_, reply)| reply.send(is_accepted).is_err());
                            if is_late {
                                debug!(logger, "answered too late"; "is_accepted" => is_accepted);
                            }
                        }
                        Ok(PeerMessage::Request { .. }) | Err(_) => return "an unusable message",
                    }
                }
            }
        }
    }
}

/// Answer of a watcher; none if there is none in time.
async fn request(
    entry: &WatcherEntry,
    epoch: u64,
    is_binding: bool,
    deadline: Duration,
) -> Option<bool> {
    let (reply, answer) = oneshot::channel();
    let request = WatcherRequest {
        epoch,
        is_binding,
        reply,
    };
    if entry.requests.try_send(request).is_err() {
        // Nothing was sent.
        return Some(false);
    }
    timeout(deadline, answer).await.ok()?.ok()
}
