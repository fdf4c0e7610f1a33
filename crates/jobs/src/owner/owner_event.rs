use sesamedeal_core::jobs::{AdviceRequest, StartOutcome, TaskName, WorkerKey};
use sesamedeal_core::time::TimePoint;
use sesamedeal_store::Result;

use super::hand_over::SuccessorSearch;
use super::partition_check::PartitionReport;
use super::partition_loader::LoadedPartition;
use crate::feeds::TableEvent;
use crate::ports::{
    AdviceAnswer, HoldOutcome, InstanceReport, OfferOutcome, OrderOutcome, TransactOutcome,
};

/// Events that the owner handles.
#[derive(Debug)]
pub(crate) enum OwnerEvent {
    /// A scheduling round is due.
    Round,
    /// The ownership is about to be released.
    Retire,
    /// Partitions of the stored jobs have been read.
    Loaded(Vec<LoadedPartition>),
    /// Rows of the job table changed.
    Jobs(TableEvent),
    /// Rows of the worker list changed.
    Workers(TableEvent),
    /// A search for a successor ended.
    Searched {
        /// Whether the search was limited to larger instances.
        is_larger: bool,
        outcome: Result<SuccessorSearch>,
    },
    /// An offer of the ownership ended.
    OfferEnded(Result<OfferOutcome>),
    /// A hold call to a worker ended.
    Held {
        key: WorkerKey,
        /// Fence number of the call. Answers to calls of a replaced link are ignored.
        fence: u64,
        sent: TimePoint,
        outcome: Result<HoldOutcome>,
    },
    /// A start order to a worker ended.
    Started {
        key: WorkerKey,
        fence: u64,
        task: TaskName,
        run: u64,
        outcome: StartOutcome,
    },
    /// A worker answered a stop order; `accepted` is false if the worker has fenced this owner off.
    Stopped {
        key: WorkerKey,
        fence: u64,
        task: TaskName,
        run: u64,
        accepted: bool,
    },
    /// A write of records ended.
    Written {
        /// Number of the write. Answers to writes that were given up are ignored.
        number: u64,
        sent: TimePoint,
        outcome: Result<TransactOutcome>,
    },
    /// A check of the partitions of the store ended.
    PartitionsChecked(PartitionReport),
    /// A read of the inventory ended.
    Inventory {
        sent: TimePoint,
        outcome: Result<Vec<InstanceReport>>,
    },
    /// A maintenance order ended.
    MaintenanceOrdered {
        wave: u64,
        instance: sesamedeal_core::ids::InstanceName,
        outcome: Result<OrderOutcome>,
    },
    /// An order to move an instance ended.
    MoveOrdered {
        instance: sesamedeal_core::ids::InstanceName,
        outcome: Result<OrderOutcome>,
    },
    /// A request to the policy service ended.
    Advised {
        request: AdviceRequest,
        sent: TimePoint,
        outcome: Result<AdviceAnswer>,
    },
    /// A write of a wave's status ended.
    StatusWritten {
        wave: u64,
        outcome: Result<TransactOutcome>,
    },
}
