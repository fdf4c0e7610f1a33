//! Decision library of sesamedeal.
//!
//! The library does no I/O and reads no clock. Time ([`time::TimePoint`]) and random numbers are
//! arguments, so a caller can run every decision on a virtual clock with a fixed seed.

pub mod claims;
pub mod code;
pub mod control;
pub mod evidence;
pub mod exchange;
pub mod fleet;
pub mod ids;
pub mod jobs;
pub mod keys;
pub mod lease;
pub mod ledger;
pub mod membership;
pub mod moves;
pub mod placement;
pub mod queue;
pub mod retry;
pub mod scheduler;
pub mod sheet;
pub mod time;
pub mod waves;
