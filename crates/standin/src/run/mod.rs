//! Stand-ins as separate processes, for the command line.

mod control_client;
mod event_feed;
mod process_signal;
mod run_backend;
mod run_platform;

pub use control_client::ControlClient;
pub use run_backend::{BackendOptions, run_backend, serve_backend};
pub use run_platform::{PlatformOptions, run_platform};
