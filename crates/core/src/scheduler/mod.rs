//! Placement of jobs at one entry instance: admission, queues, units and worker choice.

mod attempt_outcome;
mod job_refusal;
mod job_scheduler;
mod job_spec;
mod scheduler_action;
mod scheduler_policy;

pub use attempt_outcome::{AttemptOutcome, FinishOutcome};
pub use job_refusal::JobRefusal;
pub use job_scheduler::JobScheduler;
pub use job_spec::JobSpec;
pub use scheduler_action::{DispatchOrder, SchedulerAction};
pub use scheduler_policy::SchedulerPolicy;

slotmap::new_key_type! {
    /// A job that is queued or running at this entry instance.
    pub struct JobKey;
    /// One attempt to run a job on a worker.
    pub struct AttemptKey;
}
