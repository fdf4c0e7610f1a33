use std::io::Result;
use std::net::SocketAddr;

use super::process_signal::stop_requested;
use crate::loopback::check_loopback;
use crate::platform::{PlatformControl, PlatformStandin};

/// Options of `sesamedeal dev platform`.
#[derive(Debug, Clone, Copy)]
pub struct PlatformOptions {
    /// Loopback address to listen on.
    pub listen: SocketAddr,
    /// Seed of the faults.
    pub seed: u64,
    /// List lag, reboot time and rate limits.
    pub control: PlatformControl,
}

impl PlatformOptions {
    /// Creates options with a reboot time of 1 s, no list lag and no rate limits.
    #[must_use]
    pub fn new(listen: SocketAddr) -> Self {
        Self {
            listen,
            seed: 1,
            control: PlatformControl::default(),
        }
    }
}

/// Serves the platform's stand-in until SIGINT or SIGTERM.
///
/// `on_ready` is called with the address once the server listens.
///
/// # Errors
///
/// Fails when the address is not on loopback or cannot be bound.
pub async fn run_platform(
    options: PlatformOptions,
    on_ready: impl FnOnce(SocketAddr),
) -> Result<()> {
    check_loopback(options.listen)?;
    let platform = PlatformStandin::with_seed(options.seed);
    platform.apply(options.control);
    let server = platform.serve(options.listen).await?;
    on_ready(server.address());
    stop_requested().await?;
    server.stop().await;
    Ok(())
}
