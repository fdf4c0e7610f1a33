//! HTTP interface for callers.

mod answers;
mod job_request;
mod router;
mod server;

pub(crate) use router::Router;
pub(crate) use server::serve;
