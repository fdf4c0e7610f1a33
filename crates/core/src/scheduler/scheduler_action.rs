use std::time::Duration;

use compact_str::CompactString;

use super::{AttemptKey, JobKey, JobRefusal};
use crate::ids::{InstanceName, SessionId};

/// Order to send a job to a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DispatchOrder {
    /// The job.
    pub job: JobKey,
    /// This attempt.
    pub attempt: AttemptKey,
    /// Worker that runs the attempt.
    pub worker: InstanceName,
    /// Address of the worker's backend server.
    pub address: CompactString,
    /// Longest time that the task may run.
    pub lease: Duration,
}

/// What the caller of the scheduler has to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SchedulerAction {
    /// Send a job to a worker.
    Dispatch(DispatchOrder),
    /// Answer the caller of a queued job.
    Refuse {
        /// The job, which is no longer queued.
        job: JobKey,
        /// The answer.
        refusal: JobRefusal,
    },
    /// Ask the backend server to stop an attempt and report its end.
    Stop {
        /// The attempt.
        attempt: AttemptKey,
        /// Address of the backend server.
        address: CompactString,
    },
    /// Exchange messages with a peer now instead of at the next turn.
    Exchange {
        /// Session of the peer.
        peer: SessionId,
    },
}
