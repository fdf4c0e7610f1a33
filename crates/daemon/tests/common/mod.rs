//! Helpers of the tests: a small fleet on loopback, a raw caller and a backend server whose
//! answers are written byte by byte.
#![allow(dead_code, reason = "each test uses a part of the helpers")]

pub mod caller;
pub mod cluster;
pub mod fleet;
pub mod link;
pub mod operator;
pub mod process;
pub mod raw_backend;

use std::time::Duration;

use tokio::time::{Instant, sleep};

/// Longest time that a test waits for a condition. It is generous because machines can be busy.
pub const PATIENCE: Duration = Duration::from_secs(60);

/// Waits until a condition holds.
pub async fn wait_for(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let begin = Instant::now();
    while !condition().await {
        assert!(begin.elapsed() < PATIENCE, "timed out waiting for {what}");
        sleep(Duration::from_millis(10)).await;
    }
}
