//! Structured logs on standard error.

mod log_setup;

pub(crate) use log_setup::root_logger;
