//! What the owner publishes about overloaded pools, so that entry instances reject jobs that cannot
//! end while their result is of use.

use std::collections::BTreeMap;

use super::JobDispatcher;
use super::overload_demand::WaitingDemand;
use crate::ids::{PoolName, TeamName};
use crate::jobs::scaled_amount::scaled;
use crate::jobs::{QueueOverload, UrgencyClass};

/// Factor by which the work per value of a rejected job exceeds that of all jobs that are to be
/// served, since run times are known badly and the plan is up to 2 s old.
const RANK_MARGIN: f64 = 1.5;

/// Work ahead of a new job of an overloaded pool.
#[derive(Debug, Clone, Default)]
pub(super) struct PoolWait {
    /// Work of all running tasks, and of the waiting tasks of jobs that can still end while of use,
    /// in core milliseconds.
    work: u64,
    /// CPU of the pool without that of long-running tasks, in thousandths of a core.
    cpu: u64,
    /// Mean run time of a task, in milliseconds.
    task_ms: u64,
    /// Lowest priority among the jobs that are to be served and have not started, and the largest
    /// work per value of these, in core milliseconds.
    last: (u32, u64),
    teams: Vec<TeamName>,
    is_teamless: bool,
}

impl WaitingDemand<'_> {
    /// Work ahead of a new job, of each pool that is overloaded. `active` tells so for each job.
    pub(super) fn pool_waits(&self, active: &[bool]) -> BTreeMap<PoolName, PoolWait> {
        let overloaded = self.pools.iter();
        let overloaded = overloaded.filter(|(_, group)| {
            group.capacity.cpu > 0 && group.members.iter().any(|&job| active[job])
        });
        let waits = overloaded.filter_map(|(&name, group)| {
            let useful = group.members.iter().copied();
            let useful = useful.filter(|&job| self.plan.classes[job] != UrgencyClass::TooLate);
            let useful: Vec<usize> = useful.collect();
            let ahead = useful.iter().map(|&job| self.plan.work(job));
            let running = group.capacity.running_work;
            let ranks = useful.iter().map(|&job| self.plan.jobs[job].rank);
            let last = ranks.map(|rank| (rank.priority, rank.work_per_value));
            let of_pool = self.shares.keys().filter(|(pool, _)| *pool == name);
            let wait = PoolWait {
                work: ahead.fold(running, u64::saturating_add),
                cpu: group.capacity.cpu,
                task_ms: group.capacity.task_ms,
                last: last.max()?,
                teams: self.over_share_teams(name),
                is_teamless: of_pool.count() == 0,
            };
            Some((name.clone(), wait))
        });
        waits.collect()
    }
}

impl JobDispatcher {
    /// Returns what entry instances need to reject jobs of the queues of overloaded pools, if
    /// `spare_cpu` thousandths of a core could be added to a pool.
    #[must_use]
    pub fn queue_overloads(&self, spare_cpu: u64) -> Vec<QueueOverload> {
        let mut overloads = Vec::new();
        for (queue, rule) in &self.rules.queues {
            let wait = self.overload.waits.get(&rule.pool);
            let (Some(wait), Some(sizes)) = (wait, self.overload.queues.get(queue)) else {
                continue;
            };
            let (priority, last) = wait.last;
            if rule.priority < priority {
                // A job of the queue would be served before others.
                continue;
            }
            let ratio = self.estimate_ratios.get(&rule.pool);
            let declared = ratio.map_or(last, |ratio| ratio.revert(last));
            let cpu = wait.cpu.saturating_add(spare_cpu).max(1);
            let wait_ms = wait.work.saturating_mul(1_000) / cpu;
            overloads.push(QueueOverload {
                queue: queue.clone(),
                wait_ms: wait_ms.saturating_sub(wait.task_ms),
                work_per_value: if rule.priority > priority {
                    0
                } else {
                    scaled(declared, RANK_MARGIN)
                },
                scale: sizes.scale(),
                teams: wait.teams.clone(),
                is_teamless: wait.is_teamless,
            });
        }
        overloads.sort_unstable_by(|left, right| left.queue.cmp(&right.queue));
        overloads
    }
}
