use std::time::Duration;

use super::{FlowIndex, JobKey, JobRecord, JobRefusal, JobScheduler, JobSpec, SchedulerAction};
use crate::code::ResultCode;
use crate::placement::JobRequirements;
use crate::queue::{FlowRecord, JobLinks, NOT_LISTED, TimerEvent, decay_with_half_life};
use crate::time::TimePoint;

/// Shortest and longest retry delay sent to a rejected caller.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(30));

impl JobScheduler {
    /// Adds a job to its queue.
    ///
    /// # Errors
    ///
    /// Returns the final answer when the job cannot be queued.
    pub fn submit(&mut self, spec: JobSpec, now: TimePoint) -> Result<JobKey, JobRefusal> {
        self.retry.add_request();
        if self.is_shutting_down {
            return Err(JobRefusal::new(ResultCode::ShuttingDown));
        }
        if self.fleet.applied.is_none() {
            return Err(JobRefusal::new(ResultCode::NotReady));
        }
        let requirements = JobRequirements {
            cores: spec.cores,
            memory_mb: spec.memory_mb,
            idempotent: spec.idempotent,
        };
        let pool = self
            .fleet
            .pool_names
            .get(&spec.pool)
            .copied()
            .filter(|pool| self.fleet.pools[pool.at()].fits(requirements))
            .ok_or_else(|| JobRefusal::new(ResultCode::NeverFits))?;
        let team = self.fleet.team(&spec.team);
        let id = match &spec.key {
            Some(_) if !self.keyed_work_allowed => {
                return Err(JobRefusal::new(ResultCode::StaleState).with_retry_after(RETRY_AFTER.0));
            }
            Some(id) => {
                let index = self.fleet.keys.get(id).copied();
                let valid = index.filter(|index| self.fleet.is_key_valid(*index, team));
                Some(valid.ok_or_else(|| JobRefusal::new(ResultCode::WithdrawnKey))?)
            }
            None => None,
        };
        let flow = self.flow(pool, team);
        self.check_wait(flow, spec.deadline, now)?;
        let key = self.jobs.insert(JobRecord {
            flow,
            key: id,
            requirements,
            run: spec.run,
            urgent: spec.urgent,
            deadline: spec.deadline,
            submitted: now,
            queued: false,
            parked: false,
            abandoned: false,
            has_preempted: false,
            links: JobLinks::default(),
            tried: Vec::new(),
            failed_on: Vec::new(),
        });
        self.enqueue(key, false, now);
        self.timers.add(spec.deadline, TimerEvent::Deadline(key));
        if spec.urgent {
            let at = now.after(self.policy.urgent_start / 2);
            self.timers.add(at, TimerEvent::Urgent(key));
        }
        Ok(key)
    }

    /// Removes a queued job. A running job continues, but its result is discarded.
    pub fn cancel(&mut self, job: JobKey, now: TimePoint) {
        match self.jobs.get_mut(job) {
            Some(record) if record.queued => {
                self.dequeue(job, now);
                self.jobs.remove(job);
            }
            Some(record) => record.abandoned = true,
            None => {}
        }
    }

    /// Returns the flow of a team in a pool, which is created if it is new.
    pub(super) fn flow(&mut self, pool: super::PoolIndex, team: super::TeamIndex) -> FlowIndex {
        let flows = &mut self.fleet.pools[pool.at()].flows;
        if flows.len() <= team.at() {
            flows.resize(team.at() + 1, None);
        }
        if let Some(flow) = flows[team.at()] {
            return flow;
        }
        let flow = FlowIndex::with_position(self.flows.len());
        flows[team.at()] = Some(flow);
        let decay_s = decay_with_half_life(self.policy.share_half_life);
        self.flows.push(FlowRecord::new(pool, team, decay_s));
        self.fleet.teams[team.at()].flows.push(flow);
        flow
    }

    /// Adds a job to its queue, at the front if `front` is set, as for a retry.
    pub(super) fn enqueue(&mut self, key: JobKey, front: bool, now: TimePoint) {
        let job = &mut self.jobs[key];
        job.queued = true;
        let urgent = job.urgent;
        let index = job.flow;
        if self.park(key) {
            return;
        }
        let flow = &mut self.flows[index.at()];
        let list = if urgent {
            &mut flow.urgent
        } else {
            &mut flow.normal
        };
        if front {
            list.push_front(key, &mut self.jobs);
        } else {
            list.push_back(key, &mut self.jobs);
        }
        flow.queued += 1;
        if flow.queued == 1 {
            flow.service.start_backlog(now);
            self.list_flow(index, now);
        } else if flow.block == crate::queue::FlowBlock::Slots && (urgent || front) {
            self.unblock(index, now);
        }
    }

