use compact_str::CompactString;

use super::{PlacementState, WorkerHealth};
use crate::exchange::AgedPoint;
use crate::ids::{InstanceName, SessionId};
use crate::ledger::{UnitAccount, UnitSeed};
use crate::scheduler::PoolIndex;
use crate::time::TimePoint;

/// Size of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct JobRequirements {
    /// Declared processor cores.
    pub(crate) cores: u32,
    /// Declared memory in MB.
    pub(crate) memory_mb: u32,
    /// Whether the job may serve as a trial of a quarantined worker.
    pub(crate) idempotent: bool,
}

/// One worker, with the units of its slots at this entry instance.
#[derive(Debug)]
pub(crate) struct WorkerRecord {
    pub(crate) name: InstanceName,
    pub(crate) address: CompactString,
    pub(crate) pool: PoolIndex,
    pub(crate) cores: u32,
    pub(crate) memory_mb: u32,
    pub(crate) slots: u32,
    pub(crate) boot: u64,
    /// Whether the fleet state lets the worker take new work.
    pub(crate) active: bool,
    /// Whether the fleet state has the worker quarantined.
    pub(crate) quarantined: bool,
    /// Whether the fleet state takes the worker out of service by plan.
    pub(crate) planned_outage: bool,
    /// Whether the worker is no longer in the fleet state.
    pub(crate) removed: bool,
    /// Point at which the worker was last said to be leaving.
    pub(crate) leaving: Option<AgedPoint>,
    /// End of the time for which the worker is kept for a large job of a peer.
    pub(crate) reserved_until: Option<TimePoint>,
    pub(crate) seeds: [UnitSeed; 2],
    pub(crate) owners: [Option<SessionId>; 2],
    pub(crate) account: UnitAccount,
    pub(crate) health: WorkerHealth,
    /// Position in the pool's list of workers with free slots.
    pub(crate) position: u32,
}

impl WorkerRecord {
    /// Slots that a job takes, or none when the worker is too small for it.
    pub(crate) fn slots_for(&self, requirements: JobRequirements) -> Option<u32> {
        slots_for(self.cores, self.memory_mb, self.slots, requirements)
    }

    /// Whether a job may be placed here by its state, regardless of free slots.
    pub(crate) fn takes_work(&self, now: TimePoint) -> bool {
        let on_trial = self.health.quarantined
            && (self.account.in_use > 0 || self.health.trial_at.is_none_or(|at| at > now));
        let reserved_until = self.reserved_until.is_some_and(|until| until > now);
        self.active && !self.removed && self.leaving.is_none() && !on_trial && !reserved_until
    }

    /// What the choice of a worker looks at, as of `now`.
    pub(crate) fn placement(&self, now: TimePoint) -> PlacementState {
        PlacementState {
            cores: self.cores,
            memory_mb: self.memory_mb,
            slots: self.slots,
            free_slots: if self.takes_work(now) {
                self.account.startable()
            } else {
                0
            },
            health_factor: self.health.factor(),
            on_trial: self.health.quarantined,
        }
    }
}

/// Slots that a job takes on a worker of this shape, or none when the worker is too small.
pub(crate) fn slots_for(
    cores: u32,
    memory_mb: u32,
    slots: u32,
    requirements: JobRequirements,
) -> Option<u32> {
    if requirements.cores > cores || requirements.memory_mb > memory_mb || slots == 0 {
        return None;
    }
    let part = |size: u32, whole: u32| {
        let product = u64::from(size) * u64::from(slots);
        product.div_ceil(u64::from(whole.max(1)))
    };
    let needed = part(requirements.cores, cores).max(part(requirements.memory_mb, memory_mb));
    u32::try_from(needed.max(1)).ok()
}
