use serde::{Deserialize, Serialize};
use serde_with::{hex::Hex, serde_as};

use crate::ids::TeamName;

/// Stored form of a team key. It contains a hash of the secret, not the secret itself.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRecord {
    /// Team that the key was granted to.
    pub team: TeamName,
    /// SHA-256 hash of the secret.
    #[serde_as(as = "Hex")]
    pub hash: [u8; 32],
    /// Whether the key was withdrawn. A withdrawn key is retained so that its id is not reused.
    pub withdrawn: bool,
}
