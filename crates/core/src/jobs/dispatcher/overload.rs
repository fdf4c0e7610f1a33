//! Order of the waiting jobs of pools and teams whose demand exceeds their capacity.
//!
//! Load pattern: for several seconds, jobs arrive at a multiple of the rate that a pool can serve.
//! Without deferral, all jobs are served just when it is too late. The plan is part of the owner's
//! state in memory; a new owner makes its own.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use compact_str::{CompactString, format_compact};

use super::JobDispatcher;
use super::overload_demand::DemandGroup;
use super::overload_wait::PoolWait;
use crate::ids::{PoolName, QueueName};
use crate::jobs::job_entry::JobEntry;
use crate::jobs::overload_plan::{OverloadPlan, PlanCapacity};
use crate::jobs::queue_sizes::QueueSizes;
use crate::jobs::{JobId, JobOrder, PriorityKey, UrgencyClass};
use crate::time::TimePoint;

/// Minimum interval between two plans. A job that arrives in between keeps its natural place.
const PLAN_INTERVAL: Duration = Duration::from_millis(50);

/// Additional bound of the interval, for each job of the plan. A plan of 2,000 jobs takes about
/// 2.3 ms (`overload_cost`), and so at most about 1% of the owner's time.
const INTERVAL_PER_JOB: Duration = Duration::from_micros(100);

/// Time without deferred jobs after which a pool is no longer overloaded, so that the order does not
/// change with each plan.
const RELEASE_TIME: Duration = Duration::from_millis(500);

/// Multiple of the critical path that a large job which is served in any case is given for its
/// place among the others. Its many tasks find room later than those of a small job.
const LARGE_PATH_FACTOR: i64 = 2;

/// Begin or end of an overload.
#[derive(Debug, Clone)]
pub struct OverloadChange {
    /// `pool NAME` or `team NAME`: what lacks capacity.
    pub scope: CompactString,
    /// Whether the overload begins.
    pub is_begin: bool,
    /// Number of jobs with waiting tasks.
    pub waiting: usize,
    /// Number of these that are deferred.
    pub deferred: usize,
    /// Work of the waiting tasks, in core milliseconds.
    pub work: u64,
    /// Usable CPU without that of long-running tasks, in thousandths of a core.
    pub capacity: u64,
    /// Time for which the overload has lasted.
    pub duration: Duration,
}

/// Overload of a pool or team.
#[derive(Debug, Clone, Copy)]
struct Overload {
    begin: TimePoint,
    last_deferral: TimePoint,
}

/// Place of a job in the last plan.
#[derive(Debug, Clone)]
struct PlannedJob {
    queue: QueueName,
    class: UrgencyClass,
    slack_ms: i64,
    /// Whether the job could end in time if it started at once.
    is_reachable: bool,
}

impl PlannedJob {
    fn is_deferred(&self) -> bool {
        self.is_reachable && self.class != UrgencyClass::InTime
    }
}

/// Last plan and the history of the queues.
#[derive(Debug, Default)]
pub(super) struct OverloadState {
    /// When the next plan is due.
    due: TimePoint,
    /// Jobs of the overloaded pools and teams.
    jobs: HashMap<JobId, PlannedJob>,
    overloads: BTreeMap<CompactString, Overload>,
    pub queues: HashMap<QueueName, QueueSizes>,
    changes: Vec<OverloadChange>,
    /// Work ahead of a new job, of each overloaded pool.
    pub waits: BTreeMap<PoolName, PoolWait>,
}

impl OverloadState {
    /// Records the size of a job that has arrived.
    pub(super) fn note_job(&mut self, order: &JobOrder) {
        let work = order.batch_work();
        if work > 0 {
            let sizes = self.queues.entry(order.queue.clone()).or_default();
            sizes.record(work);
        }
    }

    /// Returns the key of a job, in the place that the plan gives if its pool or team is overloaded.
    pub(super) fn planned_key(&self, job: JobId, key: PriorityKey) -> PriorityKey {
        let planned = self.jobs.get(&job);
        planned.map_or(key, |planned| {
            key.with_plan(planned.class, planned.slack_ms)
        })
    }

    /// Whether the last plan deferred a job.
    pub(super) fn is_deferred(&self, job: JobId) -> bool {
        self.jobs.get(&job).is_some_and(PlannedJob::is_deferred)
    }

    /// Remaining work relative to the value of a job, and whether it is served in any case.
    pub(super) fn rank(&self, job: &JobEntry, remaining: u64, total: u64) -> (u64, bool) {
        let sizes = self.queues.get(&job.order.queue);
        sizes.map_or((remaining, false), |sizes| {
            sizes.rank(job.id, remaining, total)
        })
    }

