use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use sesamedeal_core::ids::Generation;

/// Answer to `GET /admin/in-force/{generation}`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct InForceReply {
    /// The generation asked for.
    pub generation: Generation,
    /// Whether every entry instance acts under this generation or a later one.
    pub in_force: bool,
    /// Whether the generation is settled: nothing started under an older one contradicts it.
    pub settled: bool,
    /// Addresses of the entry instances that do not act under it yet.
    pub outstanding: Vec<CompactString>,
}
