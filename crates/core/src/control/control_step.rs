use std::time::Duration;

use compact_str::CompactString;

use crate::fleet::FleetChange;
use crate::ids::{Generation, InstanceName, SessionId, WaveName};

/// Request to the platform to reboot an instance if it still has this boot identifier.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RebootOrder {
    /// Platform name of the instance.
    pub instance: InstanceName,
    /// Boot identifier that the reboot is to end.
    pub boot: u64,
}

/// Rows and objects that are no longer needed, next to all snapshots but the two newest.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CleanupOrder {
    /// Change rows below this generation.
    pub changes_below: Generation,
    /// Session rows.
    pub sessions: Vec<SessionId>,
    /// Claims whose age is above this.
    pub claims_older: Duration,
}

/// Something that an operator should know.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlNote {
    /// Sessions whose quiesced generation is below the current one.
    Outstanding(Vec<SessionId>),
    /// A listed entry instance has no session row and keeps generations from settling.
    UnknownEntry(InstanceName),
    /// The platform's list was empty or could not be read; instances are left as they are.
    ListUnavailable,
    /// A quarantine was asked for and the pool's budget does not allow it.
    QuarantineDeferred(InstanceName),
    /// An instance did not come back from its reboot in time.
    RebootOverdue(InstanceName),
    /// A wave was halted.
    WaveHalted(WaveName, CompactString),
    /// A wave was resumed by rule.
    WaveResumed(WaveName),
    /// A row of the sheet was due and refers to a pool that no longer exists.
    RowSkipped(CompactString),
    /// The fleet has fewer instances than the sheet needs at this time.
    Shortage(u32),
}

/// What the controller wants done.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ControlStep {
    /// Changes for one record that follows the state of the input.
    pub changes: Vec<FleetChange>,
    /// New value of the settled row; never below the input's.
    pub settled: Generation,
    /// Reboots to ask the platform for.
    pub reboots: Vec<RebootOrder>,
    /// Whether a snapshot of the state is due.
    pub snapshot_due: bool,
    /// Rows and objects to remove.
    pub cleanup: Option<CleanupOrder>,
    /// Messages for logs and the operator's command.
    pub notes: Vec<ControlNote>,
}
