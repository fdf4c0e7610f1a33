//! Placement of waiting tasks on workers.

use std::collections::HashMap;
use std::sync::Arc;

use super::JobDispatcher;
use super::waiting_steps::WaitingStep;
use super::worker_index::WorkerIndex;
use crate::ids::{PoolName, TeamName};
use crate::jobs::run_entry::RunEntry;
use crate::jobs::{
    ResourceAmount, StartOrder, StepName, StepSpec, TaskName, WorkerKey, WorkerOrder, choose_worker,
};
use crate::time::TimePoint;

impl JobDispatcher {
    pub(super) fn place_waiting(&mut self, now: TimePoint) {
        self.reservations.start_round();
        self.drop_stale_plans();
        self.hold_planned_workers(now);
        let mut pools = self.usable_workers(now);
        let isolated = self.isolated_workers();
        for workers in pools.values_mut() {
            workers.retain(|key| !isolated.contains(key) && self.is_capacity_current(*key, now));
        }
        let mut waiting = self.waiting_steps(now);
        waiting.sort_by_key(|step| (step.key, step.name));
        self.set_suspect_limits(&waiting, &pools);
        let pools = pools.into_iter();
        let mut pools: HashMap<PoolName, WorkerIndex> = pools
            .map(|(pool, workers)| (pool, WorkerIndex::new(workers)))
            .collect();
        for step in waiting {
            let Some(workers) = pools.get_mut(&step.pool) else {
                continue;
            };
            let order = Arc::clone(&step.order);
            let spec = &order.steps[usize::from(step.name.step)];
            let team = order.team.as_ref();
            if step.is_suspect {
                let first = self.orders.len();
                let open = self.open_workers(spec, &step.pool, workers.keys(), now);
                let is_any_alone = self.place_suspects(&step, spec, team, &open, now);
                self.update_index(workers, first, now);
                if is_any_alone {
                    let isolated = self.isolated_workers();
                    workers.retain(|key| !isolated.contains(&key));
                }
                continue;
            }
            if spec.is_gang {
                if !workers.is_full(spec.worker_amount(), &self.workers) {
                    let first = self.orders.len();
                    let open = self.open_workers(spec, &step.pool, workers.keys(), now);
                    self.place_gang(&step, spec, team, &open, now);
                    self.update_index(workers, first, now);
                }
                continue;
            }
            if !spec.is_lasting && workers.is_full(spec.worker_amount(), &self.workers) {
                continue;
            }
            for &index in &step.indexes {
                let task = step.name.task(index);
                let is_placed = self.place_indexed(task, &step, (spec, team), workers, now);
                if step.is_copy || is_placed {
                    continue;
                }
                if spec.is_lasting {
                    self.reserve_worker(task, spec, team, workers.keys(), now);
                }
                break;
            }
        }
    }

    /// Starts a task on the best open worker of its pool, or lets it wait for its preferred rack.
    /// Returns false if no worker is open to it or its team is at its limit. A copy starts on a worker
    /// without a run of the task.
    fn place_indexed(
        &mut self,
        task: TaskName,
        step: &WaitingStep,
        (spec, team): (&StepSpec, Option<&TeamName>),
        workers: &mut WorkerIndex,
        now: TimePoint,
    ) -> bool {
        if !self.is_within_limit(team, spec.amount) {
            return false;
        }
        let runs = self.task(task).map_or(&[][..], |task| &task.runs);
        let end = self.expected_end(spec, &step.pool, now);
        let chosen = {
            let is_allowed = self.allowed_workers(step.name, spec, now);
            workers.select(spec, &self.workers, now, |key| {
                self.is_open(key, end)
                    && !(step.is_copy && runs.iter().any(|run| run.worker == key))
                    && is_allowed(key)
            })
        };
        let Some((position, key)) = chosen else {
            return false;
        };
        if self.waits_for_rack(task, spec, key, workers.keys(), now) {
            return true;
        }
        self.start_next_run(task, key, now);
        workers.update(position, &self.workers, now);
        true
    }

    /// Sorts the workers in again that the orders from `first` on start tasks on.
    fn update_index(&self, workers: &mut WorkerIndex, first: usize, now: TimePoint) {
        for order in &self.orders[first..] {
            if let WorkerOrder::Start(key, _) = order {
                workers.update_key(*key, &self.workers, now);
            }
        }
    }

