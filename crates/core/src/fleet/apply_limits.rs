/// Limits on the number of objects in the replicated state.
///
/// They keep the serialized state below 16 MB, the maximum size of a message between entry
/// instances, and leave headroom above the target fleet size (52 pools, 300 teams,
/// 16,000 instances, 400 sessions).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ApplyLimits;

impl ApplyLimits {
    /// Maximum number of pools.
    pub const POOLS: usize = 256;
    /// Maximum number of teams.
    pub const TEAMS: usize = 2_000;
    /// Maximum number of queues.
    pub const QUEUES: usize = 4_000;
    /// Maximum number of keys, including withdrawn ones.
    pub const KEYS: usize = 50_000;
    /// Maximum number of instances.
    pub const INSTANCES: usize = 20_000;
    /// Maximum number of sessions in the view.
    pub const SESSIONS: usize = 1_000;
    /// Maximum number of rows in a sheet.
    pub const SHEET_ROWS: usize = 20_000;
    /// Maximum number of waves, including finished ones.
    pub const WAVES: usize = 64;
    /// Maximum number of evacuated availability zones.
    pub const EVACUATIONS: usize = 256;
    /// Maximum number of changes in one record.
    pub const CHANGES: usize = 50_000;
    /// Maximum number of slots per instance.
    pub const SLOTS: u32 = 1_024;
    /// Maximum length of a name, in bytes.
    pub const NAME_BYTES: usize = 128;
}
