//! Stored jobs made of steps and tasks: their contents, scheduling and placement on workers.
//!
//! [`JobDispatcher`] combines the parts. Its inputs are the reports of workers and the store, and
//! its outputs are orders for the workers and records for the store.

mod advice_backlog;
mod crash_history;
mod dispatch_policy;
mod dispatcher;
mod estimate_ratio;
mod fleet_rules;
mod health_record;
mod hold_report;
mod job_entry;
mod job_id;
mod job_order;
mod job_phase;
mod job_priority;
mod job_record;
mod lost_run;
mod maintenance_plan;
mod overload_plan;
mod pace_control;
mod placement_wait;
mod pool_history;
mod pool_load;
mod queue_overload;
mod queue_sizes;
mod rack_outlook;
mod record_queue;
mod reserved_worker;
mod resource_amount;
mod retry_delay;
mod run_entry;
mod scaled_amount;
mod scaling_planner;
mod scaling_policy;
mod size_change;
mod step_spec;
mod surge_history;
mod suspect_counts;
mod task_entry;
mod task_name;
mod ticket_cache;
mod unreachable_worker;
mod unread_partitions;
mod worker_choice;
mod worker_entry;
mod worker_order;
mod worker_report;

pub use crash_history::{TaskCrashes, WorkerCrash};
pub use dispatch_policy::DispatchPolicy;
pub use dispatcher::{
    AbandonedTask, CoveredEnd, JobDispatcher, KeptCounts, OverloadChange, RecordBatch, WriteLimit,
};
pub use fleet_rules::{AdviceRule, FleetRules, OrderRules, PoolRule, QueueRule, TeamRule};
pub use health_record::HealthRecord;
pub use hold_report::{EndKind, HoldReport, RunEnd, RunReport};
pub use job_id::JobId;
pub use job_order::{JobOrder, JobSchedule};
pub use job_phase::JobPhase;
pub use job_priority::{PriorityKey, USEFUL_MULTIPLE, UrgencyClass};
pub use job_record::{JobRecord, MAX_RECORD_BYTES, MAX_RECORD_ROW_BYTES, StepRecord};
pub use lost_run::{LossReason, LostRun};
pub use maintenance_plan::{
    MaintenanceCandidate, MaintenanceWave, evacuation_limit, next_candidate,
};
pub use pace_control::pace_percent;
pub use placement_wait::{MAX_PLACEMENT_WAIT, PlacementWait, WaitOutcome, WaitOutlook};
pub use pool_load::PoolLoad;
pub use queue_overload::QueueOverload;
pub use queue_sizes::QueueScale;
pub use reserved_worker::ReservedWorker;
pub use resource_amount::ResourceAmount;
pub use retry_delay::retry_delay;
pub use scaling_planner::{FleetSize, PoolState, ScalingPlanner};
pub use scaling_policy::ScalingPolicy;
pub use size_change::SizeChange;
pub use step_spec::StepSpec;
pub use suspect_counts::SuspectCounts;
pub use task_name::{StepName, TaskName};
pub use ticket_cache::{AdviceOutcome, AdviceRequest};
pub use unreachable_worker::UnreachableWorker;
pub use unread_partitions::UnreadPartitions;
pub use worker_choice::{WorkerOffer, choose_worker};
pub use worker_entry::WorkerKey;
pub use worker_order::{StartOrder, StartOutcome, WorkerOrder};
pub use worker_report::{WorkerReport, WorkerState};
