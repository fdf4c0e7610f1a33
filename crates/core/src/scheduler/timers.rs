use std::time::Duration;

use super::{JobRefusal, JobScheduler, SchedulerAction};
use crate::code::ResultCode;
use crate::queue::TimerEvent;
use crate::time::TimePoint;

/// Interval between revisions of the order of backlogged teams.
const REVISION_INTERVAL: Duration = Duration::from_millis(200);

/// Idle period of borrowed units; units idle for two whole periods are returned.
const IDLE_PERIOD: Duration = Duration::from_secs(1);

impl JobScheduler {
    /// Handles the timers that have expired.
    pub(super) fn run_timers(&mut self, now: TimePoint) {
        while let Some(event) = self.timers.pop(now) {
            match event {
                TimerEvent::Deadline(key) => {
                    if self.jobs.get(key).is_some_and(|job| job.queued) {
                        self.refuse(key, JobRefusal::new(ResultCode::DeadlinePassed), now);
                    }
                }
                TimerEvent::Urgent(key) => self.promote_urgent(key, now),
                TimerEvent::Lease(attempt) => self.release(attempt, now),
                TimerEvent::Trial(worker) => self.expire_leaving(worker, now),
                TimerEvent::Idle => {
                    self.has_idle_timer = false;
                    self.return_idle(now);
                }
                TimerEvent::Revise => {
                    self.has_revision_timer = false;
                    self.refresh_remote_usage(now);
                    self.revise(now);
                    self.request_extra_exchange(now);
                    if !self.requested_exchanges.is_empty()
                        || self.fleet.pools.iter().any(|pool| !pool.backlog.is_empty())
                    {
                        self.start_revision_timer(now);
                    }
                }
            }
        }
        let live = self.jobs.len() + self.attempts.len();
        if self.timers.is_sparse(live) {
            let (jobs, attempts) = (&self.jobs, &self.attempts);
            self.timers.compact(|event| match event {
                TimerEvent::Deadline(key) | TimerEvent::Urgent(key) => {
                    jobs.get(key).is_some_and(|job| job.queued)
                }
                TimerEvent::Lease(attempt) => attempts
                    .get(attempt)
                    .is_some_and(|attempt| attempt.holds_units),
                _ => true,
            });
        }
    }

    /// Starts the revision timer unless it is running.
    pub(super) fn start_revision_timer(&mut self, now: TimePoint) {
        if !self.has_revision_timer {
            self.has_revision_timer = true;
            self.timers
                .add(now.after(REVISION_INTERVAL), TimerEvent::Revise);
        }
    }

    /// Starts the timer that returns idle borrowed units, unless it is running.
    pub(super) fn start_idle_timer(&mut self, now: TimePoint) {
        if !self.has_idle_timer {
            self.has_idle_timer = true;
            self.timers.add(now.after(IDLE_PERIOD), TimerEvent::Idle);
        }
    }

    /// Emits one requested extra exchange if the minimum interval since the last one has passed.
    pub(super) fn flush_exchanges(&mut self, now: TimePoint) {
        if self.requested_exchanges.is_empty() {
            return;
        }
        if now < self.exchange_at {
            self.start_revision_timer(now);
            return;
        }
        let view = &self.fleet.view;
        let heard = self.heard.records(Duration::from_secs(5), now);
        let reachable =
            |peer| view.contains(peer) || heard.iter().any(|record| record.session == peer);
        while let Some(peer) = self.requested_exchanges.pop_first() {
            if reachable(peer) {
                self.exchange_at = now.after(self.policy.min_exchange_interval);
                self.actions.push_back(SchedulerAction::Exchange { peer });
                break;
            }
        }
        if !self.requested_exchanges.is_empty() {
            self.start_revision_timer(now);
        }
    }
}
