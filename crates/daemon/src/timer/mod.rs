//! The timer service that parts of the daemon subscribe to.

mod timer_service;
mod timer_ticks;

pub(crate) use timer_service::TimerService;
pub(crate) use timer_ticks::TimerTicks;
