//! Backend servers that register with a platform over HTTP.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{any_port, call, run, script, until};
use sesamedeal_core::ids::InstanceName;
use sesamedeal_standin::platform::{PlatformFaults, PlatformStandin};
use sesamedeal_standin::{
    BackendOptions, ControlClient, PlatformOptions, ServerHandle, run_platform, serve_backend,
};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::sleep;

struct TestBackend {
    address: SocketAddr,
    stop: oneshot::Sender<()>,
    task: JoinHandle<std::io::Result<()>>,
}

async fn start_backend(server: &ServerHandle, name: &str) -> TestBackend {
    let options = BackendOptions {
        platform: Some(server.address()),
        ..BackendOptions::new(any_port(), name)
    };
    let (stop, stopped) = oneshot::channel::<()>();
    let (ready, address) = oneshot::channel();
    let stopped = async {
        stopped.await.unwrap();
        Ok(())
    };
    let task = tokio::spawn(serve_backend(
        options,
        |address| ready.send(address).unwrap(),
        stopped,
    ));
    TestBackend {
        address: address.await.unwrap(),
        stop,
        task,
    }
}

async fn works(address: SocketAddr, attempt: &str) -> bool {
    let answer = run(address, attempt, &script("", 0), &[]).await;
    answer.is_ok_and(|answer| answer.status == 200)
}

/// A separate server must be listed, report to the observer, drain, reboot and leave the list.
#[tokio::test]
async fn registered_backend() {
    let platform = PlatformStandin::new();
    platform.set_reboot_time(Duration::from_millis(500));
    let server = platform.serve(any_port()).await.unwrap();
    let backend = start_backend(&server, "w").await;
    let name = InstanceName::new("w");
    assert_eq!(platform.instance_status(&name).unwrap().boot, 1);
    assert!(works(backend.address, "a").await);
    until(|| platform.observer().started() == 1).await;
    platform.observer().withdraw_team("t");
    let client = ControlClient::new(server.address()).unwrap();
    client.drain(&name).await.unwrap();
    let mut number = 0;
    while works(backend.address, &format!("b{number}")).await {
        number += 1;
        sleep(Duration::from_millis(10)).await;
    }
    assert!(platform.reboot(&name));
    while !works(backend.address, &format!("c{number}")).await {
        number += 1;
        sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(platform.instance_status(&name).unwrap().boot, 2);
    backend.stop.send(()).unwrap();
    backend.task.await.unwrap().unwrap();
    assert_eq!(platform.instance_status(&name), None);
    assert_eq!(platform.observer().team_running("t"), 0);
    assert_eq!(client.counters().await.unwrap(), platform.counters());
    assert_eq!(
        client.violations().await.unwrap(),
        platform.observer().violations()
    );
}

/// A server that is stopped must finish its tasks; a killed one must not, and stays listed.
#[tokio::test]
async fn ended_backend() {
    let platform = PlatformStandin::new();
    let server = platform.serve(any_port()).await.unwrap();
    for kill in [false, true] {
        let backend = start_backend(&server, "w").await;
        let address = backend.address;
        let before = platform.observer().started();
        let task = tokio::spawn(async move { run(address, "a", &script("", 1000), &[]).await });
        until(|| platform.observer().started() == before + 1).await;
        if kill {
            call("POST", address, "/dev/kill", &[], "").await.unwrap();
        } else {
            backend.stop.send(()).unwrap();
        }
        assert_eq!(task.await.unwrap().is_ok(), !kill);
        backend.task.await.unwrap().unwrap();
        until(|| platform.observer().team_running("t") == 0).await;
        let status = platform.instance_status(&InstanceName::new("w"));
        assert_eq!(status.is_some(), kill);
    }
}

/// Stand-ins have no protection, so they must not listen on other than loopback addresses.
#[tokio::test]
async fn loopback_only() {
    let foreign = "0.0.0.0:0".parse().unwrap();
    assert!(
        run_platform(PlatformOptions::new(foreign), drop)
            .await
            .is_err()
    );
    let options = BackendOptions::new(foreign, "w");
    let never = std::future::pending();
    assert!(serve_backend(options, drop, never).await.is_err());
    assert!(ControlClient::new(foreign).is_err());
}

/// The faults of a separate platform must be switchable through the client.
#[tokio::test]
async fn remote_faults() {
    let platform = PlatformStandin::new();
    let server = platform.serve(any_port()).await.unwrap();
    let client = ControlClient::new(server.address()).unwrap();
    let down = PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    };
    client.set_faults(&down).await.unwrap();
    let read = || {
        call(
            "POST",
            server.address(),
            "/v1/table/read",
            &[],
            "{\"keys\":[]}",
        )
    };
    assert_eq!(read().await.unwrap().status, 503);
    client.set_faults(&PlatformFaults::default()).await.unwrap();
    assert_eq!(read().await.unwrap().status, 200);
}
