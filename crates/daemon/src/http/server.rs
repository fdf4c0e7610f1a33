use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Duration, sleep};

use super::Router;
use super::caller_connection::serve_caller;

/// Delay after a failure to accept, for example when no file descriptors are left.
const ACCEPT_DELAY: Duration = Duration::from_millis(10);

/// Serves callers until `stop` is set, then lets open requests end.
pub(crate) async fn serve(listener: TcpListener, router: Router, mut stop: watch::Receiver<bool>) {
    // Connections end with this task, so that an aborted server leaves none behind.
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stopped| *stopped) => break,
        };
        while connections.try_join_next().is_some() {}
        let Ok((stream, remote)) = accepted else {
            sleep(ACCEPT_DELAY).await;
            continue;
        };
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        let router = Router {
            remote: Some(remote),
            ..router.clone()
        };
        connections.spawn(serve_caller(stream, router, stop.clone()));
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}
