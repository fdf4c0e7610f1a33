//! HTTP interface for callers.

mod answers;
mod body_budget;
mod body_reader;
mod caller_body;
mod caller_connection;
mod caller_phase;
mod caller_stream;
mod job_request;
mod job_service;
mod request_head;
mod request_path;
mod router;
mod server;

pub(crate) use body_budget::BodyBudget;
pub(crate) use job_service::JobService;
pub(crate) use request_path::{PathParts, RequestPath};
pub(crate) use router::Router;
pub(crate) use server::serve;
