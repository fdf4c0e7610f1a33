//! Faults, instances and counters of the platform's stand-in.

mod common;

use std::time::Duration;

use assert_matches::assert_matches;
use bytes::Bytes;
use common::{any_port, call, run, script, until};
use sesamedeal_core::ids::{InstanceName, OperationId};
use sesamedeal_standin::backend::{BackendFleet, BackendMode, FleetSettings};
use sesamedeal_standin::observer::ViolationCounts;
use sesamedeal_standin::platform::{
    FaultScope, InstanceEvent, PlatformControl, PlatformFaults, PlatformStandin, StoreCounters,
};
use sesamedeal_store::protocol::{ListedState, PlatformInstance};
use sesamedeal_store::{PlatformClient, PlatformError, PlatformSettings, PutCondition};
use tokio::time::sleep;

fn client(platform: &PlatformStandin) -> PlatformClient {
    let settings = PlatformSettings {
        retry_reserve: 0,
        seed: 1,
        ..PlatformSettings::new("127.0.0.1:9")
    };
    PlatformClient::with_transport(&settings, platform.transport())
}

async fn listed(client: &PlatformClient) -> Vec<PlatformInstance> {
    client.instances().await.unwrap().instances
}

/// A fault must concern its service only.
#[tokio::test(start_paused = true)]
async fn fault_scopes() {
    for scope in [
        FaultScope::Table,
        FaultScope::Objects,
        FaultScope::Instances,
    ] {
        let platform = PlatformStandin::new();
        let client = client(&platform);
        platform.set_faults(PlatformFaults {
            scope,
            down: true,
            ..PlatformFaults::default()
        });
        let table = client.read(&["row"]).await.is_ok();
        let objects = client.get_object("a").await.is_ok();
        let list = client.instances().await.is_ok();
        assert_eq!(table, scope != FaultScope::Table);
        assert_eq!(objects, scope != FaultScope::Objects);
        assert_eq!(list, scope != FaultScope::Instances);
    }
}

/// The same seed must give the same faults, at about the probability asked for.
#[tokio::test(start_paused = true)]
async fn seeded_faults() {
    let mut patterns = Vec::new();
    for _ in 0..2 {
        let platform = PlatformStandin::with_seed(3);
        platform.set_faults(PlatformFaults {
            down: true,
            down_per_mille: 300,
            ..PlatformFaults::default()
        });
        let mut pattern = Vec::new();
        for _ in 0..500 {
            // A client of its own for each call keeps the breaker out of the way.
            pattern.push(client(&platform).scan("", None, 1).await.is_err());
        }
        patterns.push(pattern);
    }
    assert_eq!(patterns[0], patterns[1]);
    let failed = patterns[0].iter().filter(|failed| **failed).count();
    assert!((100..200).contains(&failed), "{failed} of 500");
}

/// A slow write must take effect although its caller has given up, and a lost answer is a write.
#[tokio::test(start_paused = true)]
async fn effect_without_answer() {
    let platform = PlatformStandin::new();
    let client = client(&platform);
    let slow = PlatformFaults {
        delay_ms: 3_000,
        ..PlatformFaults::default()
    };
    let lost = PlatformFaults {
        lose_answers: true,
        ..PlatformFaults::default()
    };
    for (number, faults) in [slow, lost].into_iter().enumerate() {
        platform.set_faults(faults);
        let key = format!("row/{number}");
        let operation = OperationId(number as u128 + 1);
        let written = client.put_row(&key, &1, PutCondition::Absent, operation);
        assert_matches!(written.await, Err(PlatformError::NoAnswer { .. }));
        platform.set_faults(PlatformFaults::default());
        sleep(Duration::from_secs(4)).await;
        assert_eq!(client.read(&[key.as_str()]).await.unwrap().len(), 1);
    }
}

/// Changes must appear in the list only after its lag, and in order.
#[tokio::test(start_paused = true)]
async fn list_lag() {
    let platform = PlatformStandin::new();
    let client = client(&platform);
    let fleet = BackendFleet::start(&platform, &FleetSettings::new(2))
        .await
        .unwrap();
    let names = fleet.names();
    assert_eq!(listed(&client).await.len(), 2);
    platform.set_list_lag(Duration::from_secs(5));
    assert!(platform.drain(&names[0]));
    platform.remove_instance(&names[1]);
    sleep(Duration::from_millis(4_900)).await;
    let before = listed(&client).await;
    assert!(before.iter().all(|item| item.state == ListedState::Live));
    assert_eq!(before.len(), 2);
    sleep(Duration::from_millis(200)).await;
    let after = listed(&client).await;
    assert_eq!(after.len(), 1);
    assert_eq!(after[0].state, ListedState::Leaving);
}

