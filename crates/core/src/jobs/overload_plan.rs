//! Choice of the jobs that are deferred while demand exceeds capacity.
//!
//! The method follows Moore and Hodgson: the steps of the waiting jobs are taken in order of their
//! latest start time, and their work is added up against the work that can start by then. When a
//! step would start too late, the job with the most work per value so far is deferred. That serves
//! the jobs of highest value for the capacity, and overload costs only the excess.

use std::collections::BinaryHeap;

use super::{JobId, UrgencyClass};

/// Share of a capacity that tasks can use, since they do not fill the workers exactly.
const USABLE_PERCENT: u64 = 88;

/// Factor on the work per value of a job that the round before deferred, in percent. It keeps two
/// jobs of about the same rank from taking turns.
const DEFERRED_RANK_PERCENT: u64 = 150;

/// Factor on the work of a job that the round before deferred, in percent. The job is resumed only
/// once there is that much more room than it needs.
const DEFERRED_WORK_PERCENT: u64 = 110;

/// Order in which jobs are deferred; the largest is first.
#[derive(Debug, Clone, Copy)]
pub(super) struct DeferralRank {
    /// Whether little of the job's work is done or running, so that little of it would be lost.
    pub is_fresh: bool,
    /// Whether the job's team demands more than its share of the pool.
    pub is_over_share: bool,
    /// Priority of the queue; 0 is the highest.
    pub priority: u32,
    /// Whether the job is not one of the large jobs that are served in any case.
    pub is_optional: bool,
    /// Remaining work relative to the value of the job, in core milliseconds.
    pub work_per_value: u64,
}

/// Job with tasks that wait. Times are relative to the present and may have passed.
#[derive(Debug, Clone)]
pub(super) struct PlanJob {
    pub id: JobId,
    pub rank: DeferralRank,
    /// Time until the objective, in milliseconds.
    pub due_ms: i64,
    /// Time until the result has no value any more, in milliseconds.
    pub limit_ms: i64,
    /// Remaining critical path, in milliseconds.
    pub path_ms: i64,
    pub was_deferred: bool,
    /// The job's part of [`OverloadPlan::stages`].
    pub stages: std::ops::Range<usize>,
}

/// Step of a job with tasks that wait.
#[derive(Debug, Clone, Copy)]
pub(super) struct PlanStage {
    /// Time from the start of the step to the end of the job, in milliseconds.
    pub tail_ms: i64,
    /// Work of the waiting tasks, in core milliseconds.
    pub work: u64,
}

/// Capacity of a pool, or the limit of a team, without the part that long-running tasks use.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct PlanCapacity {
    /// CPU, in thousandths of a core.
    pub cpu: u64,
    /// CPU that running batch tasks use, in thousandths of a core.
    pub used: u64,
    /// Work left in running batch tasks, in core milliseconds.
    pub running_work: u64,
    /// Work of the tasks that are served before all others, in core milliseconds.
    pub reserved_work: u64,
    /// Mean run time of a task, weighted by CPU, in milliseconds.
    pub task_ms: u64,
    /// Reserve for run times that exceed their estimates, in percent of these.
    pub margin_percent: i64,
}

impl PlanCapacity {
    /// Adds work that is served before all other.
    pub(super) fn reserve(&mut self, work: u64) {
        self.reserved_work = self.reserved_work.saturating_add(work);
    }

    /// Work of tasks that can start within a time, in core milliseconds.
    ///
    /// Tasks that start at once fill what is free. After that, tasks start as others end; in a full
    /// pool, about half of the work of the running tasks is still left at any time.
    fn startable(&self, time_ms: i64) -> i64 {
        let work = |cpu: u64, time: i64| {
            signed(cpu.saturating_mul(USABLE_PERCENT)).saturating_mul(time) / 100_000
        };
        let task_ms = signed(self.task_ms);
        let at_once = work(self.cpu.saturating_sub(self.used), task_ms);
        let in_time = work(self.cpu, time_ms.max(0).saturating_add(task_ms / 2))
            .saturating_sub(signed(self.running_work));
        at_once.max(in_time)
    }
}

/// Waiting jobs, and whether each can be served in time, late or not at all.
#[derive(Debug, Default)]
pub(super) struct OverloadPlan {
    pub jobs: Vec<PlanJob>,
    pub stages: Vec<PlanStage>,
    pub classes: Vec<UrgencyClass>,
}

impl OverloadPlan {
    /// Adds a job in the class that it would have with unlimited capacity.
    pub(super) fn add(&mut self, job: PlanJob) {
        self.classes.push(reachable_class(&job));
        self.jobs.push(job);
    }

    /// Work of the waiting tasks of a job, in core milliseconds.
    pub(super) fn work(&self, job: usize) -> u64 {
        let stages = &self.stages[self.jobs[job].stages.clone()];
        let works = stages.iter().map(|stage| stage.work);
        works.fold(0, u64::saturating_add)
    }

