//! Measures of the decisions on virtual time, each beside a baseline of the same run.
//!
//! The schedulers, the planner and the controller are the real ones. What they talk to is
//! replaced by a list of running tasks with their end times, a change log in memory and a list
//! of instances. `docs/measures.md` defines the measures.

mod caller_group;
mod day_figures;
mod day_measure;
mod day_record;
mod day_world;
mod entry_fleet;
mod first_come;
mod generated_days;
mod limit_measure;
mod lower_bound;
mod measure_report;
mod measure_scope;
pub mod pools;
mod request_fleet;
mod request_measure;
mod round;
mod share_fleet;
mod share_measure;
mod share_simulation;
mod usage_record;
mod user_profile;

pub use day_figures::{DayFigures, RowFigures};
pub use generated_days::GeneratedDays;
pub use limit_measure::LimitFigures;
pub use measure_report::{MeasureReport, MeasuredUser, PlanFigures, UserReport, measure_users};
pub use measure_scope::MeasureScope;
pub use request_measure::{PathFigures, RequestRound, measure_requests};
pub use share_measure::{ShareDeviation, ShareFigures};
