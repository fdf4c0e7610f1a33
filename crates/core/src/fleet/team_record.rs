use serde::{Deserialize, Serialize};

/// Settings of a team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamRecord {
    /// Weight of the team relative to the other teams, applied when the fleet is fully used.
    pub share: u32,
    /// Maximum number of concurrently running tasks of the team across the fleet.
    pub limit: u32,
}

/// Name of the team that the jobs of open queues count against.
pub const OPEN_TEAM: &str = "open";
