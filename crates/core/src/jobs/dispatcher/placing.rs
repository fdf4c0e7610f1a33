//! Starts of waiting tasks.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use super::JobDispatcher;
use crate::ids::{PoolName, TeamName};
use crate::jobs::job_entry::JobEntry;
use crate::jobs::run_entry::RunEntry;
use crate::jobs::{
    JobId, ResourceAmount, SequenceKey, StartOrder, StepName, StepSpec, TaskName, WorkerKey,
    WorkerOffer, WorkerOrder, choose_worker,
};
use crate::time::TimePoint;

/// Tasks of a step that wait for room.
pub(super) struct WaitingStep {
    pub(super) key: SequenceKey,
    pub(super) name: StepName,
    pub(super) pool: PoolName,
    pub(super) indexes: Vec<u16>,
}

/// Tasks that may run where this owner cannot ask.
#[derive(Default)]
struct UnsettledTasks<'a> {
    /// Whether it may be any task: the earlier owner has published nothing of a silent worker.
    is_any: bool,
    listed: Vec<&'a HashSet<TaskName>>,
}

impl UnsettledTasks<'_> {
    fn contains(&self, task: TaskName) -> bool {
        self.is_any || self.listed.iter().any(|tasks| tasks.contains(&task))
    }
}

impl JobDispatcher {
    pub(super) fn place(&mut self, now: TimePoint) {
        let mut pools = self.usable_workers(now);
        let mut waiting = self.waiting_steps(now);
        waiting.sort_by_key(|step| (step.key, step.name));
        for step in waiting {
            let Some(workers) = pools.get_mut(&step.pool) else {
                continue;
            };
            let job = &self.jobs[&step.name.job];
            let spec = job.order.steps[usize::from(step.name.step)].clone();
            let team = job.order.team.clone();
            if spec.is_gang {
                self.place_gang(&step, &spec, team.as_ref(), workers, now);
                continue;
            }
            for &index in &step.indexes {
                let task = step.name.task(index);
                if !self.place_task(task, &spec, team.as_ref(), workers, now) {
                    let is_allowed = self.is_within_limit(team.as_ref(), spec.amount);
                    if spec.is_lasting && is_allowed {
                        self.reserve(step.name, &spec, workers);
                    }
                    break;
                }
            }
        }
    }

    /// Keeps the worker that is likely to have room first free of other tasks, so that a large task
    /// is not overtaken for ever by small ones.
    fn reserve(&self, step: StepName, spec: &StepSpec, workers: &mut Vec<WorkerKey>) {
        let suitable = workers.iter().copied().filter(|&key| {
            let entry = &self.workers[key];
            self.same_step(step, spec, key).is_some()
                && spec.worker_amount().fits(entry.report.capacity)
        });
        let freest = suitable.max_by_key(|&key| self.workers[key].room().cpu_millis);
        if let Some(freest) = freest {
            workers.retain(|&key| key != freest);
        }
    }

    pub(super) fn usable_workers(&self, now: TimePoint) -> HashMap<PoolName, Vec<WorkerKey>> {
        let mut pools: HashMap<PoolName, Vec<WorkerKey>> = HashMap::new();
        for (key, entry) in &self.workers {
            if entry.is_usable(now) {
                let pool = entry.report.pool.clone();
                pools.entry(pool).or_default().push(key);
            }
        }
        pools
    }