/// A reboot must end the instance's tasks, hide it and bring it back with a new boot number.
#[tokio::test]
async fn rebooted_instance() {
    let platform = PlatformStandin::new();
    platform.set_reboot_time(Duration::from_secs(1));
    let client = client(&platform);
    let fleet = BackendFleet::start(&platform, &FleetSettings::new(2))
        .await
        .unwrap();
    let name = &fleet.names()[0];
    let before = listed(&client).await.remove(0);
    let address = before.address.parse().unwrap();
    let mut events = platform.instance_events();
    let mut next = async || events.recv().await.unwrap();
    platform.drain(name);
    client.reboot(name).await.unwrap();
    client.reboot(name).await.unwrap();
    assert_eq!(listed(&client).await.len(), 1);
    assert_eq!(next().await, InstanceEvent::Leaving(name.clone()));
    assert_eq!(next().await, InstanceEvent::RebootStarted(name.clone()));
    let answers = async || {
        let answer = run(address, "a", &script("", 0), &[]).await;
        answer.is_ok_and(|answer| answer.status == 200)
    };
    while answers().await {}
    assert_eq!(next().await, InstanceEvent::RebootDone(name.clone()));
    let after = listed(&client).await.remove(0);
    assert_eq!(after.boot, before.boot + 1);
    assert_eq!(after.state, ListedState::Live);
    while !answers().await {
        sleep(Duration::from_millis(5)).await;
    }
    platform.fail_next_reboot(name);
    platform.set_reboot_time(Duration::ZERO);
    client.reboot(name).await.unwrap();
    sleep(Duration::from_millis(200)).await;
    assert_eq!(listed(&client).await.len(), 1);
    assert!(!answers().await);
}

/// A drained instance must refuse work; a killed one must be gone until it is restarted.
#[tokio::test]
async fn fleet_members() {
    let platform = PlatformStandin::new();
    let client = client(&platform);
    let fleet = BackendFleet::start(&platform, &FleetSettings::new(20))
        .await
        .unwrap();
    let racks: std::collections::BTreeMap<_, usize> =
        listed(&client)
            .await
            .iter()
            .fold(Default::default(), |mut racks, item| {
                *racks
                    .entry((item.zone.clone(), item.rack.clone()))
                    .or_default() += 1;
                racks
            });
    assert_eq!(
        racks.values().copied().collect::<Vec<_>>(),
        [4, 1, 4, 1, 4, 1, 4, 1]
    );
    let names = fleet.names();
    platform.drain(&names[0]);
    let draining = fleet.backend(&names[0]).unwrap();
    until(|| draining.faults().mode == BackendMode::Draining).await;
    fleet.kill(&names[1]).await;
    assert_eq!(listed(&client).await.len(), 19);
    fleet.restart(&names[1]).await.unwrap();
    let restarted = listed(&client).await;
    assert_eq!(restarted[1].boot, 2);
    let address = restarted[1].address.parse().unwrap();
    assert_eq!(
        run(address, "a", &script("", 0), &[]).await.unwrap().status,
        200
    );
}

/// The switches and counters must be usable over HTTP.
#[tokio::test]
async fn http_control() {
    let platform = PlatformStandin::new();
    let server = platform.serve(any_port()).await.unwrap();
    let address = server.address();
    let post = async |path: &str, body: Vec<u8>| {
        let answer = call("POST", address, path, &[], Bytes::from(body)).await;
        answer.unwrap().status
    };
    let settings = br#"{"list_lag_ms":5,"rate_limits":{"writes":100}}"#.to_vec();
    assert_eq!(post("/dev/settings", settings).await, 200);
    assert_eq!(post("/dev/settings", b"{\"no\":1}".to_vec()).await, 400);
    let write = br#"{"operation":"1","conditions":[],"puts":[],"deletes":[]}"#;
    for _ in 0..3 {
        assert_eq!(post("/v1/table/write", write.to_vec()).await, 200);
    }
    let counters = call("GET", address, "/dev/counters", &[], "")
        .await
        .unwrap();
    let counters: StoreCounters = serde_json::from_slice(&counters.body).unwrap();
    assert_eq!((counters.table_writes, counters.refused), (3, 0));
    assert_eq!(counters, platform.counters());
    let faults = br#"{"scope":"table","down":true}"#.to_vec();
    assert_eq!(post("/dev/faults", faults).await, 200);
    assert_eq!(post("/v1/table/read", b"{\"keys\":[]}".to_vec()).await, 503);
    let event = br#"[{"event":"refused-full","worker":"w"}]"#.to_vec();
    assert_eq!(post("/dev/observer/events", event).await, 200);
    let seen = call("GET", address, "/dev/observer/violations", &[], "")
        .await
        .unwrap();
    let seen: ViolationCounts = serde_json::from_slice(&seen.body).unwrap();
    assert_eq!(seen.over_slots, 1);
    assert_eq!(post("/dev/instances/unknown/drain", Vec::new()).await, 404);
    platform.apply(PlatformControl::default());
    assert!(!platform.reboot(&InstanceName::new("unknown")));
}
