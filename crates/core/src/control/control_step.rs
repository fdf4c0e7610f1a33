use std::time::Duration;

use compact_str::CompactString;

use crate::fleet::FleetChange;
use crate::ids::{Generation, InstanceName, SessionId, WaveName};

/// Request to the platform to reboot an instance if its boot identifier is unchanged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RebootOrder {
    /// Platform name of the instance.
    pub instance: InstanceName,
    /// Boot identifier that the instance must still have for the reboot to take place.
    pub boot: u64,
}

/// Obsolete rows and objects to remove, in addition to all snapshots except the two newest.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CleanupOrder {
    /// Generation below which change rows are removed.
    pub changes_below: Generation,
    /// Sessions whose rows are removed.
    pub sessions: Vec<SessionId>,
    /// Age above which claims are removed.
    pub claims_older: Duration,
}

/// Condition that the controller reports to the operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlNote {
    /// Sessions whose quiesced generation is below the current one.
    Outstanding(Vec<SessionId>),
    /// A listed entry instance has no session row, which prevents generations from settling.
    UnknownEntry(InstanceName),
    /// The platform's list was empty or could not be read; instances are left as they are.
    ListUnavailable,
    /// A quarantine was requested, but the pool's availability budget does not allow it.
    QuarantineDeferred(InstanceName),
    /// An instance did not complete its reboot within the deadline.
    RebootOverdue(InstanceName),
    /// A wave was halted for the given reason.
    WaveHalted(WaveName, CompactString),
    /// A wave was resumed automatically because its failed members recovered.
    WaveResumed(WaveName),
    /// A due row of the sheet was skipped: its pool is missing or closing, or it would create a
    /// second spare pool.
    RowSkipped(CompactString),
    /// The fleet has fewer instances than the sheet needs at this time.
    Shortage(u32),
}

/// Actions that the controller decided on in one step.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ControlStep {
    /// Changes to write as one log record on top of the input state.
    pub changes: Vec<FleetChange>,
    /// New settled generation; never below that of the input.
    pub settled: Generation,
    /// Reboots to request from the platform.
    pub reboots: Vec<RebootOrder>,
    /// Whether a snapshot of the state is due.
    pub snapshot_due: bool,
    /// Rows and objects to remove.
    pub cleanup: Option<CleanupOrder>,
    /// Conditions to log and to show in the operator's command.
    pub notes: Vec<ControlNote>,
}
