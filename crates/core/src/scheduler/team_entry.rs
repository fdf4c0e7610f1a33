use crate::ids::{SessionId, TeamName};
use crate::ledger::{UnitAccount, UnitSeed};
use crate::queue::RunCorrection;
use crate::time::TimePoint;

use super::FlowIndex;

/// Units that a peer wants to borrow.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PeerRequest<T> {
    pub(crate) peer: SessionId,
    pub(crate) what: T,
    pub(crate) units: u32,
    pub(crate) until: TimePoint,
}

/// A team, with its permits at this entry instance.
#[derive(Debug)]
pub(crate) struct TeamEntry {
    pub(crate) name: TeamName,
    pub(crate) weight: f64,
    pub(crate) limit: u32,
    pub(crate) seed: UnitSeed,
    pub(crate) account: UnitAccount,
    pub(crate) flows: Vec<FlowIndex>,
    /// Flows that wait for a permit.
    pub(crate) blocked: u32,
    /// Point at which a job last had to wait for a permit.
    pub(crate) short_at: Option<TimePoint>,
    pub(crate) requests: Vec<PeerRequest<()>>,
    pub(crate) correction: RunCorrection,
}

impl TeamEntry {
    /// Creates a team without permits.
    pub(crate) fn new(name: TeamName) -> Self {
        let seed = UnitSeed::new(name.as_str(), 0);
        Self {
            name,
            weight: 1.0,
            limit: 0,
            seed,
            account: UnitAccount::default(),
            flows: Vec::new(),
            blocked: 0,
            short_at: None,
            requests: Vec::new(),
            correction: RunCorrection::default(),
        }
    }
}
