use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use futures::future::BoxFuture;
use parking_lot::Mutex;
use tokio::sync::{Notify, watch};
use tokio::time::sleep;

use crate::error::{NoAnswerSnafu, PlatformError, Result};
use crate::protocol::TableRow;

/// Longest time that a read waits for an earlier read of the same keys before it is sent.
const MAX_WAIT: Duration = Duration::from_millis(50);

type SharedReply = Option<Arc<Result<Vec<TableRow>>>>;
type ReadKeys = Vec<CompactString>;

/// Reads of one set of keys.
#[derive(Debug, Default)]
struct ReadGroup {
    running: usize,
    /// Request that is not sent yet.
    next: Option<watch::Receiver<SharedReply>>,
    finished: Arc<Notify>,
}

/// Answers concurrent reads of the same keys with one request.
///
/// A caller joins only a request that is not sent yet. An answer is therefore never older than the
/// call, so that a caller sees its own earlier writes.
#[derive(Debug, Clone, Default)]
pub(crate) struct ReadCoalescer {
    groups: Arc<Mutex<HashMap<ReadKeys, ReadGroup>>>,
}

impl ReadCoalescer {
    /// Reads the keys with `fetch`, or joins a request for them. The flag says whether it joined.
    pub(crate) async fn read<F>(&self, keys: ReadKeys, fetch: F) -> (bool, Result<Vec<TableRow>>)
    where
        F: FnOnce(ReadKeys) -> BoxFuture<'static, Result<Vec<TableRow>>> + Send + 'static,
    {
        let (joined, mut reply) = self.join(keys, fetch);
        // The sender is lost only when the runtime shuts down.
        let result = match reply.wait_for(Option::is_some).await {
            Ok(shared) => shared.as_deref().map_or_else(lost, share),
            Err(_) => lost(),
        };
        (joined, result)
    }

    fn join<F>(&self, keys: ReadKeys, fetch: F) -> (bool, watch::Receiver<SharedReply>)
    where
        F: FnOnce(ReadKeys) -> BoxFuture<'static, Result<Vec<TableRow>>> + Send + 'static,
    {
        let mut groups = self.groups.lock();
        let group = groups.entry(keys.clone()).or_default();
        if let Some(next) = &group.next {
            return (true, next.clone());
        }
        let (sender, receiver) = watch::channel(None);
        group.next = Some(receiver.clone());
        let earlier = (group.running > 0).then(|| Arc::clone(&group.finished));
        let coalescer = self.clone();
        tokio::spawn(async move {
            if let Some(finished) = earlier {
                tokio::select! {
                    () = finished.notified() => {}
                    () = sleep(MAX_WAIT) => {}
                }
            }
            coalescer.start(&keys);
            let result = fetch(keys.clone()).await;
            coalescer.finish(&keys);
            sender.send_replace(Some(Arc::new(result)));
        });
        (false, receiver)
    }

    /// Closes the waiting request to further callers.
    fn start(&self, keys: &ReadKeys) {
        if let Some(group) = self.groups.lock().get_mut(keys) {
            group.next = None;
            group.running += 1;
        }
    }

    fn finish(&self, keys: &ReadKeys) {
        let mut groups = self.groups.lock();
        let Some(group) = groups.get_mut(keys) else {
            return;
        };
        group.running -= 1;
        if group.running == 0 && group.next.is_none() {
            groups.remove(keys);
        } else {
            group.finished.notify_one();
        }
    }
}

fn share(result: &Result<Vec<TableRow>>) -> Result<Vec<TableRow>> {
    match result {
        Ok(rows) => Ok(rows.clone()),
        Err(error) => Err(PlatformError::copy(error)),
    }
}

fn lost() -> Result<Vec<TableRow>> {
    NoAnswerSnafu {
        reason: "the read was given up",
    }
    .fail()
}
