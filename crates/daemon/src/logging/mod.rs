//! Structured logs on standard error.

mod log_setup;

pub use log_setup::root_logger;
