//! Demand of the waiting jobs and the capacities that bound it, as input of the overload plan.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use super::JobDispatcher;
use super::demand_forecast::remaining_time;
use super::overload::OverloadState;
use super::waiting_steps::objective;
use crate::ids::{PoolName, TeamName};
use crate::jobs::estimate_ratio::EstimateRatio;
use crate::jobs::job_entry::{JobEntry, OccurrenceEntry};
use crate::jobs::overload_plan::{DeferralRank, OverloadPlan, PlanCapacity, PlanJob, PlanStage};
use crate::jobs::{JobOrder, StepSpec, USEFUL_MULTIPLE};
use crate::time::TimePoint;

/// Share of a job's work that has to be done or running for the job to count as started: one task
/// that has filled a gap says little.
const STARTED_SHARE: u64 = 4;

/// Multiple of the mean deviation from the estimates that is kept in reserve. Run times that are
/// spread evenly exceed it in a tenth of the cases.
const MARGIN_FACTOR: f64 = 1.6;

/// Least and largest reserve for run times that exceed their estimates, in percent of these.
const MARGIN_PERCENT: (i64, i64) = (20, 80);

/// Waiting jobs of a pool or a team, and the capacity that they share.
#[derive(Debug, Default)]
pub(super) struct DemandGroup {
    pub members: Vec<usize>,
    pub capacity: PlanCapacity,
    /// CPU of all tasks of the group, and the sum of CPU times run time, for the mean run time.
    cpu: u64,
    cpu_time: u64,
}

impl DemandGroup {
    fn add_tasks(&mut self, cpu: u64, time_ms: u64) {
        self.cpu = self.cpu.saturating_add(cpu);
        self.cpu_time = self.cpu_time.saturating_add(cpu.saturating_mul(time_ms));
    }

    fn add_run(&mut self, cpu: u64, left_ms: u64, time_ms: u64) {
        let capacity = &mut self.capacity;
        capacity.used = capacity.used.saturating_add(cpu);
        capacity.running_work = capacity
            .running_work
            .saturating_add(cpu.saturating_mul(left_ms) / 1_000);
        self.add_tasks(cpu, time_ms);
    }

    fn add_lasting(&mut self, cpu: u64) {
        self.capacity.cpu = self.capacity.cpu.saturating_sub(cpu);
    }
}

/// Demand of all waiting jobs.
#[derive(Debug, Default)]
pub(super) struct WaitingDemand<'a> {
    pub plan: OverloadPlan,
    pub pools: BTreeMap<&'a PoolName, DemandGroup>,
    /// Teams with a limit.
    pub teams: BTreeMap<&'a TeamName, DemandGroup>,
    /// Waiting and running work of each team in each pool, in core milliseconds.
    shares: HashMap<(&'a PoolName, &'a TeamName), u64>,
}

/// What is left to do of an occurrence of a job.
#[derive(Debug, Default)]
struct LeftWork {
    stages: Vec<PlanStage>,
    path_ms: u64,
    waiting: u64,
    running: u64,
}

