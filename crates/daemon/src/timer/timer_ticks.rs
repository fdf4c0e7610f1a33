use std::time::Duration;

use tokio::sync::mpsc;

/// Subscription to the timer service.
#[derive(Debug)]
pub(crate) struct TimerTicks {
    ticks: mpsc::Receiver<Duration>,
}

impl TimerTicks {
    pub(crate) const fn new(ticks: mpsc::Receiver<Duration>) -> Self {
        Self { ticks }
    }

    /// Waits for the next tick and returns how late it was sent; a large value shows that the
    /// process was paused. Returns None once the timer service has ended.
    pub(crate) async fn next(&mut self) -> Option<Duration> {
        self.ticks.recv().await
    }
}
