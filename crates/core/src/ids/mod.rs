//! Names and identifiers of fleet objects, requests, sessions and writes.

mod generation;
mod names;
mod operation_id;
mod session_id;

pub use generation::Generation;
pub use names::{
    ImageName, InstanceName, KeyId, PoolName, QueueName, RackName, RequestId, TeamName, WaveName,
    ZoneName,
};
pub use operation_id::OperationId;
pub use session_id::SessionId;