    /// Tasks that an earlier owner may have running in a pool without this one knowing.
    fn unsettled_tasks(&self, pool: &PoolName, now: TimePoint) -> UnsettledTasks<'_> {
        let mut unsettled = UnsettledTasks::default();
        if now >= self.inherited_until {
            return unsettled;
        }
        for entry in self.workers.values() {
            if entry.held.is_none() && entry.report.pool == *pool {
                match self.out_of_reach.get(&entry.report.name) {
                    Some(tasks) => unsettled.listed.push(tasks),
                    None => unsettled.is_any = true,
                }
            }
        }
        for (name, tasks) in &self.out_of_reach {
            if !self.names.contains_key(name) {
                unsettled.listed.push(tasks);
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
                if step.undone == 0 || !job.is_step_open(occurrence.number, number) {
                    continue;
                }
                let name = StepName {
                    job: job.id,
                    occurrence: occurrence.number,
                    step: number,
                };
                let tasks = step.tasks.iter().enumerate().filter(|(index, task)| {
                    let index = u16::try_from(*index).unwrap_or(u16::MAX);
                    let failures = u32::try_from(task.failed_runs.len()).unwrap_or(u32::MAX);
                    let is_safe = !job.is_inherited
                        || task.is_settled
                        || !unsettled.contains(name.task(index));
                    task.is_waiting(now) && failures < attempts && is_safe
                });
                let indexes: Vec<u16> = tasks
                    .map(|(index, _)| u16::try_from(index).unwrap_or(u16::MAX))
                    .collect();
                if indexes.is_empty() {
                    continue;
                }
                let mut key = self.sequence_key(job, occurrence.number, is_over_share, now);
                if job.order.steps[usize::from(number)].is_lasting {
                    key = key.with_lasting();
                }
                waiting.push(WaitingStep {
                    key,
                    name,
                    pool: pool.clone(),
                    indexes,
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
    ) -> SequenceKey {
        let rule = &self.rules.queues[&job.order.queue];
        let objective = job.chain.mul_f64(rule.stretch) + rule.slack;
        let age = self.arrivals.get(&job.id);
        let age = age.map_or(Duration::ZERO, |&arrived| now.since(arrived));
        let age = if job.order.schedule.is_some() {
            Duration::ZERO
        } else {
            age
        };
        let remaining = remaining_chain(job, occurrence);
        SequenceKey::new(is_over_share, rule.priority, age, remaining, objective)
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

    /// Whether the team may have `amount` more running.
    fn is_within_limit(&self, team: Option<&TeamName>, amount: ResourceAmount) -> bool {
        let Some(team) = team else {
            return true;
        };
        let Some(rule) = self.rules.teams.get(team) else {
            return false;
        };
        let used = self.usage.get(team).copied().unwrap_or_default();
        let within = |used: u64, more: u64, limit: u64| limit == 0 || used + more <= limit;
        let limit = rule.limit;
        used.is_zero()
            || (within(used.cpu_millis, amount.cpu_millis, limit.cpu_millis)
                && within(used.memory_mb, amount.memory_mb, limit.memory_mb)
                && within(used.accelerators, amount.accelerators, limit.accelerators))
    }

    fn place_task(
        &mut self,
        task: TaskName,
        spec: &StepSpec,
        team: Option<&TeamName>,
        workers: &[WorkerKey],
        now: TimePoint,
    ) -> bool {
        if !self.is_within_limit(team, spec.amount) {
            return false;
        }
        let Some(key) = self.choose(task.step, spec, workers, now) else {
            return false;
        };
        let last = self.task(task).map_or(0, |entry| entry.last_run);
        let run = last.max(self.first_run) + 1;
        self.start(task, run, key, now);
        true
    }

    fn choose(
        &self,
        step: StepName,
        spec: &StepSpec,
        workers: &[WorkerKey],
        now: TimePoint,
    ) -> Option<WorkerKey> {
        let needs_ticket = self.needs_ticket(step);
        let offers = workers.iter().filter_map(|&key| {
            let entry = &self.workers[key];
            let labels = &entry.report.labels;
            let same_step = self.same_step(step, spec, key)?;
            if needs_ticket {
                self.ticket(step, key, now)?;
            }
            let rack = spec.data_rack.as_ref();
            Some(WorkerOffer {
                key,
                room: entry.room(),
                capacity: entry.report.capacity,
                is_near: rack.is_some_and(|rack| labels.contains(rack)),
                same_step,
                is_on_trial: entry.health.is_on_trial(),
            })
        });
        choose_worker(spec.worker_amount(), spec.is_lasting, offers)
    }

    /// Tasks of the step on a worker; none if it may not run another one.
    fn same_step(&self, step: StepName, spec: &StepSpec, key: WorkerKey) -> Option<u16> {
        let entry = &self.workers[key];
        let required = spec.required_label.as_ref();
        if required.is_some_and(|label| !entry.report.labels.contains(label)) {
            return None;
        }
        let same_step = entry.runs.keys().filter(|(task, _)| task.step == step);
        let same_step = u16::try_from(same_step.count()).unwrap_or(u16::MAX);
        let is_full = spec.max_per_worker.is_some_and(|most| same_step >= most);
        (!is_full).then_some(same_step)
    }

    /// Starts all tasks of a gang or none, on one rack where that has room.
    fn place_gang(
        &mut self,
        step: &WaitingStep,
        spec: &StepSpec,
        team: Option<&TeamName>,
        workers: &[WorkerKey],
        now: TimePoint,
    ) {
        if step.indexes.len() < usize::from(spec.count) {
            return;
        }
        let last = step.indexes.iter().filter_map(|&index| {
            let task = self.task(step.name.task(index))?;
            Some(task.last_run)
        });
        let run = last.max().unwrap_or(0).max(self.first_run) + 1;
        let racks = if spec.prefers_one_rack {
            self.racks(workers)
        } else {
            Vec::new()
        };
        for rack in &racks {
            if self.try_gang(step, spec, team, rack, run, now) {
                return;
            }
        }
        self.try_gang(step, spec, team, workers, run, now);
    }

    fn racks(&self, workers: &[WorkerKey]) -> Vec<Vec<WorkerKey>> {
        let mut racks: HashMap<&str, Vec<WorkerKey>> = HashMap::new();
        for &key in workers {
            if let Some(rack) = self.workers[key].report.labels.last() {
                racks.entry(rack.as_str()).or_default().push(key);
            }
        }
        let mut racks: Vec<_> = racks.into_iter().collect();
        racks.sort_unstable();
        racks.into_iter().map(|(_, workers)| workers).collect()
    }

    fn try_gang(
        &mut self,
        step: &WaitingStep,
        spec: &StepSpec,
        team: Option<&TeamName>,
        workers: &[WorkerKey],
        run: u64,
        now: TimePoint,
    ) -> bool {
        let mut placed: Vec<TaskName> = Vec::new();
        let orders = self.orders.len();
        for &index in &step.indexes {
            let task = step.name.task(index);
            let key = self
                .is_within_limit(team, spec.amount)
                .then(|| self.choose(step.name, spec, workers, now))
                .flatten();
            let Some(key) = key else {
                self.orders.truncate(orders);
                for task in placed {
                    self.take_back(task, run);
                }
                return false;
            };
            self.start(task, run, key, now);
            placed.push(task);
        }
        true
    }

    /// Undoes a start whose order has not been sent.
    fn take_back(&mut self, name: TaskName, run: u64) {
        let runs = self.task(name).map(|task| task.runs.clone());
        for entry in runs.unwrap_or_default() {
            self.release(name, run, entry.worker);
        }
        if let Some(task) = self.task_mut(name) {
            task.last_run = run - 1;
        }
    }

    fn start(&mut self, name: TaskName, run: u64, key: WorkerKey, now: TimePoint) {
        let Some(task) = self.task_mut(name) else {
            return;
        };
        task.last_run = run;
        task.is_settled = true;
        task.runs.push(RunEntry::new(key, run, now));
        let saved = task.saved.clone();
        self.occupy(name, run, key);
        let spec = self.jobs[&name.step.job].order.spec.clone();
        let order = StartOrder {
            task: name,
            run,
            spec,
            saved,
            ticket: self.ticket(name.step, key, now),
        };
        self.orders.push(WorkerOrder::Start(key, order));
        self.note_begun(name.step.job);
    }

    fn note_begun(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id)
            && job.phase == crate::jobs::JobPhase::Queued
        {
            job.phase = crate::jobs::JobPhase::Running;
            self.dirty.insert(id);
        }
    }
}

/// Declared run time of the longest chain of steps that are not done.
fn remaining_chain(job: &JobEntry, occurrence: u32) -> Duration {
    let Some(entry) = job.occurrence(occurrence) else {
        return job.chain;
    };
    let mut ends: Vec<Duration> = Vec::with_capacity(entry.steps.len());
    for (step, spec) in entry.steps.iter().zip(&job.order.steps) {
        let begin = spec
            .after
            .iter()
            .filter_map(|&at| ends.get(usize::from(at)));
        let begin = begin.max().copied().unwrap_or_default();
        let own = if step.undone == 0 {
            Duration::ZERO
        } else {
            spec.estimate
        };
        ends.push(begin + own);
    }
    ends.into_iter().max().unwrap_or_default()
}
