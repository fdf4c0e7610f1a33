use std::collections::HashMap;
use std::sync::Weak;
use std::time::Duration;

use parking_lot::Mutex;
use sesamedeal_core::code::ResultCode;
use sesamedeal_core::evidence::PauseDetector;
use sesamedeal_core::ids::SessionId;
use sesamedeal_core::scheduler::{
    AttemptKey, DispatchOrder, JobKey, JobRefusal, JobScheduler, SchedulerAction,
};
use sesamedeal_core::time::TimePoint;
use slog::{Logger, warn};
use slotmap::SecondaryMap;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::attempt_ender::AttemptEnder;
use super::dispatch_messages::{DispatchTicket, JobEvent, NextEvent};
use super::{CancelList, EvidenceFlag};
use crate::backend::{AttemptId, BackendClient};
use crate::clock::{ProcessClock, unix_millis};
use crate::metrics::RequestMetrics;

/// Part of the lease at most within which a backend server has to start the attempt.
const MAX_START_PART: u32 = 4;

/// Time between two searches for idle connections that backend servers have closed.
const PRUNE_PERIOD: Duration = Duration::from_secs(10);

/// What the dispatcher knows of a job beyond the scheduler.
#[derive(Debug)]
pub(super) struct JobEntry {
    pub events: Option<oneshot::Sender<JobEvent>>,
    /// An event that came before the job's submission was answered.
    pub early: Option<JobEvent>,
    pub attempt: Option<AttemptKey>,
}

/// What the dispatcher knows of an attempt that holds units.
#[derive(Debug)]
struct RunningEntry {
    address: compact_str::CompactString,
    starts_by: Instant,
    ends_by: Instant,
    is_ending: bool,
}

/// Things that the dispatcher shares with the rest of the request path.
#[derive(Debug, Clone)]
pub(crate) struct DispatchParts {
    pub session: SessionId,
    pub clock: ProcessClock,
    pub backend: BackendClient,
    pub cancels: CancelList,
    pub evidence: EvidenceFlag,
    pub metrics: RequestMetrics,
    pub logger: Logger,
    /// Allowance for clock differences between machines.
    pub clock_margin: Duration,
    /// Peers that the scheduler wants to exchange messages with.
    pub wanted: mpsc::Sender<SessionId>,
}

/// The scheduler of this entry instance with the jobs and attempts that it decides on.
#[derive(Debug)]
pub(super) struct DispatchCore {
    pub(super) scheduler: JobScheduler,
    pub(super) parts: DispatchParts,
    pub(super) jobs: SecondaryMap<JobKey, JobEntry>,
    /// Attempts until their end is confirmed. The scheduler may use an attempt's place again
    /// before that, so that a `SecondaryMap` would drop the older entry.
    running: HashMap<AttemptKey, RunningEntry>,
    /// Attempts in `running` that were given up.
    ending: usize,
    pause: PauseDetector,
    /// What the scheduler was told about work that needs a key.
    allows_keyed: bool,
    pruned: TimePoint,
    desk: Weak<Mutex<Self>>,
}

impl DispatchCore {
    pub(super) fn new(
        scheduler: JobScheduler,
        parts: DispatchParts,
        desk: Weak<Mutex<Self>>,
    ) -> Self {
        Self {
            scheduler,
            parts,
            jobs: SecondaryMap::new(),
            running: HashMap::new(),
            ending: 0,
            pause: PauseDetector::new(),
            allows_keyed: true,
            pruned: TimePoint::ORIGIN,
            desk,
        }
    }

    /// Carries out what the scheduler asks for. Nothing is dispatched between a pause of the
    /// process and the renewal of the evidence.
    pub(super) fn drive(&mut self) {
        self.check_pause();
        let now = self.parts.clock.now();
        let evidence = &self.parts.evidence;
        self.scheduler
            .set_dispatch_allowed(evidence.allows_dispatch(now));
        let allows_keyed = evidence.allows_keyed(now);
        if self.allows_keyed != allows_keyed {
            self.allows_keyed = allows_keyed;
            self.scheduler.set_keyed_work_allowed(allows_keyed, now);
        }
        while let Some(action) = self.scheduler.next_action(now) {
            match action {
                SchedulerAction::Dispatch(order) => self.dispatch(order),
                SchedulerAction::Refuse { job, refusal } => {
                    self.notify(job, JobEvent::Refuse(refusal));
                }
                SchedulerAction::Stop { attempt, .. } => self.confirm_end(attempt),
                SchedulerAction::Exchange { peer } => self.want_exchange(peer),
            }
        }
        self.parts.metrics.set_running(self.scheduler.running());
        let sent = self.running.len() - self.ending;
        self.parts
            .metrics
            .set_queued(self.jobs.len().saturating_sub(sent));
    }

    fn want_exchange(&self, peer: SessionId) {
        if self.parts.wanted.try_send(peer).is_err() {
            // The peer loop is behind; the regular turn reaches the peer.
        }
    }

