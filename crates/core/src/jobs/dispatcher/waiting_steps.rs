//! Steps with tasks that wait for room on a worker, and the keys by which they are sorted.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use super::JobDispatcher;
use crate::ids::{PoolName, TeamName};
use crate::jobs::job_entry::{JobEntry, OccurrenceEntry};
use crate::jobs::{JobOrder, PriorityKey, QueueRule, StepName, TaskName};
use crate::time::TimePoint;

/// Tasks of a step that wait for room.
pub(super) struct WaitingStep {
    pub(super) key: PriorityKey,
    pub(super) name: StepName,
    /// Job of the step.
    pub(super) order: Arc<JobOrder>,
    pub(super) pool: PoolName,
    pub(super) indexes: Vec<u16>,
    /// Whether the tasks already have a run, which is slow or may be lost.
    pub(super) is_copy: bool,
    /// Whether the tasks were implicated in crashes of workers.
    pub(super) is_suspect: bool,
}

/// Tasks that may run on workers that this owner cannot query.
#[derive(Default)]
struct UncertainTasks<'a> {
    /// Whether any task may run there: the previous owner published nothing about a worker that has
    /// not answered this owner or is not listed.
    includes_all: bool,
    published: Vec<&'a HashSet<TaskName>>,
}

impl UncertainTasks<'_> {
    fn contains(&self, task: TaskName) -> bool {
        self.includes_all || self.published.iter().any(|tasks| tasks.contains(&task))
    }
}

