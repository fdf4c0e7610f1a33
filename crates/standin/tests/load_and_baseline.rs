//! Load generator and pass-through proxy.

mod common;

use std::time::Duration;

use assert_matches::assert_matches;
use common::any_port;
use hyper::{HeaderMap, StatusCode};
use sesamedeal_core::code::ResultCode;
use sesamedeal_standin::backend::{
    BackendFaults, BackendFleet, BackendSettings, BackendStandin, EventSink, FleetSettings,
    TaskScript,
};
use sesamedeal_standin::baseline::BaselineProxy;
use sesamedeal_standin::load::{
    AnswerVerdict, Arrival, LoadMode, LoadReport, LoadSettings, SurgeShape, check_answer, run_load,
};
use sesamedeal_standin::observer::FleetObserver;
use sesamedeal_standin::platform::PlatformStandin;
use sesamedeal_wire::header;
use tokio::time::Instant;

/// Runs at most 200 requests through a pass-through to one server with faults.
async fn loaded(faults: BackendFaults, change: impl FnOnce(&mut LoadSettings)) -> LoadReport {
    let backend = BackendStandin::new();
    let server = backend.serve(any_port()).await.unwrap();
    backend.set_faults(faults);
    let proxy = BaselineProxy::new(vec![server.address()]).unwrap();
    let front = proxy.serve(any_port()).await.unwrap();
    let mut settings = LoadSettings {
        max_requests: 200,
        expect_codes: false,
        script: TaskScript {
            answer_bytes: 10_000,
            ..TaskScript::default()
        },
        ..LoadSettings::new(vec![front.address()], "q")
    };
    change(&mut settings);
    run_load(settings).await.unwrap()
}

/// All callers must get their own answers through the proxy, and the count must be kept.
#[tokio::test]
async fn closed_loop() {
    let report = loaded(BackendFaults::default(), |_| {}).await;
    assert_eq!((report.sent, report.succeeded()), (200, 200));
    assert_eq!((report.lost, report.wrong()), (0, 0));
    assert!(report.latency_us(0.5) > 0 && report.latency_us(0.5) <= report.latency_us(0.99));
}

/// Crossed and truncated answers must not count as successes.
#[tokio::test]
async fn found_faults() {
    let none = BackendFaults::default();
    let crossed = BackendFaults {
        crossed: true,
        ..none
    };
    let report = loaded(crossed, |settings| settings.max_requests = 20).await;
    assert_eq!((report.succeeded(), report.wrong_request), (0, 20));
    let truncated = BackendFaults {
        truncated: true,
        ..none
    };
    let report = loaded(truncated, |settings| settings.max_requests = 20).await;
    assert_eq!((report.succeeded(), report.lost), (0, 20));
    let fail_all = BackendFaults {
        fail_all: true,
        ..none
    };
    let report = loaded(fail_all, |settings| settings.max_requests = 20).await;
    assert_eq!((report.succeeded(), report.codes[&0]), (0, 20));
}

/// Load must stop by itself when its time is over, also against a server that does not answer.
#[tokio::test]
async fn bounded_time() {
    let start = Instant::now();
    let frozen = BackendFaults {
        frozen: true,
        ..BackendFaults::default()
    };
    let report = loaded(frozen, |settings| {
        settings.duration = Duration::from_millis(300);
        settings.timeout = Duration::from_millis(200);
    });
    let report = report.await;
    assert!(start.elapsed() < Duration::from_secs(8));
    assert_eq!(report.lost, report.sent);
    assert!(report.sent >= 8);
}

/// An open loop must skip and count what exceeds its bound on requests under way.
#[tokio::test]
async fn open_loop() {
    let shape = SurgeShape {
        mean_rate: 300.0,
        queues: 1,
        surge: Duration::from_secs(1),
    };
    let open = |max_in_flight| {
        move |settings: &mut LoadSettings| {
            settings.mode = LoadMode::Open {
                shape,
                max_in_flight,
            };
            settings.duration = Duration::from_secs(1);
            settings.max_requests = 100;
        }
    };
    let report = loaded(BackendFaults::default(), open(1000)).await;
    assert_eq!((report.sent, report.skipped), (100, 0));
    let slow = BackendFaults {
        extra_ms: 2000,
        ..BackendFaults::default()
    };
    let report = loaded(slow, open(4)).await;
    assert_eq!((report.sent, report.skipped), (4, 96));
    assert_eq!(report.succeeded(), 4);
    assert!(report.latency_us(0.0) >= 2_000_000);
}

