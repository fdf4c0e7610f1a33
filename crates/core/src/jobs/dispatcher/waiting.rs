//! Tasks that wait for room, in the order in which they get it.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use super::JobDispatcher;
use crate::ids::{PoolName, TeamName};
use crate::jobs::job_entry::JobEntry;
use crate::jobs::{PriorityKey, StepName, TaskName};
use crate::time::TimePoint;

/// Tasks of a step that wait for room.
pub(super) struct WaitingStep {
    pub(super) key: PriorityKey,
    pub(super) name: StepName,
    pub(super) pool: PoolName,
    pub(super) indexes: Vec<u16>,
    /// Whether the tasks run already, where they may be lost or are slow.
    pub(super) is_copy: bool,
}

/// Tasks that may run where this owner cannot ask.
#[derive(Default)]
struct UnsettledTasks<'a> {
    /// Whether it may be any task: the earlier owner has published nothing of a worker that is
    /// silent or not listed.
    is_any: bool,
    listed: Vec<&'a HashSet<TaskName>>,
}

impl UnsettledTasks<'_> {
    fn contains(&self, task: TaskName) -> bool {
        self.is_any || self.listed.iter().any(|tasks| tasks.contains(&task))
    }
}

impl JobDispatcher {
    /// Tasks that an earlier owner may have running in a pool without this one knowing.
    fn unsettled_tasks(&self, pool: &PoolName, now: TimePoint) -> UnsettledTasks<'_> {
        let mut unsettled = UnsettledTasks {
            is_any: now < self.inherited_until && self.misses_worker(pool),
            ..UnsettledTasks::default()
        };
        for entry in self.workers.values() {
            if entry.list_requested.is_none() && entry.report.pool == *pool {
                match self.out_of_reach.get(&entry.report.name) {
                    Some(runs) if now < runs.until => unsettled.listed.push(&runs.tasks),
                    Some(_) => {}
                    None => unsettled.is_any |= now < self.inherited_until,
                }
            }
        }
        for (name, runs) in &self.out_of_reach {
            if now < runs.until && !self.names.contains_key(name) {
                unsettled.listed.push(&runs.tasks);
            }
        }
        unsettled
    }

    pub(super) fn waiting_steps(&self, now: TimePoint) -> Vec<WaitingStep> {
        let mut unsettled: HashMap<&PoolName, UnsettledTasks<'_>> = HashMap::new();
        let shares = self.over_share();
        let mut waiting = Vec::new();
        for job in self.jobs.values() {
            if job.phase.is_final() {
                continue;
            }
            let Some(pool) = self.pool_of(&job.order.queue) else {
                continue;
            };
            let is_over_share = job
                .order
                .team
                .as_ref()
                .is_some_and(|team| shares.get(team).copied().unwrap_or(false));
            let unsettled = unsettled
                .entry(pool)
                .or_insert_with(|| self.unsettled_tasks(pool, now));
            self.waiting_of(job, pool, (is_over_share, unsettled), now, &mut waiting);
        }
        waiting
    }

    fn waiting_of(
        &self,
        job: &JobEntry,
        pool: &PoolName,
        (is_over_share, unsettled): (bool, &UnsettledTasks<'_>),
        now: TimePoint,
        waiting: &mut Vec<WaitingStep>,
    ) {
        let attempts = self.rules.queues[&job.order.queue].attempts;
        for occurrence in &job.occurrences {
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
                let tasks = step.tasks.iter().enumerate().filter(|(index, task)| {
                    let index = u16::try_from(*index).unwrap_or(u16::MAX);
                    let failures = u32::try_from(task.failed_runs.len()).unwrap_or(u32::MAX);
                    let is_safe = !job.is_inherited
                        || task.is_settled
                        || spec.allows_copies
                        || !unsettled.contains(name.task(index));
                    task.is_waiting(now) && failures < attempts && is_safe
                });
                let indexes: Vec<u16> = tasks
                    .map(|(index, _)| u16::try_from(index).unwrap_or(u16::MAX))
                    .collect();
                let usual = self.usual_time(step, spec, pool);
                let copies = step.tasks.iter().enumerate();
                let copies = copies.filter(|(_, task)| {
                    usual.is_some_and(|usual| self.needs_copy(task, usual, now))
                });
                let copies: Vec<u16> = copies
                    .map(|(index, _)| u16::try_from(index).unwrap_or(u16::MAX))
                    .collect();
                if !copies.is_empty() {
                    let key = self.sequence_key(job, occurrence.number, true, now);
                    waiting.push(WaitingStep {
                        key,
                        name,
                        pool: pool.clone(),
                        indexes: copies,
                        is_copy: true,
                    });
                }
                if indexes.is_empty() {
                    continue;
                }
                let mut key = self.sequence_key(job, occurrence.number, is_over_share, now);
                if spec.is_lasting {
                    key = key.with_long_running();
                }
                waiting.push(WaitingStep {
                    key,
                    name,
                    pool: pool.clone(),
                    indexes,
                    is_copy: false,
                });
            }
        }
    }

    fn sequence_key(
        &self,
        job: &JobEntry,
        occurrence: u32,
        is_over_share: bool,
        now: TimePoint,
    ) -> PriorityKey {
        let rule = &self.rules.queues[&job.order.queue];
        let objective = job.critical_path.mul_f64(rule.stretch) + rule.slack;
        let age = self.arrivals.get(&job.id);
        let age = age.map_or(Duration::ZERO, |&arrived| now.since(arrived));
        let age = if job.order.schedule.is_some() {
            Duration::ZERO
        } else {
            age
        };
        let remaining = remaining_chain(job, occurrence);
        PriorityKey::new(is_over_share, rule.priority, age, remaining, objective)
    }

    /// Teams that have more than their share of what is in use.
    fn over_share(&self) -> HashMap<TeamName, bool> {
        let active = self.usage.iter().filter(|(_, usage)| !usage.is_zero());
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

/// Declared run time of the longest chain of steps that are not done.
fn remaining_chain(job: &JobEntry, occurrence: u32) -> Duration {
    let Some(entry) = job.occurrence(occurrence) else {
        return job.critical_path;
    };
    let mut ends: Vec<Duration> = Vec::with_capacity(entry.steps.len());
    for (step, spec) in entry.steps.iter().zip(&job.order.steps) {
        let begin = spec
            .after
            .iter()
            .filter_map(|&at| ends.get(usize::from(at)));
        let begin = begin.max().copied().unwrap_or_default();
        let own = if step.remaining == 0 {
            Duration::ZERO
        } else {
            spec.estimate
        };
        ends.push(begin + own);
    }
    ends.into_iter().max().unwrap_or_default()
}
