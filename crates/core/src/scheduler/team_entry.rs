use crate::ids::{SessionId, TeamName};
use crate::ledger::{UnitAccount, UnitSeed};
use crate::queue::RunCorrection;
use crate::time::TimePoint;

use super::FlowIndex;

/// Request of a peer to borrow units.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PeerRequest<T> {
    pub(crate) peer: SessionId,
    pub(crate) what: T,
    pub(crate) units: u32,
    pub(crate) until: TimePoint,
}

/// Team with its permits at this entry instance.
#[derive(Debug)]
pub(crate) struct TeamEntry {
    pub(crate) name: TeamName,
    pub(crate) weight: f64,
    pub(crate) limit: u32,
    pub(crate) seed: UnitSeed,
    pub(crate) account: UnitAccount,
    pub(crate) flows: Vec<FlowIndex>,
    /// Number of flows that wait for a permit.
    pub(crate) blocked: u32,
    /// Time at which a job last had to wait for a permit.
    pub(crate) last_shortage: Option<TimePoint>,
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
            last_shortage: None,
            requests: Vec::new(),
            correction: RunCorrection::default(),
        }
    }
}
