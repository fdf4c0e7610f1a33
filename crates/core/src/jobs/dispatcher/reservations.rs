//! Workers that are kept free for a waiting task, so that a stream of small tasks does not starve a
//! large one.
//!
//! A worker is reserved only if it has room for the task once its batch tasks have ended. Until the
//! expected end of these, tasks that end earlier still start there. The reservation lapses some
//! time after that; a new one then leaves the worker open for a while first.

use std::borrow::Cow;
use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use super::JobDispatcher;
use super::speculative_copies::projected_time;
use crate::ids::{PoolName, TeamName};
use crate::jobs::run_entry::RunEntry;
use crate::jobs::{ReservedWorker, ResourceAmount, StepName, StepSpec, TaskName, WorkerKey};
use crate::time::TimePoint;

/// Time for which no other task starts on a reserved worker after it was expected to have room.
/// Covers tasks that run longer than estimated, and is shorter than the 3 s for which a job may wait
/// beside free capacity.
const GRACE_PERIOD: Duration = Duration::from_secs(2);

/// Reservation of a worker for a task.
#[derive(Debug, Clone, Copy)]
struct Reservation {
    task: TaskName,
    /// When the worker is expected to have room for the task.
    free_at: TimePoint,
}

impl Reservation {
    fn has_lapsed(&self, now: TimePoint) -> bool {
        now > self.free_at.after(GRACE_PERIOD)
    }
}

/// Reservations of a planning round and of the round before.
#[derive(Debug, Default)]
pub(super) struct ReservationTable {
    current: HashMap<WorkerKey, Reservation>,
    previous: HashMap<WorkerKey, Reservation>,
    /// Reservations that were made since they were last taken.
    made: Vec<ReservedWorker>,
}

impl ReservationTable {
    /// Starts a round. Reservations that are not requested again in this round end.
    pub(super) fn start_round(&mut self) {
        self.previous = std::mem::take(&mut self.current);
    }

    pub(super) fn contains(&self, key: WorkerKey) -> bool {
        self.current.contains_key(&key)
    }

    /// Whether a task that ends at `end`, if it ends, may start on a worker.
    fn is_open(&self, key: WorkerKey, end: Option<TimePoint>) -> bool {
        let reservation = self.current.get(&key);
        reservation.is_none_or(|entry| end.is_some_and(|end| end <= entry.free_at))
    }
}

impl JobDispatcher {
    /// Takes the reservations that were made since the last call.
    pub fn take_reservations(&mut self) -> Vec<ReservedWorker> {
        std::mem::take(&mut self.reservations.made)
    }