    /// Defers the jobs that exceed the capacity of a group. Returns whether it is overloaded.
    fn limit_group(
        &mut self,
        scope: CompactString,
        group: &DemandGroup,
        plan: &mut OverloadPlan,
        now: TimePoint,
    ) -> bool {
        let PlanCapacity { cpu, .. } = group.capacity;
        // Without usable workers, nothing is known about the capacity to come.
        let deferred = if cpu == 0 {
            0
        } else {
            let mut capacity = group.capacity;
            if !self.overloads.contains_key(&scope) {
                // An overload begins only if jobs would be late even with exact estimates.
                capacity.margin_percent = 0;
            }
            plan.limit(&group.members, &capacity)
        };
        let mut change = OverloadChange {
            scope,
            is_begin: true,
            waiting: group.members.len(),
            deferred,
            work: 0,
            capacity: cpu,
            duration: Duration::ZERO,
        };
        let previous = self.overloads.get_mut(&change.scope);
        let is_overloaded = match previous {
            Some(overload) if deferred > 0 => {
                overload.last_deferral = now;
                return true;
            }
            Some(overload) if now.since(overload.last_deferral) < RELEASE_TIME => return true,
            Some(overload) => {
                change.duration = now.since(overload.begin);
                self.overloads.remove(&change.scope);
                false
            }
            None if deferred > 0 => {
                let overload = Overload {
                    begin: now,
                    last_deferral: now,
                };
                self.overloads.insert(change.scope.clone(), overload);
                true
            }
            None => return false,
        };
        change.is_begin = is_overloaded;
        let works = group.members.iter().map(|&job| plan.work(job));
        change.work = works.fold(0, u64::saturating_add);
        self.changes.push(change);
        is_overloaded
    }

    /// Replaces the plan, and counts the jobs that have started or can no longer end in time since
    /// the last one.
    fn replace_jobs(&mut self, jobs: HashMap<JobId, PlannedJob>) {
        for (id, planned) in std::mem::replace(&mut self.jobs, jobs) {
            let is_served = match self.jobs.get(&id) {
                Some(current) if current.is_reachable => continue,
                Some(_) => false,
                None => true,
            };
            if planned.is_reachable
                && let Some(sizes) = self.queues.get_mut(&planned.queue)
            {
                sizes.record_outcome(is_served);
            }
        }
    }
}

impl JobDispatcher {
    /// Takes the begins and ends of overloads since the last call.
    pub fn take_overload_changes(&mut self) -> Vec<OverloadChange> {
        std::mem::take(&mut self.overload.changes)
    }

    /// Returns the jobs that are deferred although they could end in time, because demand exceeds the
    /// capacity of their pool or team.
    #[must_use]
    pub fn deferred_jobs(&self) -> Vec<JobId> {
        let jobs = self.overload.jobs.iter();
        let deferred = jobs.filter(|(_, planned)| planned.is_deferred());
        deferred.map(|(id, _)| *id).collect()
    }

    /// Plans which waiting jobs are deferred, if the last plan is old enough.
    pub(super) fn plan_overload(&mut self, now: TimePoint) {
        if !self.policy.defers_overload || now < self.overload.due {
            return;
        }
        let mut state = std::mem::take(&mut self.overload);
        let mut demand = self.waiting_demand(&state, now);
        let jobs = u32::try_from(demand.plan.jobs.len()).unwrap_or(u32::MAX);
        let interval = INTERVAL_PER_JOB.saturating_mul(jobs);
        state.due = now.after(interval.max(PLAN_INTERVAL));
        let plan = &mut demand.plan;
        let reachable: Vec<bool> = plan
            .classes
            .iter()
            .map(|class| *class == UrgencyClass::InTime)
            .collect();
        let mut active = vec![false; plan.jobs.len()];
        // A job that exceeds its team's limit takes nothing from the pool.
        let teams = demand.teams.iter();
        let teams = teams.map(|(name, group)| (format_compact!("team {name}"), group));
        let pools = demand.pools.iter();
        let pools = pools.map(|(name, group)| (format_compact!("pool {name}"), group));
        for (scope, group) in teams.chain(pools) {
            if state.limit_group(scope, group, plan, now) {
                for &job in &group.members {
                    active[job] = true;
                }
            }
        }
        state.waits = demand.pool_waits(&active);
        let plan = &demand.plan;
        let jobs = plan.jobs.iter().enumerate();
        let jobs = jobs.filter(|(number, _)| active[*number]);
        let jobs = jobs.map(|(number, job)| {
            let class = plan.classes[number];
            let end = match class {
                UrgencyClass::InTime => job.due_ms,
                UrgencyClass::Late | UrgencyClass::TooLate => job.limit_ms,
            };
            let factor = if job.rank.is_optional {
                1
            } else {
                LARGE_PATH_FACTOR
            };
            let planned = PlannedJob {
                queue: self.jobs[&job.id].order.queue.clone(),
                class,
                slack_ms: end.saturating_sub(job.path_ms.saturating_mul(factor)),
                is_reachable: reachable[number],
            };
            (job.id, planned)
        });
        let jobs = jobs.collect();
        state.replace_jobs(jobs);
        self.overload = state;
    }
}
