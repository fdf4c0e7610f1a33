use snafu::Snafu;

use crate::ids::{Generation, InstanceName, KeyId, PoolName};

/// Reason why a record cannot be applied.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum ApplyError {
    /// The generation of the record is not the successor of the state's generation.
    #[snafu(display("record of generation {found} does not follow generation {current}"))]
    OutOfOrder {
        /// Current generation of the state.
        current: Generation,
        /// Generation of the record.
        found: Generation,
    },
    /// A change refers to an object that does not exist.
    #[snafu(display("{what} {name} does not exist"))]
    Missing {
        /// Kind of the object.
        what: &'static str,
        /// Name of the object.
        name: String,
    },
    /// A change creates an object that already exists.
    #[snafu(display("{what} {name} exists"))]
    Exists {
        /// Kind of the object.
        what: &'static str,
        /// Name of the object.
        name: String,
    },
    /// The key id was already granted. Key ids are never reused, even after withdrawal.
    #[snafu(display("key id {id} was granted before; key ids are used once"))]
    KeyIdUsed {
        /// Identifier of the key.
        id: KeyId,
    },
    /// The pool cannot be closed or removed.
    ///
    /// A pool that has queues or is the spare pool cannot be closed. A pool that has queues or
    /// instances, or to which instances are moving, cannot be removed.
    #[snafu(display("pool {name} still has instances or queues"))]
    PoolInUse {
        /// Name of the pool.
        name: PoolName,
    },
    /// The change would take more instances out of service than the pool's availability budget
    /// allows.
    #[snafu(display("pool {name} has no availability budget left"))]
    BudgetExceeded {
        /// Name of the pool.
        name: PoolName,
    },
    /// The current state of the instance does not allow the change.
    #[snafu(display("instance {name} cannot change from {from} to {to}"))]
    InvalidTransition {
        /// Platform name of the instance.
        name: InstanceName,
        /// Current state.
        from: &'static str,
        /// Requested state.
        to: &'static str,
    },
    /// A value is out of range, or a wave's status does not allow the change.
    #[snafu(display("{what} of {name} is not valid"))]
    InvalidValue {
        /// Name of the value.
        what: &'static str,
        /// Name of the object that has the value.
        name: String,
    },
    /// The record or the state would exceed one of the [`ApplyLimits`](super::ApplyLimits).
    #[snafu(display("more than {limit} {what}"))]
    TooMany {
        /// Kind of the objects.
        what: &'static str,
        /// Maximum number allowed.
        limit: usize,
    },
}

pub(super) fn missing(what: &'static str, name: &str) -> ApplyError {
    ApplyError::Missing {
        what,
        name: name.to_owned(),
    }
}

pub(super) fn invalid(what: &'static str, name: &str) -> ApplyError {
    ApplyError::InvalidValue {
        what,
        name: name.to_owned(),
    }
}
