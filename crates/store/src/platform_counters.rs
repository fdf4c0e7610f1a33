use std::collections::BTreeMap;

use crate::BreakerState;

/// Service of the platform. Each has its own circuit breaker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PlatformService {
    /// Table service.
    Table,
    /// Object store.
    Objects,
    /// Instance list and reboots.
    Instances,
}

impl PlatformService {
    /// All services.
    pub const ALL: [Self; 3] = [Self::Table, Self::Objects, Self::Instances];

    /// Label in metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Table => "table",
            Self::Objects => "objects",
            Self::Instances => "instances",
        }
    }
}

/// Kind of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallKind {
    /// Read of rows by key.
    Read,
    /// Scan of rows by prefix.
    Scan,
    /// Conditional write.
    Write,
    /// Read of an object.
    ObjectGet,
    /// Write of an object.
    ObjectPut,
    /// Removal of an object.
    ObjectDelete,
    /// List of objects by prefix.
    ObjectList,
    /// Instance list.
    InstanceList,
    /// Reboot of an instance.
    Reboot,
}

impl CallKind {
    /// Label in metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Scan => "scan",
            Self::Write => "write",
            Self::ObjectGet => "object-get",
            Self::ObjectPut => "object-put",
            Self::ObjectDelete => "object-delete",
            Self::ObjectList => "object-list",
            Self::InstanceList => "instance-list",
            Self::Reboot => "reboot",
        }
    }

    /// Service that answers the call.
    #[must_use]
    pub const fn service(self) -> PlatformService {
        match self {
            Self::Read | Self::Scan | Self::Write => PlatformService::Table,
            Self::ObjectGet | Self::ObjectPut | Self::ObjectDelete | Self::ObjectList => {
                PlatformService::Objects
            }
            Self::InstanceList | Self::Reboot => PlatformService::Instances,
        }
    }
}

/// Reason of a retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RetryReason {
    /// The service was not reached or answered that it is unavailable.
    Unreachable,
    /// The call was sent and no answer came.
    NoAnswer,
    /// The service's rate limit was reached.
    RateLimited,
}

impl RetryReason {
    /// Label in metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::NoAnswer => "no-answer",
            Self::RateLimited => "rate-limited",
        }
    }
}

/// State of one circuit breaker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BreakerCounters {
    /// Current state.
    pub state: BreakerState,
    /// How often it has opened.
    pub openings: u64,
    /// Calls that failed at once because it was open.
    pub refused: u64,
}

/// What a client has done since it was created.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PlatformCounters {
    /// Requests sent by kind, retries included.
    pub calls: BTreeMap<CallKind, u64>,
    /// Requests that failed by kind.
    pub failures: BTreeMap<CallKind, u64>,
    /// Retries by reason.
    pub retries: BTreeMap<RetryReason, u64>,
    /// Circuit breakers by service.
    pub breakers: BTreeMap<PlatformService, BreakerCounters>,
    /// Retries that the retry budget did not allow.
    pub budget_exhausted: u64,
    /// Reads answered by a request that another caller started.
    pub coalesced_reads: u64,
    /// Writes that ended without a known outcome.
    pub unknown_writes: u64,
    /// Bytes sent, with the heads of the messages.
    pub bytes_sent: u64,
    /// Bytes received, with the heads of the messages.
    pub bytes_received: u64,
}
