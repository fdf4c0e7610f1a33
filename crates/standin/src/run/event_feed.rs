use std::time::Duration;

use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use super::ControlClient;
use crate::backend::EventSink;
use crate::observer::FleetEvent;

/// Most events reported with one call.
const MAX_BATCH: usize = 256;
/// Pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Failures after which a batch is given up.
const MAX_FAILURES: u32 = 5;

/// Reports events of this process to the platform's observer, in order.
#[derive(Debug)]
pub(super) struct EventFeed {
    sender: mpsc::UnboundedSender<FleetEvent>,
    task: JoinHandle<()>,
}

impl EventFeed {
    pub(super) fn new(client: ControlClient) -> Self {
        let (sender, receiver) = mpsc::unbounded_channel();
        let task = tokio::spawn(forward(client, receiver));
        Self { sender, task }
    }

    pub(super) fn sink(&self) -> EventSink {
        // A weak sender lets the feed end although backend servers still hold the sink.
        let sender = self.sender.downgrade();
        EventSink::new(move |event| {
            if let Some(sender) = sender.upgrade() {
                // The receiver lives until the last sender is gone.
                drop(sender.send(event));
            }
        })
    }

    /// Reports what is left.
    pub(super) async fn finish(self) {
        drop(self.sender);
        // The task ends when all events are reported or given up.
        drop(self.task.await);
    }
}

async fn forward(client: ControlClient, mut receiver: mpsc::UnboundedReceiver<FleetEvent>) {
    let mut batch = Vec::new();
    while receiver.recv_many(&mut batch, MAX_BATCH).await > 0 {
        let mut failures = 0;
        // A call whose answer was lost is not repeated: an event counted twice would be a false
        // violation, while a missing one only hides a true one.
        while let Err(error) = client.report_events(&batch).await {
            failures += 1;
            if error.kind() == std::io::ErrorKind::TimedOut || failures == MAX_FAILURES {
                eprintln!(
                    "{} events for the observer were given up: {error}",
                    batch.len()
                );
                break;
            }
            sleep(RETRY_PAUSE).await;
        }
        batch.clear();
    }
}
