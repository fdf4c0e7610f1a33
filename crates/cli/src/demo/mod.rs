//! Demonstration: a day's work and failures on the stand-ins, in one process.

mod demo_events;
mod demo_fleet;
mod demo_load;
mod demo_report;
mod demo_run;

pub(crate) use demo_report::DemoReport;
pub(crate) use demo_run::run_demo;
