//! Interfaces to external services: the store, the workers, the instance inventory, the policy
//! service, the other entry instances, and the formats of rows that the platform and the operator
//! write. Each port is a plain struct of closures or functions.

mod advice_port;
mod fleet_port;
mod peer_port;
mod row_partition;
mod row_port;
mod store_port;
mod worker_port;

use std::sync::Arc;

use futures::future::BoxFuture;
use sesamedeal_store::Result;

pub use advice_port::{AdviceAnswer, AdviceCall, AdvicePort};
pub use fleet_port::{FleetPort, InstanceOrder, InstanceReport, InventoryState, OrderOutcome};
pub use peer_port::{
    HandOverOffer, OfferOutcome, PeerPort, ReadyWatcher, SuccessorQuery, WatchCall, WatchOutcome,
};
pub use row_partition::RowPartition;
pub use row_port::{IntentRow, RowError, RowPort};
pub use store_port::{
    FollowPage, FollowRequest, RowChange, RowCondition, RowName, RowPage, RowPut, RowRange,
    StorePort, StorePosition, StoreRow, StoreTable, TransactOutcome,
};
pub use worker_port::{
    HoldOutcome, HoldRequest, PaceRequest, StartRequest, StopRequest, WorkerAddress, WorkerPort,
};

/// Asynchronous call to an external service.
pub type AsyncCall<A, R> = Arc<dyn Fn(A) -> BoxFuture<'static, Result<R>> + Send + Sync>;