    /// Moves those of the jobs in `members` to a later class that exceed a capacity. Returns how
    /// many.
    pub(super) fn limit(&mut self, members: &[usize], capacity: &PlanCapacity) -> usize {
        let mut prior = capacity.reserved_work;
        let mut deferred = 0;
        for class in [UrgencyClass::InTime, UrgencyClass::Late] {
            let candidates = members.iter().copied();
            let candidates: Vec<usize> = candidates
                .filter(|&job| self.classes[job] == class)
                .collect();
            for &job in &self.excess(&candidates, class, prior, capacity) {
                self.classes[job] = match class {
                    UrgencyClass::InTime => late_class(&self.jobs[job]),
                    UrgencyClass::Late | UrgencyClass::TooLate => UrgencyClass::TooLate,
                };
                deferred += 1;
            }
            let kept = candidates.iter().copied();
            let kept = kept.filter(|&job| self.classes[job] == class);
            prior = kept.fold(prior, |sum, job| sum.saturating_add(self.work(job)));
        }
        deferred
    }

    /// Jobs of a class that have to be deferred so that the others of it start soon enough. `prior`
    /// is the work that is served before them.
    fn excess(
        &self,
        candidates: &[usize],
        class: UrgencyClass,
        prior: u64,
        capacity: &PlanCapacity,
    ) -> Vec<usize> {
        // Short keys, since most of the time of a plan goes into sorting.
        let mut entries: Vec<(u64, u32, u32)> = Vec::with_capacity(candidates.len() * 2);
        for &number in candidates {
            let job = &self.jobs[number];
            let end = match class {
                UrgencyClass::InTime => job.due_ms,
                UrgencyClass::Late | UrgencyClass::TooLate => job.limit_ms,
            };
            for stage in job.stages.clone() {
                let tail = self.stages[stage].tail_ms;
                let slack = end.saturating_sub(tail);
                let margin = tail.saturating_mul(capacity.margin_percent) / 100;
                let latest_start = slack - margin.min(slack.max(0) * 2 / 3);
                let key = start_key(job.rank.priority, latest_start);
                entries.push((key, short(stage), short(number)));
            }
        }
        entries.sort_unstable();
        let mut counted: Vec<u64> = vec![0; self.jobs.len()];
        let mut is_excess = vec![false; self.jobs.len()];
        let mut ranked: BinaryHeap<(u64, u32)> = BinaryHeap::with_capacity(candidates.len());
        let mut excess = Vec::new();
        let mut sum = prior;
        for (key, stage, short_number) in entries {
            let number = short_number as usize;
            if is_excess[number] {
                continue;
            }
            let job = &self.jobs[number];
            let mut work = self.stages[stage as usize].work.max(1);
            if job.was_deferred {
                work = percent(work, DEFERRED_WORK_PERCENT);
            }
            if counted[number] == 0 {
                ranked.push((job.rank.key(job.was_deferred), short_number));
            }
            counted[number] = counted[number].saturating_add(work);
            sum = sum.saturating_add(work);
            let startable = capacity.startable(latest_start(key));
            while signed(sum) > startable
                && let Some((_, last)) = ranked.pop()
            {
                let last = last as usize;
                is_excess[last] = true;
                excess.push(last);
                sum = sum.saturating_sub(counted[last]);
            }
        }
        excess
    }
}

/// Bits of a key for the latest start or the work per value, below those that count first.
const KEY_BITS: u32 = 48;

/// Key by which steps are sorted: the priority of the queue, and then the latest start. Both are
/// bounded far beyond what occurs.
fn start_key(priority: u32, latest_start_ms: i64) -> u64 {
    let half = 1_i64 << (KEY_BITS - 1);
    let biased = latest_start_ms.clamp(-half, half - 1) + half;
    u64::from(priority.min(0xffff)) << KEY_BITS | biased.unsigned_abs()
}

/// Latest start of a key, in milliseconds.
fn latest_start(key: u64) -> i64 {
    let biased = key & ((1 << KEY_BITS) - 1);
    signed(biased) - (1 << (KEY_BITS - 1))
}

fn short(index: usize) -> u32 {
    u32::try_from(index).unwrap_or(u32::MAX)
}

impl DeferralRank {
    /// Key by which jobs are deferred; the largest is first.
    fn key(self, was_deferred: bool) -> u64 {
        let work = if was_deferred {
            percent(self.work_per_value, DEFERRED_RANK_PERCENT)
        } else {
            self.work_per_value
        };
        let flag = |is_set: bool, bit: u32| u64::from(is_set) << bit;
        flag(self.is_fresh, 63)
            | flag(self.is_over_share, 62)
            | u64::from(self.priority.min(0x1fff)) << (KEY_BITS + 1)
            | flag(self.is_optional, KEY_BITS)
            | work.min((1 << KEY_BITS) - 1)
    }
}

/// Class of a job that starts at once.
fn reachable_class(job: &PlanJob) -> UrgencyClass {
    if job.path_ms <= job.due_ms {
        UrgencyClass::InTime
    } else {
        late_class(job)
    }
}

fn late_class(job: &PlanJob) -> UrgencyClass {
    if job.path_ms <= job.limit_ms {
        UrgencyClass::Late
    } else {
        UrgencyClass::TooLate
    }
}

fn percent(amount: u64, percent: u64) -> u64 {
    amount.saturating_mul(percent) / 100
}

fn signed(amount: u64) -> i64 {
    i64::try_from(amount).unwrap_or(i64::MAX)
}
