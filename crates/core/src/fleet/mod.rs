//! Replicated state of the fleet, built by applying the records of the change log in order.

mod apply_change;
mod apply_error;
mod apply_limits;
mod change_record;
mod day_time;
mod fleet_change;
mod fleet_state;
mod instance_change;
mod instance_record;
mod instance_state;
mod key_record;
mod pool_record;
mod queue_record;
mod session_view;
mod sheet_record;
mod state_entry;
mod state_index;
mod team_record;
mod wave_change;
mod wave_record;

pub use apply_error::ApplyError;
pub use apply_limits::ApplyLimits;
pub use change_record::ChangeRecord;
pub use day_time::{DayTime, SECONDS_PER_DAY};
pub use fleet_change::FleetChange;
pub use fleet_state::FleetState;
pub use instance_record::InstanceRecord;
pub use instance_state::InstanceState;
pub use key_record::KeyRecord;
pub use pool_record::PoolRecord;
pub use queue_record::QueueRecord;
pub use session_view::SessionView;
pub use sheet_record::{SheetItem, SheetRecord, SheetRow};
pub use state_index::PoolCount;
pub use team_record::{OPEN_TEAM, TeamRecord};
pub use wave_record::{MemberStep, WaveRecord, WaveStatus};
