use std::time::Duration;

use compact_str::CompactString;

use super::{AttemptKey, JobKey, JobRefusal};
use crate::ids::{InstanceName, SessionId};

/// Order to send a job to a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DispatchOrder {
    /// Job to run.
    pub job: JobKey,
    /// Attempt that the order starts.
    pub attempt: AttemptKey,
    /// Worker that runs the attempt.
    pub worker: InstanceName,
    /// Address of the worker's backend server.
    pub address: CompactString,
    /// Longest time that the task can run.
    pub lease: Duration,
}

/// Action that the user of the scheduler must carry out.
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
    /// Request that the backend server stops an attempt and reports its end.
    Stop {
        /// Attempt to stop.
        attempt: AttemptKey,
        /// Address of the backend server.
        address: CompactString,
    },
    /// Exchange messages with a peer now, before the next regular exchange.
    Exchange {
        /// Session of the peer.
        peer: SessionId,
    },
}
