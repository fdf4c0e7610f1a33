use std::time::Duration;

use super::{JobRefusal, JobScheduler, SchedulerAction};
use crate::code::ResultCode;
use crate::queue::TimerEvent;
use crate::time::TimePoint;

/// Time between two revisions of the order of backlogged teams.
const REVISE_EVERY: Duration = Duration::from_millis(200);

/// Idle period of borrowed units; units idle for two whole periods are returned.
const IDLE_PERIOD: Duration = Duration::from_secs(1);

impl JobScheduler {
    /// Handles the timers that have passed.
    pub(super) fn run_timers(&mut self, now: TimePoint) {
        while let Some(event) = self.timers.pop(now) {
            match event {
                TimerEvent::Deadline(key) => {
                    if self.jobs.get(key).is_some_and(|job| job.queued) {
                        self.refuse(key, JobRefusal::new(ResultCode::DeadlinePassed), now);
                    }
                }
                TimerEvent::Urgent(key) => self.raise_urgent(key, now),
                TimerEvent::Lease(attempt) => self.release(attempt, now),
                TimerEvent::Trial(worker) => self.expire_leaving(worker, now),
                TimerEvent::Idle => {
                    self.idling = false;
                    self.return_idle(now);
                }
                TimerEvent::Revise => {
                    self.revising = false;
                    self.renew_usage(now);
                    self.revise(now);
                    self.ask_peers(now);
                    if !self.wanted.is_empty()
                        || self.fleet.pools.iter().any(|pool| !pool.backlog.is_empty())
                    {
                        self.start_revising(now);
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
                TimerEvent::Lease(attempt) => {
                    attempts.get(attempt).is_some_and(|attempt| attempt.holds)
                }
                _ => true,
            });
        }
    }

    /// Starts the revisions while there is a backlog.
    pub(super) fn start_revising(&mut self, now: TimePoint) {
        if !self.revising {
            self.revising = true;
            self.timers.add(now.after(REVISE_EVERY), TimerEvent::Revise);
        }
    }

    /// Starts the watch over idle borrowed units.
    pub(super) fn start_idling(&mut self, now: TimePoint) {
        if !self.idling {
            self.idling = true;
            self.timers.add(now.after(IDLE_PERIOD), TimerEvent::Idle);
        }
    }

    /// Asks for a wanted exchange, no sooner than the gap after the last one.
    pub(super) fn flush_exchanges(&mut self, now: TimePoint) {
        if self.wanted.is_empty() {
            return;
        }
        if now < self.exchange_at {
            self.start_revising(now);
            return;
        }
        let view = &self.fleet.view;
        let heard = self.heard.records(Duration::from_secs(5), now);
        let reachable =
            |peer| view.contains(peer) || heard.iter().any(|record| record.session == peer);
        while let Some(peer) = self.wanted.pop_first() {
            if reachable(peer) {
                self.exchange_at = now.after(self.policy.min_exchange_interval);
                self.actions.push_back(SchedulerAction::Exchange { peer });
                break;
            }
        }
        if !self.wanted.is_empty() {
            self.start_revising(now);
        }
    }
}
