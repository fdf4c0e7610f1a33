//! Outages, slow periods and recovery of the platform.

mod common;

use std::time::Duration;

use assert_matches::assert_matches;
use common::{client, insert, settings};
use futures::future::join_all;
use sesamedeal_standin::platform::{FaultScope, PlatformFaults, PlatformStandin, RateLimits};
use sesamedeal_store::{
    BreakerState, CallKind, PlatformClient, PlatformError, PlatformService, PlatformSettings,
    RetryReason,
};
use tokio::time::{Instant, sleep};

fn down() -> PlatformFaults {
    PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    }
}

fn breaker(client: &PlatformClient, service: PlatformService) -> BreakerState {
    client.counters().breakers[&service].state
}

/// A store that answers late must not hold a caller past its deadline.
#[tokio::test(start_paused = true)]
async fn slow_store() {
    let platform = PlatformStandin::new();
    let client = client(&platform, 1);
    platform.set_faults(PlatformFaults {
        delay_ms: 60_000,
        ..PlatformFaults::default()
    });
    for deadline in [50, 400, 1000].map(Duration::from_millis) {
        let client = client.with_deadline(deadline);
        let start = Instant::now();
        assert_matches!(
            client.read(&["row"]).await,
            Err(PlatformError::NoAnswer { .. })
        );
        assert!(start.elapsed() <= deadline + Duration::from_millis(1));
        let start = Instant::now();
        let write = client.write(&insert(deadline.as_millis(), "row")).await;
        assert_matches!(write, Err(PlatformError::NoAnswer { .. }));
        assert!(start.elapsed() <= deadline + Duration::from_millis(1));
    }
}

/// Calls whose deadline has passed must not be sent, nor count against a service that works.
#[tokio::test(start_paused = true)]
async fn passed_deadline() {
    let platform = PlatformStandin::new();
    let client = client(&platform, 1);
    let late = client.with_deadline(Duration::ZERO);
    for number in 0..20 {
        let write = late.write(&insert(number, "row")).await;
        assert_matches!(write, Err(PlatformError::Unreachable { .. }));
    }
    assert_eq!(platform.counters().table_writes, 0);
    assert_eq!(
        breaker(&client, PlatformService::Table),
        BreakerState::Closed
    );
}

/// A short outage is bridged by retries within the deadline.
#[tokio::test(start_paused = true)]
async fn short_outage() {
    let platform = PlatformStandin::new();
    let client = client(&platform, 1);
    platform.set_faults(down());
    let switch = platform.clone();
    tokio::spawn(async move {
        sleep(Duration::from_millis(200)).await;
        switch.set_faults(PlatformFaults::default());
    });
    assert_matches!(client.read(&["row"]).await, Ok(_));
    assert!(client.counters().retries[&RetryReason::Unreachable] > 0);
}

/// Retries must not multiply the load of a failing store beyond the budget.
#[tokio::test(start_paused = true)]
async fn spent_budget() {
    let platform = PlatformStandin::with_seed(7);
    let client = client(&platform, 1);
    // With every second call failing, the breaker stays closed most of the time.
    platform.set_faults(PlatformFaults {
        down_per_mille: 500,
        ..down()
    });
    for _ in 0..500 {
        drop(client.read(&["row"]).await);
        sleep(Duration::from_secs(1)).await;
    }
    let counters = client.counters();
    let retries: u64 = counters.retries.values().sum();
    assert!(counters.budget_exhausted > 0);
    assert!((10..=10 + 50).contains(&retries), "{retries} retries");
}

/// During an outage calls fail at once, and a single probe finds the recovery.
#[tokio::test(start_paused = true)]
async fn open_breaker() {
    let platform = PlatformStandin::new();
    let client = client(&platform, 1);
    platform.set_faults(down());
    while breaker(&client, PlatformService::Table) == BreakerState::Closed {
        drop(client.read(&["row"]).await);
    }
    let sent = platform.counters().table_reads;
    let start = Instant::now();
    let calls = join_all((0..100).map(|_| client.scan("row/", None, 1))).await;
    assert!(calls.iter().all(Result::is_err));
    assert_eq!(start.elapsed(), Duration::ZERO);
    assert_eq!(platform.counters().table_reads, sent);
    sleep(Duration::from_secs(5)).await;
    let calls = join_all((0..100).map(|_| client.scan("row/", None, 1))).await;
    assert!(calls.iter().all(Result::is_err));
    assert_eq!(platform.counters().table_reads, sent + 1);
    platform.set_faults(PlatformFaults::default());
    sleep(Duration::from_secs(5)).await;
    assert_matches!(client.read(&["row"]).await, Ok(_));
    assert_eq!(
        breaker(&client, PlatformService::Table),
        BreakerState::Closed
    );
}