impl JobDispatcher {
    /// Adds up the demand of the waiting jobs.
    pub(super) fn waiting_demand(
        &self,
        state: &OverloadState,
        now: TimePoint,
    ) -> WaitingDemand<'_> {
        let mut demand = WaitingDemand::default();
        for entry in self.workers.values().filter(|entry| entry.is_usable(now)) {
            let group = demand.pools.entry(&entry.report.pool).or_default();
            let cpu = &mut group.capacity.cpu;
            *cpu = cpu.saturating_add(entry.report.capacity.cpu_millis);
        }
        for (team, rule) in &self.rules.teams {
            if rule.limit.cpu_millis > 0 {
                let group = demand.teams.entry(team).or_default();
                group.capacity.cpu = rule.limit.cpu_millis;
            }
        }
        for job in self.jobs.values().filter(|job| !job.phase.is_final()) {
            self.add_job_demand(&mut demand, job, state, now);
        }
        let mut widest = MARGIN_PERCENT.0;
        for (pool, group) in &mut demand.pools {
            let deviation = self
                .estimate_ratios
                .get(*pool)
                .map(EstimateRatio::deviation);
            group.capacity.margin_percent = margin_percent(deviation.unwrap_or_default());
            widest = widest.max(group.capacity.margin_percent);
        }
        for group in demand.teams.values_mut() {
            group.capacity.margin_percent = widest;
        }
        for group in demand.pools.values_mut().chain(demand.teams.values_mut()) {
            group.capacity.task_ms = group.cpu_time / group.cpu.max(1);
        }
        demand.mark_over_share(self);
        demand
    }

    fn add_job_demand<'a>(
        &'a self,
        demand: &mut WaitingDemand<'a>,
        job: &'a JobEntry,
        state: &OverloadState,
        now: TimePoint,
    ) {
        let Some(rule) = self.rules.queues.get(&job.order.queue) else {
            return;
        };
        let WaitingDemand {
            plan,
            pools,
            teams,
            shares,
        } = demand;
        let Some(pool) = pools.get_mut(&rule.pool) else {
            return;
        };
        let team_name = job.order.team.as_ref();
        let mut team = team_name.and_then(|team| teams.get_mut(team));
        let mut work: u64 = 0;
        for occurrence in &job.occurrences {
            let groups = (&mut *pool, team.as_deref_mut());
            let left = self.left_work(job, occurrence, &rule.pool, groups, now);
            let left_total = left.waiting.saturating_add(left.running);
            work = work.saturating_add(left_total);
            if left.waiting == 0 {
                continue;
            }
            let mut groups = [Some(&mut *pool), team.as_deref_mut()];
            let groups = groups.iter_mut().flatten();
            if job.order.schedule.is_some() || job.order.steps.iter().any(|spec| spec.is_lasting) {
                // Such work is never deferred.
                for group in groups {
                    group.capacity.reserve(left.waiting);
                }
                continue;
            }
            groups.for_each(|group| group.members.push(plan.jobs.len()));
            let arrived = self.arrival_times.get(&job.id);
            let age = arrived.map_or(Duration::ZERO, |&arrived| now.since(arrived));
            let objective = objective(job.critical_path, rule);
            let total = declared_work(&job.order);
            let begun = left
                .running
                .saturating_add(total.saturating_sub(left_total));
            let rank = DeferralRank {
                is_fresh: begun < total / STARTED_SHARE,
                is_over_share: false,
                priority: rule.priority,
                work_per_value: state.work_per_value(job, left.waiting, total),
            };
            let begin = plan.stages.len();
            plan.stages.extend(left.stages);
            plan.add(PlanJob {
                id: job.id,
                rank,
                due_ms: millis(objective) - millis(age),
                limit_ms: millis(objective.saturating_mul(USEFUL_MULTIPLE)) - millis(age),
                path_ms: i64::try_from(left.path_ms).unwrap_or(i64::MAX),
                was_deferred: state.is_deferred(job.id),
                stages: begin..plan.stages.len(),
            });
        }
        if let Some(team) = team_name {
            let share = shares.entry((&rule.pool, team)).or_default();
            *share = share.saturating_add(work);
        }
    }

    /// Returns what is left of an occurrence, and counts its runs for its pool and team.
    fn left_work(
        &self,
        job: &JobEntry,
        occurrence: &OccurrenceEntry,
        pool_name: &PoolName,
        (pool, mut team): (&mut DemandGroup, Option<&mut DemandGroup>),
        now: TimePoint,
    ) -> LeftWork {
        let mut left = LeftWork::default();
        let mut tails: Vec<u64> = vec![0; occurrence.steps.len()];
        let steps = occurrence.steps.iter().zip(&job.order.steps).enumerate();
        for (number, (entry, spec)) in steps.rev() {
            if entry.remaining == 0 {
                continue;
            }
            let cpu = spec.worker_amount().cpu_millis;
            let estimate = self.estimated_time(spec, pool_name);
            let time_ms = whole_millis(estimate);
            let mut waiting: u64 = 0;
            let mut longest = 0;
            for task in entry.tasks.iter().filter(|task| !task.is_done) {
                if task.runs.is_empty() {
                    waiting += 1;
                }
                for run in &task.runs {
                    if spec.is_lasting || spec.is_filler {
                        if self.workers[run.worker].is_usable(now) {
                            pool.add_lasting(cpu);
                        }
                        if let Some(team) = &mut team {
                            team.add_lasting(spec.amount.cpu_millis);
                        }
                        continue;
                    }
                    let run_left = whole_millis(remaining_time(run, estimate, now));
                    longest = longest.max(run_left);
                    let work = cpu.saturating_mul(run_left) / 1_000;
                    left.running = left.running.saturating_add(work);
                    if self.workers[run.worker].is_usable(now) {
                        pool.add_run(cpu, run_left, time_ms);
                    }
                    if let Some(team) = &mut team {
                        team.add_run(cpu, run_left, time_ms);
                    }
                }
            }
            if waiting > 0 && !spec.is_lasting {
                longest = time_ms;
            }
            tails[number] = tails[number].saturating_add(longest);
            left.path_ms = left.path_ms.max(tails[number]);
            for &earlier in &spec.after {
                let tail = tails[number];
                if let Some(earlier) = tails.get_mut(usize::from(earlier)) {
                    *earlier = tail.max(*earlier);
                }
            }
            if waiting > 0 && !spec.is_lasting && cpu > 0 {
                let cpu = cpu.saturating_mul(waiting);
                pool.add_tasks(cpu, time_ms);
                if let Some(team) = &mut team {
                    team.add_tasks(cpu, time_ms);
                }
                let work = cpu.saturating_mul(time_ms) / 1_000;
                left.waiting = left.waiting.saturating_add(work);
                left.stages.push(PlanStage {
                    tail_ms: i64::try_from(tails[number]).unwrap_or(i64::MAX),
                    work,
                });
            }
        }
        left
    }
}

