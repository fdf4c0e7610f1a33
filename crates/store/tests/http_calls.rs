//! Calls over HTTP.

mod common;

use std::net::{Ipv4Addr, SocketAddr};

use assert_matches::assert_matches;
use bytes::Bytes;
use common::insert;
use sesamedeal_core::ids::InstanceName;
use sesamedeal_standin::platform::{PlatformFaults, PlatformStandin};
use sesamedeal_store::protocol::WriteReply;
use sesamedeal_store::{CallKind, PlatformClient, PlatformError, PlatformSettings};

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// All calls of the protocol must agree between the client and the stand-in.
#[tokio::test]
async fn whole_protocol() {
    let platform = PlatformStandin::new();
    let server = platform.serve(any_port()).await.unwrap();
    let client = PlatformClient::new(PlatformSettings::new(server.address().to_string()));
    assert_matches!(
        client.write(&insert(1, "row/1")).await,
        Ok(WriteReply::Committed)
    );
    assert_matches!(
        client.write(&insert(2, "row/1")).await,
        Ok(WriteReply::Conflict { .. })
    );
    assert_eq!(client.read(&["row/1", "row/2"]).await.unwrap().len(), 1);
    assert_eq!(client.scan("row/", Some("row/1"), 5).await.unwrap(), []);
    assert_eq!(client.get_object("a/b").await.unwrap(), None);
    client
        .put_object("a/b", Bytes::from_static(b"content"))
        .await
        .unwrap();
    let content = client.get_object("a/b").await.unwrap();
    assert_eq!(content.as_deref(), Some(b"content".as_slice()));
    assert_eq!(client.list_objects("a/").await.unwrap(), ["a/b"]);
    client.delete_object("a/b").await.unwrap();
    client.delete_object("a/b").await.unwrap();
    assert_eq!(client.list_objects("a/").await.unwrap().len(), 0);
    assert_eq!(client.instances().await.unwrap().instances, []);
    let name = InstanceName::new("unknown");
    assert_matches!(
        client.reboot(&name).await,
        Err(PlatformError::Status { status: 404 })
    );
    let counters = client.counters();
    let calls = |kind| counters.calls.get(&kind).copied().unwrap_or_default();
    assert_eq!((calls(CallKind::Write), calls(CallKind::Read)), (2, 1));
    assert_eq!(
        (calls(CallKind::ObjectGet), calls(CallKind::ObjectPut)),
        (2, 1)
    );
    assert_eq!(calls(CallKind::ObjectDelete), 2);
    assert_eq!(counters.retries.values().sum::<u64>(), 0);
    let bytes = counters.bytes_sent + counters.bytes_received;
    assert_eq!(bytes, platform.counters().bytes);
}

/// A connection that is closed after the write leaves the outcome open; a closed port does not.
#[tokio::test]
async fn closed_connection() {
    let platform = PlatformStandin::new();
    let server = platform.serve(any_port()).await.unwrap();
    let mut settings = PlatformSettings::new(server.address().to_string());
    settings.retry_reserve = 0;
    let client = PlatformClient::new(settings);
    platform.set_faults(PlatformFaults {
        lose_answers: true,
        ..PlatformFaults::default()
    });
    let request = insert(1, "row");
    assert_matches!(
        client.write(&request).await,
        Err(PlatformError::NoAnswer { .. })
    );
    platform.set_faults(PlatformFaults::default());
    assert_matches!(client.write(&request).await, Ok(WriteReply::Committed));
    let address = server.address().to_string();
    server.stop().await;
    // A client without open connections, whose closing it might not have seen yet.
    let client = PlatformClient::new(PlatformSettings::new(address));
    let late = client.write(&insert(2, "row")).await;
    assert_matches!(late, Err(PlatformError::Unreachable { .. }));
}
