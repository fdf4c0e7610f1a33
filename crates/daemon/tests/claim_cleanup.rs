//! Removal of claims that are older than 24 hours.

mod common;

use std::time::Duration;

use common::cluster::{TestCluster, wait_until};
use sesamedeal_core::claims::{ClaimRecord, ClaimState, RecordedResponse, ResponseBody};
use sesamedeal_core::ids::{OperationId, SessionId};
use sesamedeal_store::{PlatformClient, PlatformSettings, PutCondition};

/// Seconds in an hour.
const HOUR: u64 = 3_600;

/// Records that a claim has got a large response `age` seconds ago, and stores the response.
async fn record_claim(client: &PlatformClient, number: u128, age: u64) {
    let operation = OperationId(number);
    let object = format!("response/{operation}");
    let content = bytes::Bytes::from_static(b"response");
    client.put_object(&object, content).await.expect("object");
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let created = now.expect("after 1970").as_secs() - age;
    let record = ClaimRecord {
        state: ClaimState::Finished {
            response: RecordedResponse {
                status: 200,
                content_type: None,
                body: ResponseBody::Object(object.as_str().into()),
            },
        },
        ..ClaimRecord::new(SessionId(7), operation, [0; 32], created)
    };
    let key = format!("claim/clock/{number}");
    let write = OperationId(number + 100);
    let written = client.put_row(&key, &record, PutCondition::Absent, write);
    written.await.expect("claim");
}

/// Guards against claims that are kept for ever, objects that outlive their claims, and the
/// removal of a claim that a caller may still repeat.
#[tokio::test(flavor = "multi_thread")]
async fn old_removed() {
    let mut cluster = TestCluster::start(0, 1).await;
    let address = cluster.server.address().to_string();
    let client = PlatformClient::new(PlatformSettings::new(address));
    record_claim(&client, 1, 25 * HOUR).await;
    record_claim(&client, 2, 23 * HOUR).await;
    cluster.add_entry().await;
    wait_until("old claim removed", Duration::from_secs(20), async || {
        let rows = client.scan("claim/", None, 10).await;
        rows.expect("claims").len() == 1
    })
    .await;
    let rows = client.scan("claim/", None, 10).await.expect("claims");
    assert_eq!(rows[0].key, "claim/clock/2");
    let objects = client.list_objects("response/").await.expect("objects");
    assert_eq!(objects, [format!("response/{}", OperationId(2))]);
}
