//! Demand of the waiting jobs and the capacities that bound it, as input of the overload plan.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use super::JobDispatcher;
use super::overload::OverloadState;
use crate::ids::{PoolName, TeamName};
use crate::jobs::USEFUL_MULTIPLE;
use crate::jobs::estimate_ratio::EstimateRatio;
use crate::jobs::job_entry::JobEntry;
use crate::jobs::overload_plan::{DeferralRank, OverloadPlan, PlanCapacity, PlanJob};
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
    /// Ratio of actual to declared run times of a pool.
    pub ratio: EstimateRatio,
}

impl DemandGroup {
    pub(super) fn add_tasks(&mut self, cpu: u64, time_ms: u64) {
        self.cpu = self.cpu.saturating_add(cpu);
        self.cpu_time = self.cpu_time.saturating_add(cpu.saturating_mul(time_ms));
    }

    pub(super) fn add_run(&mut self, cpu: u64, left_ms: u64, time_ms: u64) {
        let capacity = &mut self.capacity;
        capacity.used = capacity.used.saturating_add(cpu);
        capacity.running_work = capacity
            .running_work
            .saturating_add(cpu.saturating_mul(left_ms) / 1_000);
        self.add_tasks(cpu, time_ms);
    }

    pub(super) fn add_lasting(&mut self, cpu: u64) {
        self.capacity.cpu = self.capacity.cpu.saturating_sub(cpu);
    }
}

/// Demand of a team in a pool.
#[derive(Debug, Clone, Copy)]
pub(super) struct TeamShare {
    number: usize,
    /// Waiting and running work, in core milliseconds.
    pub work: u64,
    /// Whether this is more than the team's share.
    pub is_over: bool,
}

impl TeamShare {
    const fn new(number: usize) -> Self {
        Self {
            number,
            work: 0,
            is_over: false,
        }
    }
}

/// Demand of all waiting jobs.
#[derive(Debug, Default)]
pub(super) struct WaitingDemand<'a> {
    pub plan: OverloadPlan,
    pub pools: BTreeMap<&'a PoolName, DemandGroup>,
    /// Teams with a limit.
    pub teams: BTreeMap<&'a TeamName, DemandGroup>,
    /// Demand of each team in each pool.
    pub shares: HashMap<(&'a PoolName, &'a TeamName), TeamShare>,
    /// Number of the share of each job of the plan; none for jobs without a team.
    job_shares: Vec<Option<usize>>,
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
        for (pool, group) in &mut demand.pools {
            let ratio = self.estimate_ratios.get(*pool);
            group.ratio = ratio.cloned().unwrap_or_default();
        }
        for (team, rule) in &self.rules.teams {
            if rule.limit.cpu_millis > 0 {
                let group = demand.teams.entry(team).or_default();
                group.capacity.cpu = rule.limit.cpu_millis;
            }
        }
        let open = self.jobs.values().filter(|job| !job.phase.is_final());
        let mut open: Vec<&JobEntry> = open.collect();
        // The plan of the same jobs is to be the same.
        open.sort_unstable_by_key(|job| job.id);
        for job in open {
            self.add_job_demand(&mut demand, job, state, now);
        }
        let mut widest = MARGIN_PERCENT.0;
        for group in demand.pools.values_mut() {
            group.capacity.margin_percent = margin_percent(group.ratio.deviation());
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
            job_shares,
        } = demand;
        let Some(pool) = pools.get_mut(&rule.pool) else {
            return;
        };
        let team_name = job.order.team.as_ref();
        let mut team = team_name.and_then(|team| teams.get_mut(team));
        let share = team_name.map(|team| {
            let next = shares.len();
            let entry = shares.entry((&rule.pool, team));
            let entry = entry.or_insert_with(|| TeamShare::new(next));
            (entry.number, entry)
        });
        let (number, share) = share.unzip();
        let mut work: u64 = 0;
        for occurrence in job.due() {
            let groups = (&mut *pool, team.as_deref_mut());
            let left = self.left_work(job, occurrence, groups, now);
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
            let objective = rule.objective(job.critical_path);
            let total = job.order.batch_work();
            let begun = left
                .running
                .saturating_add(total.saturating_sub(left_total));
            let (work_per_value, is_kept) = state.rank(job, left.waiting, total);
            let rank = DeferralRank {
                is_fresh: begun < total / STARTED_SHARE,
                is_over_share: false,
                priority: rule.priority,
                is_optional: !is_kept,
                work_per_value,
            };
            job_shares.push(number);
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
        if let Some(share) = share {
            share.work = share.work.saturating_add(work);
        }
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
        let demanding = self.shares.iter().filter(|(_, share)| share.work > 0);
        for ((pool, team), share) in demanding {
            let total = totals.entry(pool).or_default();
            total.0 += u128::from(share.work);
            total.1 += weight(team);
        }
        for ((pool, team), share) in &mut self.shares {
            let (total, weights) = totals.get(pool).copied().unwrap_or_default();
            #[expect(clippy::cast_precision_loss, reason = "amounts are far below 2^52")]
            let is_over = share.work as f64 * weights > total as f64 * weight(team);
            share.is_over = is_over;
        }
        let mut is_over = vec![false; self.shares.len()];
        for share in self.shares.values() {
            is_over[share.number] = share.is_over;
        }
        for (job, share) in self.plan.jobs.iter_mut().zip(&self.job_shares) {
            job.rank.is_over_share = share.is_some_and(|number| is_over[number]);
        }
    }

    /// Teams whose jobs are the first to be deferred in a pool: those over their share, or its only
    /// team.
    pub(super) fn over_share_teams(&self, pool: &PoolName) -> Vec<TeamName> {
        let teams = self.shares.iter().filter(|((name, _), _)| *name == pool);
        let teams: Vec<_> = teams.filter(|(_, share)| share.work > 0).collect();
        let is_single = teams.len() == 1;
        let over = teams.into_iter();
        let over = over.filter(|(_, share)| share.is_over || is_single);
        let mut names: Vec<TeamName> = over.map(|((_, team), _)| (*team).clone()).collect();
        names.sort_unstable();
        names
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

fn millis(time: Duration) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
}
