use std::convert::Infallible;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::Router;

/// Time within which a caller must send its headers.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest size of a request's headers, in bytes.
const MAX_HEADER_BYTES: usize = 16 * 1024;

/// Serves callers until `stop` is set, then lets open requests end.
pub(crate) async fn serve(listener: TcpListener, router: Router, mut stop: watch::Receiver<bool>) {
    let graceful = GracefulShutdown::new();
    // Connections end with this task, so that an aborted server leaves none behind.
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stopped| *stopped) => break,
        };
        let Ok((stream, remote)) = accepted else {
            continue;
        };
        while connections.try_join_next().is_some() {}
        let router = Router {
            remote: Some(remote),
            ..router.clone()
        };
        let service = service_fn(move |request| {
            let reply = router.clone().answer(request);
            async move { Ok::<_, Infallible>(reply.await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEADER_TIMEOUT)
            .max_buf_size(MAX_HEADER_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        let watched = graceful.watch(connection);
        connections.spawn(async move {
            // A caller that goes away is an ordinary end of its connection.
            drop(watched.await);
        });
    }
    graceful.shutdown().await;
}
