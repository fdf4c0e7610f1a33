//! Stand-ins for the platform and the backend servers.
//!
//! They serve the interfaces that `docs/platform-protocol.md` and `docs/backend-protocol.md`
//! describe, with faults that can be switched at run time, for tests, demonstration and
//! measurement.

pub mod backend;
pub mod baseline;
mod http_server;
pub mod load;
mod loopback;
pub mod observer;
pub mod platform;
mod run;

pub use http_server::ServerHandle;
pub use run::{
    BackendOptions, ControlClient, PlatformOptions, run_backend, run_platform, serve_backend,
};
