//! Calls between entry instances.

mod common;

use common::PATIENCE;
use common::cluster::{TestCluster, wait_until};
use hyper::Method;
use sesamedeal_core::exchange::{ExchangeMessage, MESSAGE_VERSION};
use sesamedeal_core::ids::{Generation, SessionId};
use sesamedeal_daemon::{DaemonSettings, EntryInstance};
use sesamedeal_standin::backend::BackendFaults;
use sesamedeal_wire::codec::{FieldNames, MAX_MESSAGE_BYTES, decode_versioned, encode_versioned};
use sesamedeal_wire::header;
use sesamedeal_wire::peer::PeerMessage;
use sha2::{Digest, Sha256};

fn message() -> PeerMessage {
    PeerMessage {
        address: Some("127.0.0.1:9".into()),
        exchange: ExchangeMessage::new(SessionId(7), Generation(1)),
    }
}

async fn send(cluster: &TestCluster, body: Vec<u8>) -> (u16, Option<String>, Vec<u8>) {
    let address = cluster.address(0);
    let path = "/peer/exchange";
    let answer = cluster
        .client
        .call(Method::POST, address, path, &[], body)
        .await;
    let answer = answer.expect("answer");
    let code = answer.headers().get(header::CODE);
    let code = code.map(|code| code.to_str().expect("text").to_owned());
    (answer.status().as_u16(), code, answer.body().to_vec())
}

/// Guards against messages of another version that are taken in, and against bodies that are
/// read without a bound.
#[tokio::test(flavor = "multi_thread")]
async fn version_and_size() {
    let cluster = TestCluster::start(1, 1).await;
    cluster.configure().await;
    let names = FieldNames::Omitted;
    let encoded = |version| {
        let body = encode_versioned(&message(), names, version, MAX_MESSAGE_BYTES);
        body.expect("encoded").to_vec()
    };
    let (status, _, body) = send(&cluster, encoded(MESSAGE_VERSION)).await;
    assert_eq!(status, 200);
    let answer: PeerMessage =
        decode_versioned(&body, MESSAGE_VERSION, MAX_MESSAGE_BYTES).expect("message");
    assert_eq!(answer.exchange.from, cluster.entries[0].session());
    let (status, code, _) = send(&cluster, encoded(MESSAGE_VERSION + 1)).await;
    assert_eq!((status, code.as_deref()), (426, Some("1030")));
    let mut malformed = MESSAGE_VERSION.to_be_bytes().to_vec();
    malformed.push(0xc1);
    let (status, code, _) = send(&cluster, malformed).await;
    assert_eq!((status, code.as_deref()), (400, Some("1001")));
    let (status, _, _) = send(&cluster, vec![0; MAX_MESSAGE_BYTES + 1]).await;
    assert_eq!(status, 413);
}

/// Guards against operator calls by anybody who reaches the port once a key is configured.
#[tokio::test(flavor = "multi_thread")]
async fn operator_key() {
    let cluster = TestCluster::start(1, 1).await;
    let settings = DaemonSettings {
        operator_key_sha256: Some(Sha256::digest(b"operator secret").into()),
        ..cluster.settings()
    };
    let entry = EntryInstance::start(settings)
        .await
        .expect("entry instance");
    let get = |path: &'static str, key: Option<&'static str>| {
        let client = cluster.client.clone();
        let address = entry.address();
        async move {
            let headers: Vec<(&str, &str)> =
                key.map(|key| ("authorization", key)).into_iter().collect();
            let answer = client.call(Method::GET, address, path, &headers, "").await;
            answer.expect("answer").status().as_u16()
        }
    };
    for path in ["/status", "/admin/state", "/admin/plan-context"] {
        assert_eq!(get(path, None).await, 401);
        assert_eq!(get(path, Some("Bearer other secret")).await, 401);
        assert_eq!(get(path, Some("Bearer operator secret")).await, 200);
    }
    assert_eq!(get("/live", None).await, 200);
    entry.kill().await;
}

/// Guards against a worker that fails every task and is never quarantined, because the entry
/// instance that sees it is not the controller.
#[tokio::test(flavor = "multi_thread")]
async fn failing_worker() {
    let cluster = TestCluster::start(2, 3).await;
    cluster.configure().await;
    let broken = cluster.backends.names()[0].clone();
    let backend = cluster.backends.backend(&broken).expect("backend server");
    backend.set_faults(BackendFaults {
        fail_all: true,
        ..BackendFaults::default()
    });
    wait_until("worker quarantined", PATIENCE, async || {
        for address in cluster.addresses() {
            cluster.client.job(address, "swap", "job").await;
        }
        let state = cluster.client.state(cluster.address(0)).await;
        state.instances[&broken].state.label() == "quarantined"
    })
    .await;
}