    /// Returns the workers on which tasks of a step may start in spite of reservations.
    pub(super) fn open_workers<'a>(
        &self,
        spec: &StepSpec,
        pool: &PoolName,
        workers: &'a [WorkerKey],
        now: TimePoint,
    ) -> Cow<'a, [WorkerKey]> {
        if self.reservations.current.is_empty() {
            return Cow::Borrowed(workers);
        }
        let end = self.expected_end(spec, pool, now);
        let open = workers.iter().copied();
        open.filter(|key| self.reservations.is_open(*key, end))
            .collect()
    }

    /// Whether a task that ends at `end`, if it ends, may start on a worker in spite of reservations.
    pub(super) fn is_open(&self, key: WorkerKey, end: Option<TimePoint>) -> bool {
        self.reservations.is_open(key, end)
    }

    /// When a task that starts now is expected to end; none for a long-running task.
    pub(super) fn expected_end(
        &self,
        spec: &StepSpec,
        pool: &PoolName,
        now: TimePoint,
    ) -> Option<TimePoint> {
        (!spec.is_lasting).then(|| now.after(self.estimated_time(spec, pool)))
    }

    /// Reserves the worker that is expected to have room for a task first, or keeps the reservation
    /// of the round before. Does nothing if the limit of the team rules the task out.
    pub(super) fn reserve_worker(
        &mut self,
        task: TaskName,
        spec: &StepSpec,
        team: Option<&TeamName>,
        workers: &[WorkerKey],
        now: TimePoint,
    ) {
        if !self.is_within_limit_beside(team, self.reserved_use(team), spec.amount) {
            return;
        }
        let mut previous = self.reservations.previous.iter();
        let previous = previous.find(|(_, entry)| entry.task == task);
        let previous = previous.map(|(key, entry)| (*key, *entry));
        let kept = previous.filter(|(key, entry)| {
            !entry.has_lapsed(now)
                && workers.contains(key)
                && self.may_reserve(*key, task.step, spec)
        });
        if let Some((key, entry)) = kept {
            self.reservations.current.insert(key, entry);
            return;
        }
        let candidates = workers.iter().copied();
        let candidates = candidates.filter(|&key| self.may_reserve(key, task.step, spec));
        let timed = candidates.map(|key| (self.wait_time(key, spec.worker_amount(), now), key));
        let first = timed.min_by_key(|&(wait, key)| {
            let cpu = self.workers[key].room().cpu_millis;
            (wait, Reverse(cpu))
        });
        let Some((wait, key)) = first else {
            return;
        };
        // Tasks that waited while the last reservation kept their worker free go first.
        let has_lapsed = previous.is_some_and(|(_, entry)| entry.has_lapsed(now));
        let wait = if has_lapsed {
            wait.max(GRACE_PERIOD)
        } else {
            wait
        };
        let free_at = now.after(wait);
        let entry = Reservation { task, free_at };
        self.reservations.current.insert(key, entry);
        self.reservations.made.push(ReservedWorker {
            task,
            worker: self.workers[key].report.name.clone(),
            wait,
            has_lapsed,
        });
    }

    /// Keeps the room for lasting tasks that are about to start on a worker, while that is being stored.
    pub(super) fn hold_planned_workers(&mut self, now: TimePoint) {
        for (task, key) in self.planned_lasting_tasks() {
            self.hold_worker(task, key, now);
        }
    }

    /// Keeps the room of a worker for a task that is about to start there.
    pub(super) fn hold_worker(&mut self, task: TaskName, key: WorkerKey, now: TimePoint) {
        let previous = self.reservations.previous.get(&key);
        let previous = previous.copied().filter(|entry| entry.task == task);
        let entry = previous.unwrap_or(Reservation { task, free_at: now });
        if !entry.has_lapsed(now) {
            self.reservations.current.insert(key, entry);
        }
    }

    /// Whether a task of the step could start on a worker once its batch tasks have ended.
    fn may_reserve(&self, key: WorkerKey, step: StepName, spec: &StepSpec) -> bool {
        let mut needed = self.lasting_use(key);
        needed += spec.worker_amount();
        !self.reservations.contains(key)
            && !self.is_denied(step, key)
            && self.is_suitable(step, spec, key)
            && needed.fits(self.workers[key].report.capacity)
    }

    /// Resources that the tasks of a team will use for which workers are reserved.
    fn reserved_use(&self, team: Option<&TeamName>) -> ResourceAmount {
        let mut used = ResourceAmount::default();
        for entry in self.reservations.current.values() {
            let job = self.jobs.get(&entry.task.step.job);
            let is_of_team = job.is_some_and(|job| job.order.team.as_ref() == team);
            if let Some(spec) = self.step_spec(entry.task).filter(|_| is_of_team) {
                used += spec.amount;
            }
        }
        used
    }

    /// Resources of a worker that are used by tasks which do not end on their own.
    fn lasting_use(&self, key: WorkerKey) -> ResourceAmount {
        let mut used = ResourceAmount::default();
        for &(task, run) in self.workers[key].runs.keys() {
            if let Some(spec) = self.step_spec(task)
                && self
                    .run(task, run, key)
                    .is_some_and(|run| is_lasting(run, spec))
            {
                used += spec.worker_amount();
            }
        }
        used
    }

    /// Time until a worker is expected to have room for `amount`, provided that its batch tasks
    /// leave enough.
    fn wait_time(&self, key: WorkerKey, amount: ResourceAmount, now: TimePoint) -> Duration {
        let entry = &self.workers[key];
        let mut needed = entry.used;
        needed += amount;
        let mut wait = Duration::ZERO;
        for (time, freed) in self.expected_releases(key, now) {
            if needed.fits(entry.report.capacity) {
                break;
            }
            needed -= freed;
            wait = time;
        }
        wait
    }

    /// Returns the expected times until the batch tasks of a worker end, in ascending order, and the
    /// resources that they free.
    pub(super) fn expected_releases(
        &self,
        key: WorkerKey,
        now: TimePoint,
    ) -> Vec<(Duration, ResourceAmount)> {
        let entry = &self.workers[key];
        let runs = entry.runs.keys().filter_map(|&(task, number)| {
            let spec = self.step_spec(task)?;
            let run = self.run(task, number, key)?;
            let time = self.remaining_time(run, spec, &entry.report.pool, now);
            (!is_lasting(run, spec)).then(|| (time, spec.worker_amount()))
        });
        let mut runs: Vec<(Duration, ResourceAmount)> = runs.collect();
        runs.sort_unstable_by_key(|(time, _)| *time);
        runs
    }

    /// Expected time until a run of a batch task ends. One that has no progress and has run for
    /// longer than expected may take as long again.
    fn remaining_time(
        &self,
        run: &RunEntry,
        spec: &StepSpec,
        pool: &PoolName,
        now: TimePoint,
    ) -> Duration {
        if run.is_stopping() {
            return Duration::ZERO;
        }
        let age = now.since(run.since);
        if let Some(total) = projected_time(run) {
            return total.saturating_sub(age);
        }
        let expected = self.estimated_time(spec, pool);
        if age < expected {
            expected.saturating_sub(age)
        } else {
            age
        }
    }
}

/// Whether a run goes on until its job is cancelled.
fn is_lasting(run: &RunEntry, spec: &StepSpec) -> bool {
    spec.is_lasting && !run.is_stopping()
}
