/// Bounds on the counts of things in the agreed state.
///
/// They keep the whole state below the 16 MB that one message between entry instances may have
/// and leave room above the target size (52 pools, 300 teams, 16,000 instances, 400 sessions).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ApplyLimits;

impl ApplyLimits {
    /// Most pools.
    pub const POOLS: usize = 256;
    /// Most teams.
    pub const TEAMS: usize = 2_000;
    /// Most queues.
    pub const QUEUES: usize = 4_000;
    /// Most keys, withdrawn ones included.
    pub const KEYS: usize = 50_000;
    /// Most instances.
    pub const INSTANCES: usize = 20_000;
    /// Most sessions in the view.
    pub const SESSIONS: usize = 1_000;
    /// Most rows of a sheet.
    pub const SHEET_ROWS: usize = 20_000;
    /// Most waves, finished ones included.
    pub const WAVES: usize = 64;
    /// Most changes in one record.
    pub const CHANGES: usize = 50_000;
    /// Most slots of one instance.
    pub const SLOTS: u32 = 1_024;
    /// Longest name in bytes.
    pub const NAME_BYTES: usize = 128;
}