    /// Returns the workers that have no run of the task.
    pub(super) fn other_workers(&self, task: TaskName, workers: &[WorkerKey]) -> Vec<WorkerKey> {
        let runs = self.task(task).map_or(&[][..], |task| &task.runs);
        let others = workers.iter().copied();
        others
            .filter(|key| runs.iter().all(|run| run.worker != *key))
            .collect()
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

    /// Whether a team can run `amount` more within its limit. A team without runs is always within
    /// it.
    pub(super) fn is_within_limit(&self, team: Option<&TeamName>, amount: ResourceAmount) -> bool {
        self.is_within_limit_beside(team, ResourceAmount::default(), amount)
    }

    /// Whether a team can run `amount` more within its limit once it runs `reserved` more.
    pub(super) fn is_within_limit_beside(
        &self,
        team: Option<&TeamName>,
        reserved: ResourceAmount,
        amount: ResourceAmount,
    ) -> bool {
        let Some(team) = team else {
            return true;
        };
        let Some(rule) = self.rules.teams.get(team) else {
            return false;
        };
        let mut used = self.team_usage.get(team).copied().unwrap_or_default();
        used += reserved;
        used += self.unread_use(team);
        used += self.inherited_use.get(team).copied().unwrap_or_default();
        let within = |used: u64, more: u64, limit: u64| limit == 0 || used + more <= limit;
        let limit = rule.limit;
        used.is_zero()
            || (within(used.cpu_millis, amount.cpu_millis, limit.cpu_millis)
                && within(used.memory_mb, amount.memory_mb, limit.memory_mb)
                && within(used.accelerators, amount.accelerators, limit.accelerators))
    }

    /// Starts a task on one of `workers`. Returns false if there is no room for it or its team is at
    /// its limit.
    pub(super) fn place_task(
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
        let Some(key) = self.select_worker(task.step, spec, workers, now) else {
            return false;
        };
        self.start_next_run(task, key, now);
        true
    }

    fn start_next_run(&mut self, task: TaskName, key: WorkerKey, now: TimePoint) {
        let last = self.task(task).map_or(0, |entry| entry.last_run);
        let run = last.max(self.run_number_base) + 1;
        self.start_run(task, run, key, now);
    }

    pub(super) fn select_worker(
        &self,
        step: StepName,
        spec: &StepSpec,
        workers: &[WorkerKey],
        now: TimePoint,
    ) -> Option<WorkerKey> {
        let is_allowed = self.allowed_workers(step, spec, now);
        let allowed = workers.iter().copied().filter(|&key| is_allowed(key));
        let offers = allowed.map(|key| {
            let entry = &self.workers[key];
            let rack = spec.data_rack.as_ref();
            let is_near = rack.is_some_and(|rack| entry.report.labels.contains(rack));
            entry.offer(key, is_near, now)
        });
        choose_worker(spec.worker_amount(), spec.is_lasting, offers)
    }

    /// Returns a filter for the workers on which tasks of a step may start if there is room: those
    /// that are suitable, and for which there is a ticket if the step needs one.
    pub(super) fn allowed_workers<'a>(
        &'a self,
        step: StepName,
        spec: &'a StepSpec,
        now: TimePoint,
    ) -> impl Fn(WorkerKey) -> bool + 'a {
        let needs_ticket = self.needs_ticket(step);
        move |key| {
            self.is_suitable(step, spec, key)
                && (!needs_ticket || self.ticket(step, key, now).is_some())
        }
    }

    /// Whether a worker has the label that the step requires and runs fewer of its tasks than
    /// allowed on one worker.
    pub(super) fn is_suitable(&self, step: StepName, spec: &StepSpec, key: WorkerKey) -> bool {
        let entry = &self.workers[key];
        let required = spec.required_label.as_ref();
        if required.is_some_and(|label| !entry.has_label(label)) {
            return false;
        }
        spec.max_per_worker.is_none_or(|max| {
            let same_step = entry.runs.keys().filter(|(task, _)| task.step == step);
            same_step.count() < usize::from(max)
        })
    }

    pub(super) fn start_run(&mut self, name: TaskName, run: u64, key: WorkerKey, now: TimePoint) {
        let link = self.workers[key].link;
        let Some(task) = self.task_mut(name) else {
            return;
        };
        task.last_run = run;
        task.is_settled = true;
        task.runs.push(RunEntry::new(key, run, link, now));
        self.allocate(name, run, key);
        let saved = self.task(self.progress_task(name));
        let saved = saved.map(|task| task.saved.clone()).unwrap_or_default();
        let spec = self.jobs[&name.step.job].order.spec.clone();
        let order = StartOrder {
            task: name,
            run,
            spec,
            saved,
            ticket: self.ticket(name.step, key, now),
        };
        self.orders.push(WorkerOrder::Start(key, order));
        if self.suspects.contains_key(&name) {
            self.dirty.insert(name.step.job, false);
        }
    }
}
