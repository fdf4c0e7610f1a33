//! The actor that owns the scheduler, and the calls to backend servers.

mod backend_call;
mod control_handlers;
mod dispatch_actor;
mod dispatch_messages;
mod job_guard;
mod job_runner;

pub(crate) use backend_call::BackendClient;
pub(crate) use control_handlers::{BeginShutdown, BuildExchange, ReadProgress, TakeExchange};
pub(crate) use dispatch_actor::DispatchActor;
pub(crate) use dispatch_messages::{ApplyState, DriveQueue};
pub(crate) use job_runner::{JobAnswer, JobRunner};
