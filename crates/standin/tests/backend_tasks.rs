//! Slots, leases and calls of the backend server's stand-in.

mod common;

use std::time::Duration;

use assert_matches::assert_matches;
use common::{any_port, call, run, script, until};
use futures::future::join_all;
use sesamedeal_standin::backend::{
    BackendFaults, BackendMode, BackendSettings, BackendStandin, EventSink, TaskScript,
};
use sesamedeal_standin::observer::FleetObserver;
use sesamedeal_wire::header;
use tokio::time::{Instant, sleep};

fn observed(observer: &FleetObserver) -> BackendStandin {
    BackendStandin::with_settings(BackendSettings {
        events: EventSink::with_observer(observer.clone()),
        usage_lag: Duration::from_millis(1500),
        ..BackendSettings::new("w")
    })
}

/// The answer must carry the ids of its own request and the whole body.
#[tokio::test]
async fn own_answer() {
    let backend = BackendStandin::new();
    let server = backend.serve(any_port()).await.unwrap();
    let task = TaskScript {
        answer_bytes: 10_000,
        ..script("text", 1)
    };
    let answer = run(server.address(), "a1", &task, &[]).await.unwrap();
    assert_eq!(answer.status, 200);
    assert_eq!(answer.header(header::REQUEST_ID), "a1");
    assert_eq!(answer.header(header::ATTEMPT), "a1");
    assert_eq!(answer.body.len(), 10_000);
    assert!(answer.body.starts_with(b"text...."));
}

/// A ninth task must be refused with proof that it did not start, and be counted.
#[tokio::test]
async fn full_worker() {
    let observer = FleetObserver::new();
    let backend = observed(&observer);
    let server = backend.serve(any_port()).await.unwrap();
    let address = server.address();
    let running = (0..8).map(|number| {
        tokio::spawn(async move {
            let task = script("", 20_000);
            run(address, &format!("a{number}"), &task, &[]).await
        })
    });
    let running: Vec<_> = running.collect();
    until(|| backend.used_slots() == 8).await;
    let refused = run(address, "b", &script("", 0), &[]).await.unwrap();
    assert_eq!(
        (refused.status, refused.header(header::STATE)),
        (503, "not-started")
    );
    assert_eq!(observer.started(), 8);
    assert_eq!(observer.violations().over_slots, 1);
    backend.kill();
    assert!(join_all(running).await.iter().all(Result::is_ok));
    assert_eq!(observer.team_running("t"), 0);
}

/// A task that is larger than the worker must be refused.
#[tokio::test]
async fn large_task() {
    let backend = BackendStandin::new();
    let server = backend.serve(any_port()).await.unwrap();
    let large = TaskScript {
        slots: 9,
        ..script("", 0)
    };
    assert_eq!(
        run(server.address(), "a", &large, &[])
            .await
            .unwrap()
            .status,
        503
    );
}

/// The 65th connection must be closed and counted.
#[tokio::test]
async fn many_connections() {
    let observer = FleetObserver::new();
    let backend = observed(&observer);
    let server = backend.serve(any_port()).await.unwrap();
    let connect = || tokio::net::TcpStream::connect(server.address());
    let open = join_all((0..64).map(|_| connect())).await;
    assert_matches!(
        run(server.address(), "a", &script("", 0), &[]).await,
        Err(_)
    );
    assert_eq!(observer.violations().over_connections, 1);
    drop(open);
    let mut number = 0;
    while run(server.address(), &format!("b{number}"), &script("", 0), &[])
        .await
        .is_err()
    {
        number += 1;
        assert!(number < 1000, "closed connections are not freed");
        sleep(Duration::from_millis(5)).await;
    }
}

/// A task that outlives its lease must be stopped, and its answer must say so.
#[tokio::test]
async fn expired_lease() {
    let observer = FleetObserver::new();
    let backend = observed(&observer);
    let server = backend.serve(any_port()).await.unwrap();
    let start = Instant::now();
    let lease = [(header::LEASE_MS, "100")];
    let answer = run(server.address(), "a", &script("", 20_000), &lease)
        .await
        .unwrap();
    assert!(start.elapsed() < Duration::from_secs(10));
    assert_eq!(
        (answer.status, answer.header(header::STATE)),
        (500, "stopped")
    );
    assert_eq!(observer.team_running("t"), 0);
}

/// A request that arrives after its start-by time must not run.
#[tokio::test]
async fn late_request() {
    let observer = FleetObserver::new();
    let backend = observed(&observer);
    let server = backend.serve(any_port()).await.unwrap();
    let late = [(header::START_BY_MS, "1000")];
    let answer = run(server.address(), "a", &script("", 0), &late)
        .await
        .unwrap();
    assert_eq!(
        (answer.status, answer.header(header::STATE)),
        (503, "not-started")
    );
    assert_eq!(observer.started(), 0);
}

