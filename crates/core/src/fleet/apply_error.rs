use snafu::Snafu;

use crate::ids::{Generation, InstanceName, KeyId, PoolName};

/// Reason why a record cannot be applied.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum ApplyError {
    /// The record does not follow the state's generation.
    #[snafu(display("record of generation {found} does not follow generation {current}"))]
    OutOfOrder {
        /// Generation of the state.
        current: Generation,
        /// Generation of the record.
        found: Generation,
    },
    /// A change names something that does not exist.
    #[snafu(display("{what} {name} does not exist"))]
    Missing {
        /// Kind of the thing.
        what: &'static str,
        /// Its name.
        name: String,
    },
    /// A change creates something that exists.
    #[snafu(display("{what} {name} exists"))]
    Exists {
        /// Kind of the thing.
        what: &'static str,
        /// Its name.
        name: String,
    },
    /// A key id was granted before.
    #[snafu(display("key id {id} was granted before; key ids are used once"))]
    KeyIdUsed {
        /// The key id.
        id: KeyId,
    },
    /// The pool still has instances, queues or instances that move to it.
    #[snafu(display("pool {name} still has instances or queues"))]
    PoolInUse {
        /// Name of the pool.
        name: PoolName,
    },
    /// The change takes more instances out of service than the pool's availability budget allows.
    #[snafu(display("pool {name} has no availability budget left"))]
    BudgetExceeded {
        /// Name of the pool.
        name: PoolName,
    },
    /// The state of the instance does not allow the change.
    #[snafu(display("instance {name} cannot change from {from} to {to}"))]
    InvalidTransition {
        /// Platform name of the instance.
        name: InstanceName,
        /// Its state.
        from: &'static str,
        /// State asked for.
        to: &'static str,
    },
    /// A value is outside its range.
    #[snafu(display("{what} of {name} is not valid"))]
    InvalidValue {
        /// The value.
        what: &'static str,
        /// Thing that it belongs to.
        name: String,
    },
    /// The record or the state would hold more things than allowed.
    #[snafu(display("more than {limit} {what}"))]
    TooMany {
        /// Kind of the thing.
        what: &'static str,
        /// Most that are allowed.
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
