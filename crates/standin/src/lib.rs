//! Stand-ins for the platform and the backend servers.
//!
//! They serve the interfaces that `docs/platform-protocol.md` and `docs/backend-protocol.md`
//! describe, with faults that can be switched at run time, for tests, demonstration and
//! measurement.

pub mod backend;
mod http_server;
pub mod observer;
pub mod platform;

pub use http_server::ServerHandle;