    /// Removes a job from its queue.
    pub(super) fn dequeue(&mut self, key: JobKey, now: TimePoint) {
        let job = &mut self.jobs[key];
        job.queued = false;
        if std::mem::take(&mut job.parked) {
            self.unpark(key);
            return;
        }
        let index = job.flow;
        let urgent = job.urgent;
        let flow = &mut self.flows[index.at()];
        let was_first = flow.first() == Some(key);
        let list = if urgent {
            &mut flow.urgent
        } else {
            &mut flow.normal
        };
        list.remove(key, &mut self.jobs);
        flow.queued -= 1;
        if flow.overdue == Some(key) {
            let half = self.policy.urgent_start / 2;
            flow.overdue = flow.urgent.first().filter(|first| {
                let waited = now.since(self.jobs[*first].submitted);
                waited >= half
            });
        }
        if flow.queued == 0 {
            self.unlist_flow(index, now);
        } else if was_first && flow.block == crate::queue::FlowBlock::Slots {
            self.unblock(index, now);
        }
    }

    /// Refuses all queued jobs that match `select`.
    pub(super) fn refuse_queued(
        &mut self,
        code: ResultCode,
        now: TimePoint,
        select: impl Fn(&JobRecord) -> bool,
    ) {
        let keys: Vec<JobKey> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.queued && select(job))
            .map(|(key, _)| key)
            .collect();
        for key in keys {
            self.refuse(key, JobRefusal::new(code), now);
        }
    }

    /// Removes a queued job and emits its refusal.
    pub(super) fn refuse(&mut self, job: JobKey, refusal: JobRefusal, now: TimePoint) {
        self.dequeue(job, now);
        self.jobs.remove(job);
        self.actions
            .push_back(SchedulerAction::Refuse { job, refusal });
    }

    fn check_wait(
        &self,
        index: FlowIndex,
        deadline: TimePoint,
        now: TimePoint,
    ) -> Result<(), JobRefusal> {
        let flow = &self.flows[index.at()];
        let team = &self.fleet.teams[flow.team.at()];
        if deadline <= now {
            return Err(JobRefusal::new(ResultCode::DeadlinePassed));
        }
        let bounded = |wait: Duration| wait.clamp(RETRY_AFTER.0, RETRY_AFTER.1);
        if team.limit == 0 {
            let refusal = JobRefusal::new(ResultCode::WaitTooLong);
            return Err(refusal.with_retry_after(RETRY_AFTER.1));
        }
        let ahead = flow.queued as usize;
        let is_full = ahead + flow.parked_jobs as usize >= self.policy.max_queued;
        if flow.position == NOT_LISTED && !is_full {
            return Ok(());
        }
        let left = deadline.since(now);
        let wait = self.estimate_wait(index, ahead + 1, now);
        if is_full {
            let refusal = JobRefusal::new(ResultCode::QueueFull);
            return Err(refusal.with_retry_after(bounded(wait / 2)));
        }
        if wait > left {
            let refusal = JobRefusal::new(ResultCode::WaitTooLong);
            return Err(refusal.with_retry_after(bounded(wait.saturating_sub(left))));
        }
        Ok(())
    }

    /// Estimates the wait of a job at position `ahead` of its queue, where the first job is at 1.
    /// Uses the observed service rate or, until it is known, the corrected run time and the team's
    /// share of the pool.
    fn estimate_wait(&self, index: FlowIndex, ahead: usize, now: TimePoint) -> Duration {
        let flow = &self.flows[index.at()];
        if let Some(wait) = flow.service.estimate(ahead, now) {
            return wait;
        }
        let Some(job) = flow.first().and_then(|key| self.jobs.get(key)) else {
            return Duration::ZERO;
        };
        let team = &self.fleet.teams[flow.team.at()];
        let slots = self
            .fair_share_slots(index)
            .clamp(1.0, f64::from(team.limit));
        #[expect(clippy::cast_precision_loss, reason = "queues are short")]
        let rounds = (ahead as f64 / slots).floor();
        let wait = team.correction.estimate_or_declared(job.run).as_secs_f64() * rounds;
        Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX)
    }

    /// Returns the team's fair share of the pool's slots among the teams that are backlogged now.
    fn fair_share_slots(&self, index: FlowIndex) -> f64 {
        let flow = &self.flows[index.at()];
        let pool = &self.fleet.pools[flow.pool.at()];
        let weight = self.fleet.teams[flow.team.at()].weight;
        let own = if flow.is_backlogged() { weight } else { 0.0 };
        let others = (pool.backlogged_weight - own).max(0.0);
        debug_assert!(
            (others - self.other_weights(index)).abs() < 1e-6,
            "the cached weight sum of the backlogged teams is wrong"
        );
        f64::from(pool.slots) * weight / (weight + others)
    }

    /// Returns the sum of the weights of the other teams with a backlog in the pool.
    fn other_weights(&self, index: FlowIndex) -> f64 {
        let flows = &self.fleet.pools[self.flows[index.at()].pool.at()].flows;
        let others = flows.iter().flatten().filter(|other| **other != index);
        others
            .map(|other| &self.flows[other.at()])
            .filter(|flow| flow.is_backlogged())
            .map(|flow| self.fleet.teams[flow.team.at()].weight)
            .sum()
    }
}
