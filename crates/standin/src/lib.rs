//! Stand-ins for the platform and the backend servers.
//!
//! They serve the interfaces that `docs/design.md` describes, with faults that can be switched at
//! run time, for tests, demonstration and measurement.

pub mod backend;
mod http_server;
pub mod platform;

pub use http_server::ServerHandle;
