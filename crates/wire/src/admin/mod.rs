//! Messages of the operators' interface (`/status` and `/admin`), in JSON.

mod append_messages;
mod history_reply;
mod in_force_reply;
mod plan_context;
mod status_reply;

pub use append_messages::{AppendReply, AppendRequest};
pub use history_reply::HistoryReply;
pub use in_force_reply::InForceReply;
pub use plan_context::PlanContext;
pub use status_reply::{
    EvacuationStatus, InstanceStatus, PoolStatus, SessionStatus, StatusReply, ZoneStatus,
};