impl JobDispatcher {
    /// Returns the tasks that a previous owner may have started in one of `pools` and of which this
    /// owner has no report.
    fn uncertain_tasks(&self, pools: [&PoolName; 2], now: TimePoint) -> UncertainTasks<'_> {
        let has_unlisted = || pools.iter().any(|pool| self.may_have_unlisted_worker(pool));
        let mut uncertain = UncertainTasks {
            includes_all: now < self.inherited_lease_end && has_unlisted(),
            ..UncertainTasks::default()
        };
        for entry in self.workers.values().filter(|entry| !entry.is_list_whole) {
            let has_lease = self.may_lack_runs(entry, now);
            match self.inherited_unreachable.get(&entry.report.name) {
                // Its tasks may be of queues that have moved to this pool.
                Some(runs) if now < runs.lease_end || (has_lease && entry.is_list_cut) => {
                    uncertain.published.push(&runs.tasks);
                }
                Some(_) => {}
                None => uncertain.includes_all |= has_lease && pools.contains(&&entry.report.pool),
            }
        }
        for (name, runs) in &self.inherited_unreachable {
            if now < runs.lease_end && !self.keys_by_name.contains_key(name) {
                uncertain.published.push(&runs.tasks);
            }
        }
        uncertain
    }

    pub(super) fn waiting_steps(&self, now: TimePoint) -> Vec<WaitingStep> {
        self.waiting_steps_where(now, |_, _| true)
    }

    /// Returns the waiting steps of the jobs for which `is_included` is true, given the job and the
    /// rule of its queue.
    pub(super) fn waiting_steps_where(
        &self,
        now: TimePoint,
        is_included: impl Fn(&JobEntry, &QueueRule) -> bool,
    ) -> Vec<WaitingStep> {
        let settled = UncertainTasks::default();
        let mut uncertain: HashMap<[&PoolName; 2], UncertainTasks<'_>> = HashMap::new();
        let over_share = self.teams_over_share();
        let mut waiting = Vec::new();
        for job in self.jobs.values() {
            if job.phase.is_final() {
                continue;
            }
            let Some(rule) = self.rules.queues.get(&job.order.queue) else {
                continue;
            };
            if !is_included(job, rule) {
                continue;
            }
            let is_over_share = job
                .order
                .team
                .as_ref()
                .is_some_and(|team| over_share.get(team).copied().unwrap_or(false));
            let uncertain = if job.is_inherited {
                let pools = [&rule.pool, job.accepted_pool().unwrap_or(&rule.pool)];
                let tasks = || self.uncertain_tasks(pools, now);
                uncertain.entry(pools).or_insert_with(tasks)
            } else {
                &settled
            };
            self.add_waiting_steps(job, rule, (is_over_share, uncertain), now, &mut waiting);
        }
        waiting
    }

    fn add_waiting_steps(
        &self,
        job: &JobEntry,
        rule: &QueueRule,
        (is_over_share, uncertain): (bool, &UncertainTasks<'_>),
        now: TimePoint,
        waiting: &mut Vec<WaitingStep>,
    ) {
        let has_suspects = self.suspects() > 0;
        for occurrence in job.due() {
            for (number, step) in occurrence.steps.iter().enumerate() {
                let number = u16::try_from(number).unwrap_or(u16::MAX);
                if step.remaining == 0 || !job.is_step_ready(occurrence.number, number) {
                    continue;
                }
                let name = StepName {
                    job: job.id,
                    occurrence: occurrence.number,
                    step: number,
                };
                let spec = &job.order.steps[usize::from(number)];
                let mut indexes: Vec<u16> = Vec::new();
                for (task, index) in step.tasks.iter().zip(0..) {
                    if !task.is_waiting(now) {
                        continue;
                    }
                    let failures = u32::try_from(task.failed_runs.len()).unwrap_or(u32::MAX);
                    let is_safe = !job.is_inherited
                        || task.is_settled
                        || spec.allows_copies
                        || !uncertain.contains(name.task(index));
                    if failures < rule.attempts
                        && is_safe
                        && (!has_suspects || self.may_start_again(name.task(index)))
                    {
                        if indexes.is_empty() {
                            indexes.reserve_exact(step.remaining);
                        }
                        indexes.push(index);
                    }
                }
                let mut copies: Vec<u16> = Vec::new();
                if let Some(expected) = self.expected_run_time(step, spec, &rule.pool) {
                    let slow = step.tasks.iter().zip(0..);
                    let slow = slow.filter(|(task, _)| self.needs_copy(task, expected, now));
                    let slow = slow.map(|(_, index)| index);
                    copies.extend(slow.filter(|index| self.may_copy(name.task(*index))));
                }
                for (indexes, is_copy) in [(copies, true), (indexes, false)] {
                    if indexes.is_empty() {
                        continue;
                    }
                    let is_last = is_copy || is_over_share;
                    let key = self.natural_key(job, rule, occurrence, is_last, now);
                    let mut key = self.overload.planned_key(job.id, key);
                    if spec.is_lasting && !is_copy {
                        key = key.with_long_running();
                    }
                    let groups = if has_suspects {
                        self.split_suspects(name, spec, indexes)
                    } else {
                        vec![(indexes, false)]
                    };
                    for (indexes, is_suspect) in groups {
                        waiting.push(WaitingStep {
                            key,
                            name,
                            order: Arc::clone(&job.order),
                            pool: rule.pool.clone(),
                            indexes,
                            is_copy,
                            is_suspect,
                        });
                    }
                }
            }
        }
    }

    /// Key of a job in the place that it has without a plan of an overloaded pool.
    pub(super) fn natural_key(
        &self,
        job: &JobEntry,
        rule: &QueueRule,
        occurrence: &OccurrenceEntry,
        is_over_share: bool,
        now: TimePoint,
    ) -> PriorityKey {
        let objective = rule.objective(job.critical_path);
        let age = self.arrival_times.get(&job.id);
        let age = age.map_or(Duration::ZERO, |&arrived| now.since(arrived));
        let age = if job.order.schedule.is_some() {
            Duration::ZERO
        } else {
            age
        };
        let remaining = remaining_critical_path(job, occurrence);
        PriorityKey::new(is_over_share, rule.priority, age, remaining, objective)
    }

    /// Returns, for each team with runs, whether it uses more than its share of the processor
    /// capacity in use.
    fn teams_over_share(&self) -> HashMap<TeamName, bool> {
        let active = self.team_usage.iter().filter(|(_, usage)| !usage.is_zero());
        let weights: Vec<_> = active
            .map(|(team, usage)| {
                let rule = self.rules.teams.get(team);
                let weight = rule.map_or(1.0, |rule| rule.weight.max(f64::EPSILON));
                (team, usage.cpu_millis, weight)
            })
            .collect();
        let total: u64 = weights.iter().map(|(_, cpu, _)| cpu).sum();
        let sum: f64 = weights.iter().map(|(_, _, weight)| weight).sum();
        #[expect(clippy::cast_precision_loss, reason = "amounts are far below 2^52")]
        let over = |cpu: u64, weight: f64| cpu as f64 * sum > total as f64 * weight;
        weights
            .into_iter()
            .map(|(team, cpu, weight)| (team.clone(), over(cpu, weight)))
            .collect()
    }
}

/// Estimated run time of the longest chain of dependent steps that are not done.
pub(super) fn remaining_critical_path(job: &JobEntry, occurrence: &OccurrenceEntry) -> Duration {
    let mut ends: Vec<Duration> = Vec::with_capacity(occurrence.steps.len());
    for (step, spec) in occurrence.steps.iter().zip(&job.order.steps) {
        let run_time = if step.remaining == 0 {
            Duration::ZERO
        } else {
            spec.estimate
        };
        ends.push(spec.earliest_start(&ends).saturating_add(run_time));
    }
    ends.into_iter().max().unwrap_or_default()
}
