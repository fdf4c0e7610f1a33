//! Tasks and gangs that wait for room on a preferred rack. See `docs/design/placement-wait.md`.
//!
//! A wait keeps no worker and no share of a team. It is decided again in each round in which the
//! task could start elsewhere, and ends with the start of the task.

use std::collections::HashMap;
use std::time::Duration;

use compact_str::CompactString;

use super::JobDispatcher;
use super::rack_outlooks::PoolOutlook;
use super::waiting_steps::WaitingStep;
use crate::ids::{PoolName, TeamName};
use crate::jobs::placement_wait::{PlacementWait, WaitOutcome, WaitOutlook};
use crate::jobs::{StepName, StepSpec, TaskName, WorkerKey};
use crate::time::TimePoint;

/// Wait of a task that has not started.
#[derive(Debug, Clone)]
struct OpenWait {
    rack: CompactString,
    /// Number of the task's last run when the wait began. A later run may wait anew.
    last_run: u64,
    began: TimePoint,
    /// When the task starts elsewhere at the latest.
    until: TimePoint,
}

/// Waits for preferred racks. Not stored: a new owner starts without them.
#[derive(Debug, Default)]
pub(super) struct PlacementWaits {
    open: HashMap<TaskName, OpenWait>,
    /// Planning round to which `pools` belongs.
    pub(super) round: Option<TimePoint>,
    pub(super) pools: HashMap<PoolName, PoolOutlook>,
    /// Waits that began or ended since they were last taken.
    outcomes: Vec<PlacementWait>,
}

impl PlacementWaits {
    fn record(&mut self, task: TaskName, outcome: WaitOutcome) {
        self.outcomes.push(PlacementWait { task, outcome });
    }
}

impl JobDispatcher {
    /// Takes the waits for preferred racks that began or ended since the last call.
    pub fn take_placement_waits(&mut self, now: TimePoint) -> Vec<PlacementWait> {
        self.settle_waits(now);
        std::mem::take(&mut self.placement_waits.outcomes)
    }

    /// Whether a task that could start on `key` now waits for its preferred rack instead.
    pub(super) fn waits_for_rack(
        &mut self,
        task: TaskName,
        spec: &StepSpec,
        key: WorkerKey,
        workers: &[WorkerKey],
        now: TimePoint,
    ) -> bool {
        let Some(rack) = spec.data_rack.as_ref() else {
            return false;
        };
        if spec.is_gang
            || self.workers[key].report.labels.contains(rack)
            || !self.may_wait(task, spec)
        {
            return false;
        }
        let pool = self.workers[key].report.pool.clone();
        self.prepare_outlook(&pool, workers, now);
        let near_time = self.estimated_time(spec, &pool);
        let mut outlooks = std::mem::take(&mut self.placement_waits.pools);
        let outlook = outlooks.entry(pool).or_default();
        let is_waiting = self.decide_wait(task, spec, rack, (outlook, near_time), now);
        self.placement_waits.pools = outlooks;
        is_waiting
    }

    /// Whether a gang that fits on no single rack waits for one. Does not apply if the gang cannot
    /// start on `workers` either.
    pub(super) fn gang_waits(
        &mut self,
        step: &WaitingStep,
        spec: &StepSpec,
        team: Option<&TeamName>,
        workers: &[WorkerKey],
        now: TimePoint,
    ) -> bool {
        let task = step.name.task(0);
        if !spec.prefers_one_rack
            || !self.may_wait(task, spec)
            || !self.fits_gang(step.name, spec, team, workers, now)
        {
            return false;
        }
        self.prepare_outlook(&step.pool, workers, now);
        let near_time = self.estimated_time(spec, &step.pool);
        let mut outlooks = std::mem::take(&mut self.placement_waits.pools);
        let outlook = outlooks.entry(step.pool.clone()).or_default();
        let known = self.placement_waits.open.get(&task);
        let rack = known.map(|wait| wait.rack.clone());
        let rack = rack.or_else(|| self.first_rack(step.name, spec, workers, outlook, now));
        let is_waiting =
            rack.is_some_and(|rack| self.decide_wait(task, spec, &rack, (outlook, near_time), now));
        self.placement_waits.pools = outlooks;
        is_waiting
    }

