use tokio::signal::unix::{SignalKind, signal};

/// Waits for SIGINT or SIGTERM.
pub(super) async fn stop_requested() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        result = tokio::signal::ctrl_c() => result,
        _ = terminate.recv() => Ok(()),
    }
}
