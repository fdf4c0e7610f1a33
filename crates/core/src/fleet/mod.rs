//! Agreed state of the fleet: the fold of the change log.

mod change_record;
mod fleet_change;
mod fleet_state;
mod instance_record;
mod instance_state;
mod key_record;
mod pool_record;
mod queue_record;
mod session_view;
mod team_record;

pub use change_record::ChangeRecord;
pub use fleet_change::FleetChange;
pub use fleet_state::{ApplyError, FleetState};
pub use instance_record::InstanceRecord;
pub use instance_state::InstanceState;
pub use key_record::KeyRecord;
pub use pool_record::PoolRecord;
pub use queue_record::QueueRecord;
pub use session_view::SessionView;
pub use team_record::{OPEN_TEAM, TeamRecord};
