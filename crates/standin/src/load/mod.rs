//! Load generator, bounded in count and time.

mod answer_check;
mod load_report;
mod load_run;
mod load_settings;
mod surge_shape;

pub use answer_check::{AnswerVerdict, check_answer};
pub use load_report::LoadReport;
pub use load_run::run_load;
pub use load_settings::{LoadMode, LoadSettings};
pub use surge_shape::{Arrival, SurgeShape};
