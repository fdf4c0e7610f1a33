use std::time::Duration;

use compact_str::CompactString;
use rand::RngExt;
use tokio::time::{Instant, sleep, sleep_until};

use crate::backend::{AttemptId, AttemptStatus, BackendClient};

/// First delay between two status requests; it doubles with each.
const FIRST_DELAY: Duration = Duration::from_millis(20);

/// Longest delay between two status requests.
const LAST_DELAY: Duration = Duration::from_secs(1);

/// An attempt that was given up and still holds its units.
#[derive(Debug)]
pub(super) struct AttemptEnder {
    pub backend: BackendClient,
    pub address: CompactString,
    pub attempt: AttemptId,
    /// Point after which a request still on its way cannot start the attempt.
    pub starts_by: Instant,
    /// Point by which the attempt has ended in any case.
    pub ends_by: Instant,
}

impl AttemptEnder {
    /// Asks the backend server to stop the attempt and waits until it has ended.
    pub(super) async fn run(&self) {
        tokio::select! {
            () = self.stop() => {}
            () = sleep_until(self.ends_by) => {}
        }
    }

    async fn stop(&self) {
        let mut delay = FIRST_DELAY;
        let mut status = self.backend.stop(&self.address, self.attempt).await;
        while !self.is_end(status) {
            let jitter = rand::rng().random_range(0.5..1.0);
            sleep(delay.mul_f64(jitter)).await;
            delay = (delay * 2).min(LAST_DELAY);
            // A request that overtook the stop request can start the attempt after it.
            status = if status == AttemptStatus::Running {
                self.backend.status(&self.address, self.attempt).await
            } else {
                self.backend.stop(&self.address, self.attempt).await
            };
        }
    }

    fn is_end(&self, status: AttemptStatus) -> bool {
        match status {
            AttemptStatus::Ended => true,
            AttemptStatus::Unknown => Instant::now() > self.starts_by,
            AttemptStatus::Running | AttemptStatus::NoAnswer => false,
        }
    }
}