/// A probe that its caller gives up must not leave the breaker half open for ever.
#[tokio::test(start_paused = true)]
async fn dropped_probe() {
    let platform = PlatformStandin::new();
    let client = client(&platform, 1);
    platform.set_faults(down());
    while breaker(&client, PlatformService::Table) == BreakerState::Closed {
        drop(client.scan("row/", None, 1).await);
    }
    platform.set_faults(PlatformFaults {
        delay_ms: 900,
        ..PlatformFaults::default()
    });
    sleep(Duration::from_secs(5)).await;
    let probe = tokio::time::timeout(Duration::from_millis(10), client.scan("row/", None, 1));
    assert_matches!(probe.await, Err(_));
    assert_eq!(breaker(&client, PlatformService::Table), BreakerState::Open);
    platform.set_faults(PlatformFaults::default());
    sleep(Duration::from_secs(5)).await;
    assert_matches!(client.scan("row/", None, 1).await, Ok(_));
}

/// An outage of one service must not stop calls to the others.
#[tokio::test(start_paused = true)]
async fn one_service() {
    let platform = PlatformStandin::new();
    let client = client(&platform, 1);
    platform.set_faults(PlatformFaults {
        scope: FaultScope::Table,
        ..down()
    });
    for _ in 0..10 {
        drop(client.read(&["row"]).await);
    }
    assert_eq!(breaker(&client, PlatformService::Table), BreakerState::Open);
    assert_matches!(client.instances().await, Ok(_));
    assert_matches!(client.list_objects("").await, Ok(_));
    assert_eq!(
        breaker(&client, PlatformService::Objects),
        BreakerState::Closed
    );
}

/// Clients that lost the store at the same moment must not all come back at the same moment.
#[tokio::test(start_paused = true)]
async fn no_herd() {
    const CLIENTS: u64 = 200;
    let platform = PlatformStandin::new();
    platform.set_faults(down());
    let callers = (0..CLIENTS).map(|seed| {
        let client = client(&platform, seed);
        tokio::spawn(async move {
            loop {
                drop(client.read(&["head"]).await);
                sleep(Duration::from_millis(100)).await;
            }
        })
    });
    let callers: Vec<_> = callers.collect();
    sleep(Duration::from_secs(30)).await;
    let before = platform.counters().table_reads;
    let mut busiest = 0;
    let mut last = before;
    for _ in 0..50 {
        sleep(Duration::from_millis(100)).await;
        let reads = platform.counters().table_reads;
        busiest = busiest.max(reads - last);
        last = reads;
    }
    // One probe each in 2.5 s to 5 s makes about 5 in 100 ms.
    assert!(last - before <= 2 * CLIENTS, "{} probes", last - before);
    assert!(busiest <= CLIENTS / 10, "{busiest} probes within 100 ms");
    platform.set_faults(PlatformFaults::default());
    sleep(Duration::from_millis(100)).await;
    let first = platform.counters().table_reads - last;
    assert!(first <= CLIENTS / 10, "{first} calls at the recovery");
    sleep(Duration::from_secs(6)).await;
    let recovered = platform.counters().table_reads;
    sleep(Duration::from_secs(1)).await;
    assert!(platform.counters().table_reads - recovered >= 9 * CLIENTS);
    for caller in callers {
        caller.abort();
    }
}

/// A refusal beyond the rate limit has no effect and is tried again later.
#[tokio::test(start_paused = true)]
async fn rate_limit() {
    let platform = PlatformStandin::new();
    let client = PlatformClient::with_transport(
        &PlatformSettings {
            call_deadline: Duration::from_secs(10),
            retry_reserve: 1000,
            ..settings(1)
        },
        platform.transport(),
    );
    platform.set_rate_limits(RateLimits {
        reads: 0,
        writes: 3,
    });
    let requests: Vec<_> = (0..6).map(|n| insert(n, &format!("row/{n}"))).collect();
    let writes = join_all(requests.iter().map(|request| client.write(request))).await;
    assert!(writes.iter().all(Result::is_ok), "{writes:?}");
    assert!(client.counters().retries[&RetryReason::RateLimited] >= 3);
    assert_eq!(platform.counters().peak_table_writes, 3);
}

/// A reboot with a lost answer must not be asked for again.
#[tokio::test(start_paused = true)]
async fn single_reboot() {
    let platform = PlatformStandin::new();
    let client = client(&platform, 1);
    platform.set_faults(PlatformFaults {
        lose_answers: true,
        ..PlatformFaults::default()
    });
    let name = sesamedeal_core::ids::InstanceName::new("worker");
    assert_matches!(
        client.reboot(&name).await,
        Err(PlatformError::NoAnswer { .. })
    );
    assert_eq!(client.counters().calls[&CallKind::Reboot], 1);
}