/// The schedule must repeat with its seed and have the surge's shape.
#[test]
fn surge_schedule() {
    let shape = SurgeShape {
        mean_rate: 100.0,
        queues: 5,
        surge: Duration::from_secs(4),
    };
    let duration = Duration::from_secs(20);
    let arrivals = shape.schedule(duration, u64::MAX, 1);
    assert_eq!(arrivals, shape.schedule(duration, u64::MAX, 1));
    assert_ne!(arrivals, shape.schedule(duration, u64::MAX, 2));
    assert_eq!(shape.schedule(duration, 7, 1).len(), 7);
    for queue in 0..5_u32 {
        let (begin, end) = (queue * 4, queue * 4 + 4);
        let of_queue = arrivals
            .iter()
            .filter(|arrival| arrival.queue == queue as usize);
        let (surge, rest): (Vec<&Arrival>, Vec<&Arrival>) =
            of_queue.partition(|arrival| (begin..end).contains(&(arrival.at.as_secs() as u32)));
        assert!(
            (1800..2200).contains(&surge.len()),
            "{} in the surge",
            surge.len()
        );
        assert!(
            (40..130).contains(&rest.len()),
            "{} in the rest",
            rest.len()
        );
    }
    let many = SurgeShape {
        queues: 20,
        ..shape
    };
    let sum: f64 = (0..20)
        .map(|turn| many.factor(3, Duration::from_secs(turn * 4)))
        .sum();
    assert!((sum - 20.0).abs() < 0.01, "{sum}");
}

/// Each contradiction in an answer must be found.
#[test]
fn checked_answers() {
    let check = |id: &str, code: &str, state: &str, status: u16, body: &[u8]| {
        let mut headers = HeaderMap::new();
        for (name, value) in [
            (header::REQUEST_ID, id),
            (header::CODE, code),
            (header::RUN_STATE, state),
        ] {
            headers.insert(name, value.parse().unwrap());
        }
        let status = StatusCode::from_u16(status).unwrap();
        check_answer(status, &headers, body, "r", b"body", true)
    };
    assert_eq!(
        check("r", "1000", "ran", 200, b"body"),
        AnswerVerdict::Succeeded(1000)
    );
    assert_eq!(
        check("s", "1000", "ran", 200, b"body"),
        AnswerVerdict::WrongRequest
    );
    assert_eq!(
        check("r", "1000", "ran", 200, b"bod"),
        AnswerVerdict::WrongBody
    );
    assert_eq!(
        check("r", "1000", "not-run", 200, b"body"),
        AnswerVerdict::WrongCode
    );
    assert_eq!(
        check("r", "", "ran", 200, b"body"),
        AnswerVerdict::WrongCode
    );
    assert_eq!(
        check("r", "9", "ran", 200, b"body"),
        AnswerVerdict::WrongCode
    );
    let full = ResultCode::QueueFull;
    assert_eq!(
        check("r", "1010", "not-run", full.http_status(), b""),
        AnswerVerdict::Rejected(1010)
    );
    assert_eq!(
        check("r", "1010", "not-run", 200, b""),
        AnswerVerdict::WrongCode
    );
}

/// Load must not be sent to other machines.
#[tokio::test]
async fn foreign_target() {
    let target = "192.0.2.1:80".parse().unwrap();
    assert_matches!(run_load(LoadSettings::new(vec![target], "q")).await, Err(_));
    assert_matches!(BaselineProxy::new(vec![target]), Err(_));
}

/// Each non-idempotent job of the load must carry an id of its own.
#[tokio::test]
async fn run_once_ids() {
    let observer = FleetObserver::new();
    let backend = BackendStandin::with_settings(BackendSettings {
        events: EventSink::with_observer(observer.clone()),
        ..BackendSettings::new("w")
    });
    let server = backend.serve(any_port()).await.unwrap();
    let proxy = BaselineProxy::new(vec![server.address()]).unwrap();
    let front = proxy.serve(any_port()).await.unwrap();
    let settings = LoadSettings {
        max_requests: 50,
        expect_codes: false,
        idempotent: false,
        ..LoadSettings::new(vec![front.address()], "q")
    };
    run_load(settings.clone()).await.unwrap();
    assert_eq!(
        (observer.started(), observer.violations().run_twice),
        (50, 0)
    );
    run_load(settings).await.unwrap();
    assert_eq!(observer.violations().run_twice, 50);
}

/// The proxy must use its backend servers in turn.
#[tokio::test]
async fn spread_requests() {
    let platform = PlatformStandin::new();
    let fleet = BackendFleet::start(&platform, &FleetSettings::new(4))
        .await
        .unwrap();
    let client = sesamedeal_store::PlatformClient::with_transport(
        &sesamedeal_store::PlatformSettings::new("127.0.0.1:9"),
        platform.transport(),
    );
    let list = client.instances().await.unwrap().instances;
    let addresses = list.iter().map(|item| item.address.parse().unwrap());
    let proxy = BaselineProxy::new(addresses.collect()).unwrap();
    let front = proxy.serve(any_port()).await.unwrap();
    let settings = LoadSettings {
        max_requests: 400,
        expect_codes: false,
        mode: LoadMode::Closed { callers: 8 },
        ..LoadSettings::new(vec![front.address()], "q")
    };
    let report = run_load(settings).await.unwrap();
    assert_eq!(report.succeeded(), 400);
    assert_eq!(platform.observer().started(), 400);
    assert_eq!(platform.observer().violations().total(), 0);
    drop(fleet);
}
