//! Concurrent reads of the same keys.

mod common;

use std::time::Duration;

use assert_matches::assert_matches;
use common::{client, insert};
use futures::future::join_all;
use sesamedeal_standin::platform::{PlatformFaults, PlatformStandin};
use tokio::time::{Instant, sleep};

fn slow(delay_ms: u64) -> PlatformFaults {
    PlatformFaults {
        delay_ms,
        ..PlatformFaults::default()
    }
}

/// Many callers of one row must not become many requests.
#[tokio::test(start_paused = true)]
async fn shared_request() {
    let platform = PlatformStandin::new();
    let client = client(&platform, 1);
    platform.set_faults(slow(20));
    let reads = join_all((0..100).map(|_| client.read(&["row"]))).await;
    assert!(reads.iter().all(Result::is_ok));
    assert_eq!(platform.counters().table_reads, 1);
    assert_eq!(client.counters().coalesced_reads, 99);
    join_all((0..100).map(|n| client.read(if n % 2 == 0 { &["a"] } else { &["b"] }))).await;
    assert_eq!(platform.counters().table_reads, 3);
}

/// A read that starts after a write must not get the answer of a request from before the write.
#[tokio::test(start_paused = true)]
async fn own_write() {
    let platform = PlatformStandin::new();
    let client = client(&platform, 1);
    platform.set_faults(slow(100));
    let early = tokio::spawn({
        let client = client.clone();
        async move { client.read(&["row"]).await }
    });
    sleep(Duration::from_millis(99)).await;
    platform.set_faults(PlatformFaults::default());
    assert_matches!(early.await.unwrap(), Ok(rows) if rows.is_empty());
    platform.set_faults(slow(100));
    let before = tokio::spawn({
        let client = client.clone();
        async move { client.read(&["row"]).await }
    });
    sleep(Duration::from_millis(10)).await;
    platform.set_faults(PlatformFaults::default());
    client.write(&insert(1, "row")).await.unwrap();
    assert_eq!(client.read(&["row"]).await.unwrap().len(), 1);
    before.await.unwrap().unwrap();
}

/// A request that hangs must not delay later readers up to their own deadlines.
#[tokio::test(start_paused = true)]
async fn hanging_request() {
    let platform = PlatformStandin::new();
    let client = client(&platform, 1);
    platform.set_faults(slow(60_000));
    let hanging = tokio::spawn({
        let client = client.clone();
        async move { client.read(&["row"]).await }
    });
    sleep(Duration::from_millis(10)).await;
    platform.set_faults(PlatformFaults::default());
    let start = Instant::now();
    assert_matches!(client.read(&["row"]).await, Ok(_));
    assert!(start.elapsed() <= Duration::from_millis(60));
    assert_matches!(hanging.await.unwrap(), Err(_));
}

/// A reader that gives up must not take the answer away from the others.
#[tokio::test(start_paused = true)]
async fn dropped_reader() {
    let platform = PlatformStandin::new();
    let client = client(&platform, 1);
    platform.set_faults(slow(100));
    let first = tokio::spawn({
        let client = client.clone();
        async move { client.read(&["row"]).await }
    });
    let second = tokio::spawn({
        let client = client.clone();
        async move { client.read(&["row"]).await }
    });
    sleep(Duration::from_millis(50)).await;
    first.abort();
    assert_matches!(second.await.unwrap(), Ok(_));
    assert_eq!(platform.counters().table_reads, 1);
}
