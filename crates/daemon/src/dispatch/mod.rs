//! The actor that owns the scheduler, and the way of a job through it.

mod attempt_ender;
mod cancel_list;
mod control_handlers;
mod dispatch_actor;
mod dispatch_core;
mod dispatch_desk;
mod dispatch_messages;
mod evidence_flag;
mod job_answer;
mod job_body;
mod job_guard;
mod job_runner;
mod shutdown_signal;

pub(crate) use cancel_list::CancelList;
pub(crate) use control_handlers::{
    BuildExchange, ReadProgress, ReadSuggestions, ReadUnconfirmed, ReadUsage, TakeExchange,
};
pub(crate) use dispatch_actor::DispatchActor;
pub(crate) use dispatch_core::DispatchParts;
pub(crate) use dispatch_desk::DispatchDesk;
pub(crate) use dispatch_messages::{ApplyState, HandOverUnits, StopTaking};
pub(crate) use evidence_flag::EvidenceFlag;
pub(crate) use job_answer::JobAnswer;
pub(crate) use job_body::{AnswerBroken, JobBody};
pub(crate) use job_runner::{JobInput, JobRunner};
pub(crate) use shutdown_signal::ShutdownSignal;