    /// Takes note of a tick of the timer.
    pub(super) fn tick(&mut self) {
        self.check_pause();
        let now = self.parts.clock.now();
        self.pause.tick(now);
        if now.since(self.pruned) > PRUNE_PERIOD {
            self.pruned = now;
            self.parts.backend.prune(|_| true);
        }
    }

    fn check_pause(&mut self) {
        let now = self.parts.clock.now();
        if self.pause.is_paused(now) {
            self.pause.tick(now);
            self.parts.evidence.note_pause(now);
            warn!(
                self.parts.logger,
                "process was paused; dispatch waits for new evidence"
            );
        }
    }

    fn dispatch(&mut self, order: DispatchOrder) {
        let now = Instant::now();
        let job = order.job;
        let margin = self.parts.clock_margin;
        // Clocks that differ by the margin must not make a backend server refuse every attempt.
        let allowance = (2 * margin).min(order.lease / MAX_START_PART);
        let entry = RunningEntry {
            address: order.address.clone(),
            starts_by: now + allowance + margin,
            ends_by: now + order.lease + margin,
            is_ending: false,
        };
        let attempt = order.attempt;
        let ticket = DispatchTicket {
            start_by_ms: unix_millis() + millis(allowance),
            send_by: now + allowance,
            run_limit: order.lease.saturating_sub(allowance),
            ends_by: entry.ends_by,
            order,
        };
        self.running.insert(attempt, entry);
        if let Some(job) = self.jobs.get_mut(job) {
            job.attempt = Some(attempt);
        }
        if !self.notify(job, JobEvent::Dispatch(ticket)) {
            self.withdraw(job, attempt);
        }
    }

    /// Takes back an attempt that was not sent.
    fn withdraw(&mut self, job: JobKey, attempt: AttemptKey) {
        let now = self.parts.clock.now();
        self.forget(attempt);
        self.scheduler.cancel(job, now);
        self.scheduler.confirm_end(attempt, now);
    }

    /// Passes an event on; returns whether somebody waits for it.
    fn notify(&mut self, job: JobKey, event: JobEvent) -> bool {
        let is_last = matches!(event, JobEvent::Refuse(_));
        let Some(entry) = self.jobs.get_mut(job) else {
            return false;
        };
        let is_heard = match entry.events.take() {
            Some(events) => events.send(event).is_ok(),
            None => {
                entry.early = Some(event);
                true
            }
        };
        if is_last && entry.early.is_none() {
            self.jobs.remove(job);
        }
        is_heard
    }

    /// The event of a job that was queued just now, or a channel through which it will come.
    pub(super) fn next_event(&mut self, job: JobKey) -> NextEvent {
        let Some(entry) = self.jobs.get_mut(job) else {
            return NextEvent::Now(JobEvent::Refuse(JobRefusal::new(ResultCode::CallerGone)));
        };
        if let Some(event) = entry.early.take() {
            if matches!(event, JobEvent::Refuse(_)) {
                self.jobs.remove(job);
            }
            return NextEvent::Now(event);
        }
        let (sender, receiver) = oneshot::channel();
        entry.events = Some(sender);
        NextEvent::Later(receiver)
    }

    /// Removes a job whose caller has gone; an attempt of it is stopped.
    pub(super) fn cancel(&mut self, job: JobKey) {
        self.scheduler.cancel(job, self.parts.clock.now());
        let attempt = self.jobs.remove(job).and_then(|entry| entry.attempt);
        match attempt {
            Some(attempt) if self.running.contains_key(&attempt) => self.confirm_end(attempt),
            // Its end was confirmed before its outcome was reported, which now nobody will do.
            Some(attempt) => self.scheduler.confirm_end(attempt, self.parts.clock.now()),
            None => {}
        }
    }

    /// Forgets an attempt whose end is known.
    pub(super) fn forget(&mut self, attempt: AttemptKey) {
        let entry = self.running.remove(&attempt);
        self.ending -= usize::from(entry.is_some_and(|entry| entry.is_ending));
    }

    /// Takes note that an attempt has ended at its backend server.
    fn end(&mut self, attempt: AttemptKey) {
        self.forget(attempt);
        self.scheduler.confirm_end(attempt, self.parts.clock.now());
        self.drive();
    }

    /// Stops an attempt and reports its end to the scheduler once it is confirmed.
    pub(super) fn confirm_end(&mut self, attempt: AttemptKey) {
        let Some(entry) = self.running.get_mut(&attempt) else {
            return;
        };
        if entry.is_ending {
            return;
        }
        entry.is_ending = true;
        self.ending += 1;
        self.parts.metrics.count_stop();
        let ender = AttemptEnder {
            backend: self.parts.backend.clone(),
            address: entry.address.clone(),
            attempt: AttemptId::new(self.parts.session, attempt),
            starts_by: entry.starts_by,
            ends_by: entry.ends_by,
        };
        let desk = Weak::clone(&self.desk);
        tokio::spawn(async move {
            ender.run().await;
            if let Some(core) = desk.upgrade() {
                core.lock().end(attempt);
            }
        });
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
