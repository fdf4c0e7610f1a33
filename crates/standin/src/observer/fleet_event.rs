use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Something that a stand-in saw or a test announces. It counts from the time of its arrival.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum FleetEvent {
    /// A backend server started a task.
    Started {
        /// Name of the backend server.
        worker: CompactString,
        /// Attempt, unique in the fleet.
        attempt: CompactString,
        /// Pool that the request named.
        pool: CompactString,
        /// Team that the request named.
        team: CompactString,
        /// Key id that the task's script names, if any.
        key: Option<CompactString>,
        /// Identifier of a non-idempotent job, if the script names one.
        once: Option<CompactString>,
        /// Slots that the task takes.
        slots: u32,
        /// Slots of the worker.
        worker_slots: u32,
    },
    /// A task ended.
    Ended {
        /// Name of the backend server.
        worker: CompactString,
        /// Attempt.
        attempt: CompactString,
    },
    /// A backend server refused a task because it would exceed its slots.
    RefusedFull {
        /// Name of the backend server.
        worker: CompactString,
    },
    /// A backend server refused a task because it is leaving.
    RefusedLeaving {
        /// Name of the backend server.
        worker: CompactString,
    },
    /// A connection to a backend server was opened.
    ConnectionOpened {
        /// Name of the backend server.
        worker: CompactString,
        /// Connections allowed.
        limit: usize,
    },
    /// A connection to a backend server was closed.
    ConnectionClosed {
        /// Name of the backend server.
        worker: CompactString,
    },
    /// A backend server starts to leave.
    Leaving {
        /// Name of the backend server.
        worker: CompactString,
    },
    /// A backend server takes work again.
    Returned {
        /// Name of the backend server.
        worker: CompactString,
    },
    /// A backend server's process ended, and its tasks with it.
    Killed {
        /// Name of the backend server.
        worker: CompactString,
    },
    /// A team's upper limit must hold after a time.
    TeamLimit {
        /// Team.
        team: CompactString,
        /// Tasks that may be running across the fleet.
        limit: u32,
        /// Milliseconds from now.
        in_ms: u64,
    },
    /// A key was withdrawn.
    KeyWithdrawn {
        /// Key id.
        key: CompactString,
    },
    /// All keys of a team were withdrawn.
    TeamWithdrawn {
        /// Team.
        team: CompactString,
    },
    /// A pool's availability budget.
    PoolBudget {
        /// Pool.
        pool: CompactString,
        /// Instances that may be out of service at once.
        budget: u32,
    },
    /// An instance goes out of service.
    OutOfService {
        /// Name of the instance.
        worker: CompactString,
        /// Its pool; the pool of its last task if none is given.
        pool: Option<CompactString>,
        /// Whether this was planned.
        planned: bool,
    },
    /// An instance is in service again.
    InService {
        /// Name of the instance.
        worker: CompactString,
    },
}
