use std::collections::BTreeSet;

use sesamedeal_core::jobs::{AdviceRequest, RecordBatch, StartOutcome, TaskName, WorkerKey};
use sesamedeal_core::time::TimePoint;
use sesamedeal_store::Result;

use super::hand_over::SuccessorSearch;
use crate::feeds::TableEvent;
use crate::ports::{
    AdviceAnswer, HoldOutcome, InstanceReport, OfferOutcome, OrderOutcome, RowPartition,
    TransactOutcome,
};

/// What the owner reacts to.
#[derive(Debug)]
pub(crate) enum OwnerEvent {
    /// A round of decisions is due.
    Round,
    /// The process is about to stop.
    Retire,
    /// The table of jobs changed.
    Jobs(TableEvent),
    /// The list of workers changed.
    Workers(TableEvent),
    /// A successor was looked for.
    SuccessorSearched {
        /// Whether only larger instances were asked.
        is_larger: bool,
        outcome: Result<SuccessorSearch>,
    },
    /// An offer of the ownership has ended.
    OfferEnded(Result<OfferOutcome>),
    /// A worker answered a call for its lists, or did not.
    Held {
        key: WorkerKey,
        /// Generation of the link, so that answers of a replaced address do not count.
        generation: u64,
        sent: TimePoint,
        outcome: Result<HoldOutcome>,
    },
    /// A worker answered a start order.
    Started {
        key: WorkerKey,
        task: TaskName,
        run: u64,
        outcome: StartOutcome,
    },
    /// A worker answered a stop order; false if it is fenced.
    Stopped {
        key: WorkerKey,
        task: TaskName,
        run: u64,
        accepted: bool,
    },
    /// The store answered a write.
    Written {
        batch: RecordBatch,
        sent: TimePoint,
        outcome: Result<TransactOutcome>,
    },
    /// These partitions of the store did not answer.
    PartitionsChecked(BTreeSet<RowPartition>),
    /// The inventory was read.
    Inventory {
        sent: TimePoint,
        outcome: Result<Vec<InstanceReport>>,
    },
    /// The platform answered a maintenance order.
    MaintenanceOrdered {
        wave: u64,
        instance: sesamedeal_core::ids::InstanceName,
        outcome: Result<OrderOutcome>,
    },
    /// The platform answered the order to move an instance.
    MoveOrdered {
        instance: sesamedeal_core::ids::InstanceName,
        outcome: Result<OrderOutcome>,
    },
    /// The policy service answered.
    Advised {
        request: AdviceRequest,
        sent: TimePoint,
        outcome: Result<AdviceAnswer>,
    },
    /// The store answered the write of a wave's status.
    StatusWritten {
        wave: u64,
        outcome: Result<TransactOutcome>,
    },
}
