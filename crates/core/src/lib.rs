//! Decision library of sesamedeal.
//!
//! The library does no I/O and has no clock. Time ([`time::TimePoint`]) and random numbers are
//! arguments, so that a caller can run every decision on a virtual clock with a fixed seed.

pub mod code;
pub mod exchange;
pub mod fleet;
pub mod ids;
pub mod ledger;
pub mod placement;
pub mod queue;
pub mod retry;
pub mod scheduler;
pub mod time;