    /// Whether the rules allow a wait at all. Suspects, copies and long-running tasks never wait,
    /// nor do tasks with saved progress, whose remaining run time is not known. Tasks of inherited
    /// jobs may have waited under the previous owner, and wait only after this one has started them.
    fn may_wait(&self, name: TaskName, spec: &StepSpec) -> bool {
        let factor = self.policy.spread_factor;
        if !(factor > 1.0 && factor.is_finite()) || spec.is_lasting {
            return false;
        }
        let (Some(job), Some(task)) = (self.jobs.get(&name.step.job), self.task(name)) else {
            return false;
        };
        let last = if spec.is_gang {
            spec.count.saturating_sub(1)
        } else {
            name.index
        };
        let mut members = name.index..=last;
        task.runs.is_empty()
            && (!job.is_inherited || task.is_settled)
            && task.saved.is_empty()
            && !members.any(|index| self.suspects.contains_key(&name.step.task(index)))
    }

    /// Begins or continues the wait of a task or gang for a rack, or returns false if it does not pay.
    fn decide_wait(
        &mut self,
        task: TaskName,
        spec: &StepSpec,
        rack: &CompactString,
        (outlook, near_time): (&mut PoolOutlook, Duration),
        now: TimePoint,
    ) -> bool {
        let last_run = self.task(task).map_or(0, |entry| entry.last_run);
        let known = self.placement_waits.open.get(&task);
        let known = known.filter(|wait| wait.last_run == last_run);
        let known_end = known.map(|wait| wait.until);
        if known_end.is_some_and(|until| until <= now) {
            return false;
        }
        self.prepare_rack(outlook, rack, now);
        let occupancy = outlook.occupancy;
        let Some(entry) = outlook.racks.get_mut(rack) else {
            return false;
        };
        let Some(place) = self.find_place(entry, task.step, spec, now) else {
            return false;
        };
        let expected = place.start();
        let weighed = WaitOutlook {
            expected,
            near_time,
            spread_factor: self.policy.spread_factor,
            occupancy,
        };
        let limit = known_end.map_or_else(
            || weighed.limit(self.slack_ms(task.step, now)),
            |until| until.since(now),
        );
        if !weighed.pays_off(limit) {
            return false;
        }
        entry.book(place, spec.worker_amount(), near_time);
        if known_end.is_none() {
            let wait = OpenWait {
                rack: rack.clone(),
                last_run,
                began: now,
                until: now.after(limit),
            };
            self.placement_waits.open.insert(task, wait);
            let outcome = WaitOutcome::Begun { expected, limit };
            self.placement_waits.record(task, outcome);
        }
        true
    }

    /// Objective of a job less its expected end if it goes on now, in milliseconds.
    fn slack_ms(&self, step: StepName, now: TimePoint) -> i64 {
        let key = self.jobs.get(&step.job).and_then(|job| {
            let rule = self.rules.queues.get(&job.order.queue)?;
            let occurrence = job.occurrence(step.occurrence)?;
            Some(self.natural_key(job, rule, occurrence, false, now))
        });
        key.map_or(0, |key| key.slack_ms)
    }

    /// Ends the waits of tasks that have started or no longer wait for a start.
    fn settle_waits(&mut self, now: TimePoint) {
        let mut open = std::mem::take(&mut self.placement_waits.open);
        open.retain(|&name, wait| {
            let outcome = self.wait_outcome(name, wait, now);
            if let Some(outcome) = outcome {
                self.placement_waits.record(name, outcome);
            }
            outcome.is_none()
        });
        self.placement_waits.open = open;
    }

    /// Returns how a wait ended, or `None` if the task still has no start.
    fn wait_outcome(&self, name: TaskName, wait: &OpenWait, now: TimePoint) -> Option<WaitOutcome> {
        let is_open = self
            .jobs
            .get(&name.step.job)
            .is_some_and(|job| !job.phase.is_final());
        let Some(task) = self.task(name).filter(|_| is_open) else {
            return Some(WaitOutcome::Dropped);
        };
        if let Some(run) = task.runs.first() {
            let waited = now.since(wait.began);
            let is_near = self.is_near(name, run.worker, &wait.rack);
            return Some(if is_near {
                WaitOutcome::PaidOff { waited }
            } else {
                WaitOutcome::GivenUp { waited }
            });
        }
        (task.is_done || task.last_run != wait.last_run).then_some(WaitOutcome::Dropped)
    }

    /// Whether a task runs on its preferred rack, or with all of its gang on the rack of `key`.
    fn is_near(&self, name: TaskName, key: WorkerKey, rack: &CompactString) -> bool {
        let spec = self.step_spec(name);
        let Some(spec) = spec.filter(|spec| spec.is_gang) else {
            return self.workers[key].report.labels.contains(rack);
        };
        let common = self.rack_of(key);
        (0..spec.count).all(|index| {
            let task = self.task(name.step.task(index));
            let mut runs = task.into_iter().flat_map(|task| &task.runs);
            runs.all(|run| self.rack_of(run.worker) == common)
        })
    }
}