/// Stop must end a running task, and the attempt's state must follow.
#[tokio::test]
async fn stopped_attempt() {
    let backend = BackendStandin::new();
    let server = backend.serve(any_port()).await.unwrap();
    let address = server.address();
    let state = || async move {
        let answer = call("GET", address, "/attempts/a", &[], "").await.unwrap();
        String::from_utf8(answer.body.to_vec()).unwrap()
    };
    assert_eq!(state().await, "unknown");
    let running = tokio::spawn(async move { run(address, "a", &script("", 20_000), &[]).await });
    until(|| backend.used_slots() == 1).await;
    assert_eq!(state().await, "running");
    let stop = call("POST", address, "/stop/a", &[], "").await.unwrap();
    assert_eq!(stop.status, 200);
    assert_eq!(
        running.await.unwrap().unwrap().header(header::STATE),
        "stopped"
    );
    assert_eq!(state().await, "ended");
    let stop = call("POST", address, "/stop/a", &[], "").await.unwrap();
    assert_eq!(stop.status, 404);
    assert_eq!(
        run(address, "a", &script("", 0), &[]).await.unwrap().status,
        409
    );
}

/// A task must go on when its caller closes the connection.
#[tokio::test]
async fn gone_caller() {
    let backend = BackendStandin::new();
    let server = backend.serve(any_port()).await.unwrap();
    let address = server.address();
    let running = tokio::spawn(async move { run(address, "a", &script("", 1500), &[]).await });
    until(|| backend.used_slots() == 1).await;
    running.abort();
    assert!(running.await.unwrap_err().is_cancelled());
    sleep(Duration::from_millis(50)).await;
    assert_eq!(backend.used_slots(), 1);
    until(|| backend.used_slots() == 0).await;
}

/// Usage must be reported with its lag.
#[tokio::test]
async fn usage_lag() {
    let backend = observed(&FleetObserver::new());
    let server = backend.serve(any_port()).await.unwrap();
    let address = server.address();
    run(address, "a", &script("", 50), &[]).await.unwrap();
    let usage = || async move {
        let answer = call("GET", address, "/usage", &[], "").await.unwrap();
        serde_json::from_slice::<sesamedeal_standin::backend::UsageReport>(&answer.body).unwrap()
    };
    assert_eq!(usage().await.ended, 0);
    sleep(Duration::from_millis(1600)).await;
    let report = usage().await;
    assert_eq!(report.ended, 1);
    assert!(report.slot_ms["p/t"] >= 50);
}

async fn with_faults(faults: BackendFaults) -> (u16, String, String) {
    let backend = BackendStandin::new();
    let server = backend.serve(any_port()).await.unwrap();
    run(server.address(), "first", &script("first", 0), &[])
        .await
        .unwrap();
    let body = serde_json::to_vec(&faults).unwrap();
    let switched = call("POST", server.address(), "/dev/faults", &[], body)
        .await
        .unwrap();
    assert_eq!(switched.status, 200);
    match run(server.address(), "second", &script("second", 0), &[]).await {
        Ok(answer) => (
            answer.status,
            answer.header(header::ATTEMPT).to_owned(),
            String::from_utf8(answer.body.to_vec()).unwrap(),
        ),
        Err(_) => (0, String::new(), String::new()),
    }
}

/// Each fault that changes the answer must have its effect.
#[tokio::test]
async fn answer_faults() {
    let text = |status: u16, attempt: &str, body: &str| (status, attempt.into(), body.into());
    let none = BackendFaults::default();
    assert_eq!(with_faults(none).await, text(200, "second", "second"));
    let fail_all = BackendFaults {
        fail_all: true,
        ..none
    };
    assert_eq!(with_faults(fail_all).await, text(500, "second", ""));
    let crossed = BackendFaults {
        crossed: true,
        ..none
    };
    assert_eq!(with_faults(crossed).await, text(200, "first", "first"));
    let truncated = BackendFaults {
        truncated: true,
        ..none
    };
    assert_eq!(with_faults(truncated).await, text(0, "second", ""));
    let silent = BackendFaults {
        silent: true,
        ..none
    };
    assert_eq!(with_faults(silent).await, text(0, "", ""));
    let mode = BackendMode::Draining;
    let draining = BackendFaults { mode, ..none };
    assert_eq!(with_faults(draining).await, text(503, "second", ""));
}

/// A frozen server must answer nothing until it is thawed, and a killed one nothing at all.
#[tokio::test]
async fn frozen_server() {
    let backend = BackendStandin::new();
    let server = backend.serve(any_port()).await.unwrap();
    let address = server.address();
    let frozen = BackendFaults {
        frozen: true,
        ..BackendFaults::default()
    };
    backend.set_faults(frozen);
    let waiting = tokio::spawn(async move { run(address, "a", &script("", 0), &[]).await });
    sleep(Duration::from_millis(200)).await;
    assert!(!waiting.is_finished());
    assert_eq!(backend.used_slots(), 0);
    backend.set_faults(BackendFaults::default());
    assert_eq!(waiting.await.unwrap().unwrap().status, 200);
    let running = tokio::spawn(async move { run(address, "b", &script("", 20_000), &[]).await });
    until(|| backend.used_slots() == 1).await;
    backend.kill();
    assert_matches!(running.await.unwrap(), Err(_));
    assert_matches!(run(address, "c", &script("", 0), &[]).await, Err(_));
}

/// Slow tasks must take longer than their scripts say.
#[tokio::test]
async fn slow_server() {
    let backend = BackendStandin::new();
    let server = backend.serve(any_port()).await.unwrap();
    backend.set_faults(BackendFaults {
        extra_ms: 150,
        ..BackendFaults::default()
    });
    let start = Instant::now();
    run(server.address(), "a", &script("", 0), &[])
        .await
        .unwrap();
    assert!(start.elapsed() >= Duration::from_millis(150));
}
