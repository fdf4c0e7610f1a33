use super::JobScheduler;
use crate::ids::{PoolName, TeamName};
use crate::ledger::UnitAccount;

/// Jobs of one team in one pool at this entry instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FlowUsage {
    /// Pool in which the jobs run.
    pub pool: PoolName,
    /// Team of the jobs.
    pub team: TeamName,
    /// Jobs that are queued.
    pub queued: u32,
    /// Slots that running jobs hold.
    pub held: u32,
}

/// Units at this entry instance: the slots of a pool, or the permits of a team.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct UnitUsage {
    /// Units allocated to this entry instance.
    pub owned: u32,
    /// Units borrowed from peers.
    pub borrowed: u32,
    /// Units lent to peers.
    pub lent: u32,
    /// Units held by attempts whose end is not confirmed.
    pub in_use: u32,
}

impl UnitUsage {
    const fn add(&mut self, account: &UnitAccount) {
        self.owned += account.owned;
        self.borrowed += account.borrowed;
        self.lent += account.lent;
        self.in_use += account.in_use;
    }
}

/// Queues and units of this entry instance, for metrics. Omits entries that are all zero.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct UsageReport {
    /// Jobs by pool and team.
    pub flows: Vec<FlowUsage>,
    /// Slots by pool.
    pub slots: Vec<(PoolName, UnitUsage)>,
    /// Permits by team.
    pub permits: Vec<(TeamName, UnitUsage)>,
}

impl JobScheduler {
    /// Returns the queues and units of this entry instance.
    #[must_use]
    pub fn usage_report(&self) -> UsageReport {
        let mut report = UsageReport::default();
        for flow in &self.flows {
            let queued = flow.queued + flow.parked_jobs;
            if queued > 0 || flow.held > 0 {
                report.flows.push(FlowUsage {
                    pool: self.fleet.pools[flow.pool.at()].name.clone(),
                    team: self.fleet.teams[flow.team.at()].name.clone(),
                    queued,
                    held: flow.held,
                });
            }
        }
        for pool in &self.fleet.pools {
            let mut usage = UnitUsage::default();
            for worker in &pool.workers {
                usage.add(&self.fleet.workers[worker.at()].account);
            }
            if usage != UnitUsage::default() {
                report.slots.push((pool.name.clone(), usage));
            }
        }
        for team in &self.fleet.teams {
            let mut usage = UnitUsage::default();
            usage.add(&team.account);
            if usage != UnitUsage::default() {
                report.permits.push((team.name.clone(), usage));
            }
        }
        report
    }
}