impl WaitingDemand<'_> {
    /// Marks the jobs of teams whose demand exceeds their share of the demand on the pool.
    fn mark_over_share(&mut self, dispatcher: &JobDispatcher) {
        let mut totals: HashMap<&PoolName, (u128, f64)> = HashMap::new();
        let weight = |team: &TeamName| {
            let rule = dispatcher.rules.teams.get(team);
            rule.map_or(1.0, |rule| rule.weight.max(f64::EPSILON))
        };
        for ((pool, team), work) in self.shares.iter().filter(|(_, work)| **work > 0) {
            let total = totals.entry(pool).or_default();
            total.0 += u128::from(*work);
            total.1 += weight(team);
        }
        for job in &mut self.plan.jobs {
            let order = &dispatcher.jobs[&job.id].order;
            let (Some(pool), Some(team)) = (dispatcher.pool_of(&order.queue), &order.team) else {
                continue;
            };
            let work = self.shares.get(&(pool, team)).copied().unwrap_or(0);
            let (total, weights) = totals.get(pool).copied().unwrap_or_default();
            #[expect(clippy::cast_precision_loss, reason = "amounts are far below 2^52")]
            let is_over = work as f64 * weights > total as f64 * weight(team);
            job.rank.is_over_share = is_over;
        }
    }
}

/// Reserve for run times that exceed their estimates, in percent of these.
#[expect(
    clippy::cast_possible_truncation,
    reason = "the deviation is at most 1"
)]
fn margin_percent(deviation: f64) -> i64 {
    let percent = (deviation * MARGIN_FACTOR * 100.0) as i64;
    percent.clamp(MARGIN_PERCENT.0, MARGIN_PERCENT.1)
}

/// Declared work of the batch tasks of a job, in core milliseconds.
pub(super) fn declared_work(order: &JobOrder) -> u64 {
    let work = |spec: &StepSpec| {
        let cpu = spec.worker_amount().cpu_millis;
        let cpu = cpu.saturating_mul(u64::from(spec.count));
        cpu.saturating_mul(whole_millis(spec.estimate)) / 1_000
    };
    let batch = order.steps.iter().filter(|spec| !spec.is_lasting);
    batch.map(work).fold(0, u64::saturating_add)
}

fn whole_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn millis(time: Duration) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
}
