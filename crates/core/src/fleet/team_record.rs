use serde::{Deserialize, Serialize};

/// Settings of a team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamRecord {
    /// Weight of the team when the fleet is full, relative to the other teams' weights.
    pub share: u32,
    /// Most tasks that the team may have running across the fleet.
    pub limit: u32,
}

/// Name of the team that jobs of open queues count against.
pub const OPEN_TEAM: &str = "open";
