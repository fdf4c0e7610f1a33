//! Connections of the load generator and the pass-through proxy.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use common::any_port;
use sesamedeal_standin::ServerHandle;
use sesamedeal_standin::backend::{BackendSettings, BackendStandin, EventSink};
use sesamedeal_standin::baseline::BaselineProxy;
use sesamedeal_standin::load::{LoadSettings, run_load};
use sesamedeal_standin::observer::FleetEvent;

/// A server and the number of connections that were opened to it.
async fn counted_server() -> (ServerHandle, Arc<AtomicUsize>) {
    let opened = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&opened);
    let backend = BackendStandin::with_settings(BackendSettings {
        events: EventSink::new(move |event| {
            let is_opened = matches!(event, FleetEvent::ConnectionOpened { .. });
            count.fetch_add(usize::from(is_opened), Ordering::Relaxed);
        }),
        ..BackendSettings::new("w")
    });
    (backend.serve(any_port()).await.unwrap(), opened)
}

/// Callers must keep their connections, or a measurement would mostly time their opening.
#[tokio::test]
async fn kept_connections() {
    for through_proxy in [false, true] {
        let (server, opened) = counted_server().await;
        let proxy = BaselineProxy::new(vec![server.address()]).unwrap();
        let front = proxy.serve(any_port()).await.unwrap();
        let target = if through_proxy { &front } else { &server };
        let report = run_load(LoadSettings {
            max_requests: 400,
            expect_codes: false,
            ..LoadSettings::new(vec![target.address()], "q")
        });
        // The server itself answers the callers' path with 404, which the check finds.
        let report = report.await.unwrap();
        assert_eq!(report.succeeded(), if through_proxy { 400 } else { 0 });
        assert_eq!(report.sent, 400);
        let opened = opened.load(Ordering::Relaxed);
        assert!((1..=16).contains(&opened), "{opened} connections");
    }
}
