//! One job from its caller to a backend server and back.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use sesamedeal_core::fleet::{
    FleetChange, InstanceRecord, InstanceState, PoolRecord, QueueRecord, TeamRecord,
};
use sesamedeal_core::ids::{
    Generation, ImageName, InstanceName, OperationId, PoolName, QueueName, RackName, TeamName,
    ZoneName,
};
use sesamedeal_daemon::{DaemonSettings, EntryInstance};
use sesamedeal_platform::{AppendOutcome, ChangeLog, PlatformClient, PlatformSettings};
use sesamedeal_standin::backend::BackendStandin;
use sesamedeal_standin::platform::PlatformStandin;
use sesamedeal_wire::header;

const LOOPBACK: &str = "127.0.0.1:0";

fn loopback() -> SocketAddr {
    LOOPBACK.parse().expect("valid address")
}

fn fleet(backend: SocketAddr) -> Vec<FleetChange> {
    let pool = PoolName::new("rota");
    vec![
        FleetChange::PutPool {
            name: pool.clone(),
            pool: PoolRecord {
                size: 1,
                max_unavailable: 1,
                spare: false,
            },
        },
        FleetChange::PutTeam {
            name: TeamName::new("open"),
            team: TeamRecord { share: 1, limit: 8 },
        },
        FleetChange::PutQueue {
            name: QueueName::new("swap"),
            queue: QueueRecord {
                pool: pool.clone(),
                open: true,
            },
        },
        FleetChange::PutInstance {
            name: InstanceName::new("w1"),
            instance: InstanceRecord {
                pool,
                state: InstanceState::Active,
                address: backend.to_string().into(),
                zone: ZoneName::new("a"),
                rack: RackName::new("a1"),
                image: ImageName::new("base"),
                cores: 64,
                memory_mb: 128_000,
                slots: 8,
                boot: 1,
                since: Generation::ZERO,
                maintained: 0,
            },
        },
    ]
}

async fn post(address: SocketAddr, path: &str, body: &'static str) -> Response<Bytes> {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let request = Request::post(format!("http://{address}{path}"))
        .header(header::REQUEST_ID, "r-1")
        .body(Full::new(Bytes::from_static(body.as_bytes())))
        .expect("valid request");
    let response = client.request(request).await.expect("answer");
    let (parts, body) = response.into_parts();
    let body = body.collect().await.expect("whole body").to_bytes();
    Response::from_parts(parts, body)
}

async fn wait_ready(address: SocketAddr) {
    for _ in 0..100 {
        let client = Client::builder(TokioExecutor::new()).build_http();
        let request = Request::get(format!("http://{address}/ready"))
            .body(Full::<Bytes>::default())
            .expect("valid request");
        if client
            .request(request)
            .await
            .is_ok_and(|ready| ready.status() == 200)
        {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("entry instance did not become ready");
}

/// Guards against a break anywhere on the path of a job.
#[tokio::test]
async fn job_returns() {
    let platform = PlatformStandin::new()
        .serve(loopback())
        .await
        .expect("platform");
    let backend = BackendStandin::new()
        .serve(loopback())
        .await
        .expect("backend");
    let client = PlatformClient::new(PlatformSettings::new(platform.address().to_string()));
    let outcome = ChangeLog::new(client)
        .append(
            Generation::ZERO,
            OperationId(1),
            "test",
            fleet(backend.address()),
        )
        .await
        .expect("append");
    assert_eq!(outcome, AppendOutcome::Accepted(Generation(1)));
    let settings = DaemonSettings::new(loopback(), ZoneName::new("a"), platform.address());
    let entry = EntryInstance::start(settings)
        .await
        .expect("entry instance");
    wait_ready(entry.address()).await;

    let answer = post(entry.address(), "/v1/queues/swap/jobs", "shift 7").await;
    assert_eq!(answer.status(), 200);
    assert_eq!(answer.body().as_ref(), b"shift 7");
    assert_eq!(answer.headers()[header::REQUEST_ID], "r-1");
    assert_eq!(answer.headers()[header::RUN_STATE], "ran");

    let refused = post(entry.address(), "/v1/queues/none/jobs", "").await;
    assert_eq!(refused.headers()[header::CODE], "1002");
    assert_eq!(refused.headers()[header::RUN_STATE], "not-run");
    entry.shut_down().await;
}
