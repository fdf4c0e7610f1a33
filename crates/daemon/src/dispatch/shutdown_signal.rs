use std::sync::Arc;

use tokio::sync::watch;

/// Progress of a graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ShutdownStage {
    /// Jobs are taken.
    Open,
    /// No more jobs are taken; those that were taken go on.
    Draining,
    /// The deadline is near: all remaining callers get their final answers now.
    Closing,
}

/// Tells the request path how far a graceful shutdown has got.
#[derive(Debug, Clone)]
pub(crate) struct ShutdownSignal {
    stage: Arc<watch::Sender<ShutdownStage>>,
}

impl ShutdownSignal {
    pub(crate) fn new() -> Self {
        let (stage, _) = watch::channel(ShutdownStage::Open);
        Self {
            stage: Arc::new(stage),
        }
    }

    /// Takes no more jobs.
    pub(crate) fn start_draining(&self) {
        self.advance(ShutdownStage::Draining);
    }

    /// Ends the jobs that remain.
    pub(crate) fn close(&self) {
        self.advance(ShutdownStage::Closing);
    }

    pub(crate) fn is_draining(&self) -> bool {
        *self.stage.borrow() >= ShutdownStage::Draining
    }

    /// Whether the remaining jobs have to end.
    pub(crate) fn is_closing(&self) -> bool {
        *self.stage.borrow() == ShutdownStage::Closing
    }

    /// Waits until the remaining jobs have to end.
    pub(crate) async fn closing(&self) {
        let mut stage = self.stage.subscribe();
        // The sender lives as long as `self`, so that waiting cannot fail.
        drop(
            stage
                .wait_for(|stage| *stage == ShutdownStage::Closing)
                .await,
        );
    }

    fn advance(&self, next: ShutdownStage) {
        self.stage.send_if_modified(|stage| {
            let is_later = next > *stage;
            *stage = next.max(*stage);
            is_later
        });
    }
}
