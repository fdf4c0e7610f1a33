//! Ownership of the pools: the owner places tasks, keeps leases at workers and records ends of
//! runs.

mod advice_calls;
mod call_sender;
mod hand_over;
mod heartbeat_limits;
mod heartbeat_view;
mod inventory_view;
mod job_intake;
mod overload_report;
mod owner_actor;
mod owner_event;
mod owner_health;
mod owner_lag;
mod owner_lease;
mod owner_loop;
mod owner_policy;
mod owner_rows;
mod owner_watch;
mod owner_writes;
mod ownership;
mod partition_check;
mod partition_loader;
mod pool_scaler;
mod record_writer;
mod stored_states;
mod table_intake;
mod takeover;
mod takeover_delay;
mod takeover_kind;
mod wait_log;
mod wave_inventory;
mod wave_orders;
mod wave_progress;
mod wave_runner;
mod worker_calls;
mod worker_links;
mod zone_evacuation;

pub(crate) use heartbeat_view::HeartbeatView;
pub(crate) use owner_event::OwnerEvent;
pub use owner_loop::OwnerLoop;
pub use owner_policy::OwnerPolicy;
