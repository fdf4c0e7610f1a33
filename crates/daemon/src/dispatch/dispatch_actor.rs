use sesamedeal_core::ids::SessionId;
use sesamedeal_core::scheduler::{
    FinishOutcome, JobKey, JobRefusal, JobScheduler, SchedulerAction,
};
use slotmap::SecondaryMap;
use tokio::sync::{mpsc, oneshot};
use xtra::{Actor, Context, Handler};

use super::dispatch_messages::{
    ApplyState, CancelJob, DriveQueue, FinishAttempt, JobEvent, SubmitJob,
};
use crate::clock::ProcessClock;

/// Owns the scheduler of this entry instance.
#[derive(Debug, Actor)]
pub(crate) struct DispatchActor {
    pub(super) scheduler: JobScheduler,
    pub(super) clock: ProcessClock,
    wanted: mpsc::Sender<SessionId>,
    waiting: SecondaryMap<JobKey, oneshot::Sender<JobEvent>>,
}

impl DispatchActor {
    /// Creates the actor. Peers that the scheduler wants to exchange messages with go to `wanted`.
    pub(crate) fn new(
        scheduler: JobScheduler,
        clock: ProcessClock,
        wanted: mpsc::Sender<SessionId>,
    ) -> Self {
        Self {
            scheduler,
            clock,
            wanted,
            waiting: SecondaryMap::new(),
        }
    }

    pub(super) fn drive(&mut self) {
        let now = self.clock.now();
        while let Some(action) = self.scheduler.next_action(now) {
            match action {
                SchedulerAction::Dispatch(order) => {
                    self.notify(order.job, JobEvent::Dispatch(order));
                }
                SchedulerAction::Refuse { job, refusal } => {
                    self.notify(job, JobEvent::Refuse(refusal));
                }
                SchedulerAction::Exchange { peer } => self.want_exchange(peer),
                SchedulerAction::Stop { .. } => {}
            }
        }
    }

    fn want_exchange(&self, peer: SessionId) {
        if self.wanted.try_send(peer).is_err() {
            // The peer loop is behind; the regular turn reaches the peer.
        }
    }

    fn notify(&mut self, job: JobKey, event: JobEvent) {
        if let Some(events) = self.waiting.remove(job) {
            // A receiver that has gone cancels its job through its guard.
            drop(events.send(event));
        }
    }
}

impl Handler<SubmitJob> for DispatchActor {
    type Return = Result<JobKey, JobRefusal>;

    async fn handle(&mut self, message: SubmitJob, _: &mut Context<Self>) -> Self::Return {
        let job = self.scheduler.submit(message.spec, self.clock.now())?;
        self.waiting.insert(job, message.events);
        self.drive();
        Ok(job)
    }
}

impl Handler<FinishAttempt> for DispatchActor {
    type Return = FinishOutcome;

    async fn handle(&mut self, message: FinishAttempt, _: &mut Context<Self>) -> Self::Return {
        let now = self.clock.now();
        let outcome = self.scheduler.finish(message.attempt, message.outcome, now);
        if outcome == FinishOutcome::Retry {
            self.waiting.insert(message.job, message.events);
        }
        self.drive();
        outcome
    }
}

impl Handler<CancelJob> for DispatchActor {
    type Return = ();

    async fn handle(&mut self, message: CancelJob, _: &mut Context<Self>) {
        self.waiting.remove(message.job);
        self.scheduler.cancel(message.job, self.clock.now());
        self.drive();
    }
}

impl Handler<ApplyState> for DispatchActor {
    type Return = ();

    async fn handle(&mut self, message: ApplyState, _: &mut Context<Self>) {
        let now = self.clock.now();
        self.scheduler.apply(&message.state, message.settled, now);
        self.drive();
    }
}

impl Handler<DriveQueue> for DispatchActor {
    type Return = ();

    async fn handle(&mut self, _: DriveQueue, _: &mut Context<Self>) {
        self.drive();
    }
}
