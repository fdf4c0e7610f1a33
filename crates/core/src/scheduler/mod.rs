//! Job scheduler of one entry instance: admission, queues, units and worker selection.

mod admission;
mod attempt_outcome;
mod borrowing;
mod dispatching;
mod exchanging;
mod extra_exchange;
mod fleet_index;
mod fleet_update;
mod index;
mod job_record;
mod job_refusal;
mod job_scheduler;
mod job_spec;
mod job_table;
mod lending;
mod outcome;
mod pool_entry;
mod preemption;
mod quarantine;
mod releasing;
mod scheduler_action;
mod scheduler_policy;
mod sharing;
mod shutting_down;
mod team_entry;
mod timers;
mod usage_report;
mod worker_update;
mod zone_evacuation;

pub use attempt_outcome::{AttemptOutcome, FinishOutcome};
pub(crate) use index::{FlowIndex, KeyIndex, PoolIndex, TeamIndex, WorkerIndex};
pub(crate) use job_record::JobRecord;
pub use job_refusal::JobRefusal;
pub use job_scheduler::JobScheduler;
pub use job_spec::JobSpec;
pub(crate) use job_table::JobTable;
pub use scheduler_action::{DispatchOrder, SchedulerAction};
pub use scheduler_policy::SchedulerPolicy;
pub use usage_report::{FlowUsage, UnitUsage, UsageReport};

slotmap::new_key_type! {
    /// A job that is queued or running at this entry instance.
    pub struct JobKey;
    /// One attempt to run a job on a worker.
    pub struct AttemptKey;
}
