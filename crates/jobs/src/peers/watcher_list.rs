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

/// Time limit for a watcher's answer to a successor query. The watcher reads the store before it
/// answers, for at most 0.1 s.
const QUERY_DEADLINE: Duration = Duration::from_millis(200);

/// Time limit for a watcher's answer to an offer. The watcher reads and writes the store before it
/// answers.
const OFFER_DEADLINE: Duration = Duration::from_millis(400);

/// Number of watchers that receive the same successor query.
const QUERIED_WATCHERS: usize = 3;

/// Capacity of the queue of requests to a watcher.
const REQUEST_QUEUE_LEN: usize = 1;

/// Pause after a failure to accept a connection, for example for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Request to a watcher, with the channel for the answer.
#[derive(Debug)]
struct WatcherRequest {
    epoch: u64,
    is_binding: bool,
    reply: oneshot::Sender<bool>,
}

/// Connected watcher that has reported its capacity.
#[derive(Debug, Clone)]
struct WatcherEntry {
    capacity: InstanceCapacity,
    requests: mpsc::Sender<WatcherRequest>,
}

/// List of the entry instances that watch this one, by the number of their connection.
#[derive(Debug, Clone, Default)]
pub struct WatcherList {
    entries: Arc<Mutex<HashMap<u64, WatcherEntry>>>,
}

impl WatcherList {
    /// Accepts and serves watchers until the process ends. Watchers treat a closed connection as
    /// the end of the process.
    pub async fn serve(self, listener: TcpListener, logger: Logger) {
        // Dropping the set with this task closes the connections.
        let mut connections = JoinSet::new();
        for number in 0_u64.. {
            while connections.try_join_next().is_some() {}
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    warn!(logger, "failed to accept a watcher connection"; "error" => %error);
                    sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            let (list, logger) = (self.clone(), logger.clone());
            connections.spawn(async move {
                let reason = list.serve_watcher(number, stream, &logger).await;
                list.entries.lock().remove(&number);
                debug!(logger, "watcher disconnected"; "reason" => reason);
            });
        }
    }

    /// Queries the largest watchers concurrently and returns the first one that answers in time
    /// that it could take the ownership.
    pub(super) async fn find_successor(&self, query: SuccessorQuery) -> Option<ReadyWatcher> {
        let queried = self.largest(query.larger_than).into_iter();
        let mut answers: FuturesUnordered<_> = queried
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

    /// Offers the ownership under an epoch to the watcher with the given connection number.
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

    /// Returns the largest watchers, with those of equal capacity in random order. If `larger_than`
    /// is set, only watchers that are much larger are returned.
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
        watchers.truncate(QUERIED_WATCHERS);
        watchers
    }

    /// Forwards requests to a watcher and its answers to the callers, until the connection ends.
    /// Returns the reason of the end.
    async fn serve_watcher(&self, number: u64, stream: TcpStream, logger: &Logger) -> &'static str {
        let mut frames = framed(stream);
        let (sender, mut requests) = mpsc::channel(REQUEST_QUEUE_LEN);
        let mut pending: Option<(u64, oneshot::Sender<bool>)> = None;
        let mut last_number = 0;
        loop {
            tokio::select! {
                Some(WatcherRequest { epoch, is_binding, reply }) = requests.recv() => {
                    last_number += 1;
                    let request = PeerMessage::Request { number: last_number, epoch, is_binding };
                    let Ok(request) = request.encode() else {
                        return "failed to encode a request";
                    };
                    pending = Some((last_number, reply));
                    if frames.send(request).await.is_err() {
                        return "failed to send a request";
                    }
                }
                frame = frames.next() => {
                    let Some(Ok(frame)) = frame else {
                        return "connection closed by the watcher or broken";
                    };
                    match PeerMessage::decode(&frame) {
                        Ok(PeerMessage::Hello { capacity }) => {
                            let entry = WatcherEntry { capacity, requests: sender.clone() };
                            self.entries.lock().insert(number, entry);
                        }
                        Ok(PeerMessage::Answer { number: answered, is_accepted }) => {
                            let expected = pending.take_if(|(requested, _)| *requested == answered);
                            let is_late = expected
                                .is_none_or(|(_, reply)| reply.send(is_accepted).is_err());
                            if is_late {
                                debug!(logger, "answer of the watcher came too late"; "is_accepted" => is_accepted);
                            }
                        }
                        Ok(PeerMessage::Request { .. }) | Err(_) => return "received an invalid message",
                    }
                }
            }
        }
    }
}

/// Sends a request to a watcher and returns its answer; `None` if no answer arrives in time.
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
        // Nothing was sent, so the watcher cannot have accepted the request.
        return Some(false);
    }
    timeout(deadline, answer).await.ok()?.ok()
}
