//! Structured logs on standard output.

mod log_setup;

pub(crate) use log_setup::root_logger;
