use compact_str::CompactString;

use super::{PlacementState, WorkerHealth};
use crate::exchange::AgedPoint;
use crate::ids::{InstanceName, SessionId};
use crate::ledger::{UnitAccount, UnitSeed};
use crate::scheduler::PoolIndex;
use crate::time::TimePoint;

/// Requirements of a job on the worker that runs it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct JobRequirements {
    /// Declared number of processor cores.
    pub(crate) cores: u32,
    /// Declared memory in MB.
    pub(crate) memory_mb: u32,
    /// Whether the job may run as a trial on a quarantined worker.
    pub(crate) idempotent: bool,
}

/// A worker, and the units of its slots that this entry instance accounts for.
#[derive(Debug)]
pub(crate) struct WorkerRecord {
    pub(crate) name: InstanceName,
    pub(crate) address: CompactString,
    pub(crate) pool: PoolIndex,
    pub(crate) cores: u32,
    pub(crate) memory_mb: u32,
    pub(crate) slots: u32,
    pub(crate) boot: u64,
    /// Whether the fleet state allows new work on the worker.
    pub(crate) active: bool,
    /// Whether the worker is quarantined in the fleet state.
    pub(crate) quarantined: bool,
    /// Whether the worker is draining, rebooting or moving in the fleet state.
    pub(crate) planned_outage: bool,
    /// Whether nothing more may start in the worker's availability zone.
    pub(crate) zone_evacuated: bool,
    /// Whether the worker is no longer in the fleet state.
    pub(crate) removed: bool,
    /// Time of the newest report that the worker is leaving.
    pub(crate) leaving: Option<AgedPoint>,
    /// End of the reservation of the worker for a large job of a peer.
    pub(crate) reserved_until: Option<TimePoint>,
    pub(crate) seeds: [UnitSeed; 2],
    pub(crate) owners: [Option<SessionId>; 2],
    pub(crate) account: UnitAccount,
    pub(crate) health: WorkerHealth,
    /// Position in the pool's list of workers with free slots.
    pub(crate) position: u32,
}

impl WorkerRecord {
    /// Returns the number of slots that a job takes, or `None` if the worker is too small for it.
    pub(crate) fn slots_for(&self, requirements: JobRequirements) -> Option<u32> {
        slots_for(self.cores, self.memory_mb, self.slots, requirements)
    }

    /// Whether the worker counts as capacity of its pool: the fleet state allows new work on it, and
    /// its availability zone is not evacuated.
    pub(crate) const fn is_usable(&self) -> bool {
        self.active && !self.zone_evacuated
    }

    /// Whether the state of the worker allows placing a job on it, regardless of free slots.
    pub(crate) fn takes_work(&self, now: TimePoint) -> bool {
        let is_blocked = self.health.quarantined
            && (self.account.in_use > 0 || self.health.trial_at.is_none_or(|at| at > now));
        let is_reserved = self.reserved_until.is_some_and(|until| until > now);
        self.is_usable() && !self.removed && self.leaving.is_none() && !is_blocked && !is_reserved
    }

    /// Returns the state that placement reads, as of `now`.
    pub(crate) fn placement(&self, now: TimePoint) -> PlacementState {
        PlacementState {
            cores: self.cores,
            memory_mb: self.memory_mb,
            slots: self.slots,
            free_slots: if self.takes_work(now) {
                self.account.available()
            } else {
                0
            },
            health_factor: self.health.factor(),
            on_trial: self.health.quarantined,
        }
    }
}

/// Returns the number of slots that a job takes on a worker of the given size, or `None` if the
/// worker is too small.
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
