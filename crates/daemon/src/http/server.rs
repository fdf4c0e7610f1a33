use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::{Duration, sleep};

use super::Router;
use super::caller_connection::serve_caller;

/// Delay after a failure to accept, for example when no file descriptors are left.
const ACCEPT_DELAY: Duration = Duration::from_millis(10);

/// Serves callers until `stop` is set, then lets open requests end.
pub(crate) async fn serve(listener: TcpListener, router: Router, mut stop: watch::Receiver<bool>) {
    // The channel closes when the last connection has dropped its sender.
    let (open, mut ended) = mpsc::channel::<()>(1);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stopped| *stopped) => break,
        };
        let Ok((stream, _)) = accepted else {
            sleep(ACCEPT_DELAY).await;
            continue;
        };
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        let (router, stop, open) = (router.clone(), stop.clone(), open.clone());
        tokio::spawn(async move {
            serve_caller(stream, router, stop).await;
            drop(open);
        });
    }
    drop(listener);
    drop(open);
    // Nothing is sent; the end of the channel is what counts.
    let _: Option<()> = ended.recv().await;
}
