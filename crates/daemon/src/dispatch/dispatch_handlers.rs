use std::collections::HashSet;

use sesamedeal_core::scheduler::{AttemptOutcome, FinishOutcome, JobKey, JobRefusal};
use xtra::{Context, Handler};

use super::dispatch_actor::{DispatchActor, JobEntry};
use super::dispatch_messages::{
    ApplyState, AttemptEnded, CancelJobs, DriveQueue, FinishAttempt, FinishReply, NextEvent,
    StopTaking, SubmitJob,
};

/// Jobs removed at once when callers have gone. Other messages are handled between two batches.
const CANCEL_BATCH: usize = 256;

impl Handler<SubmitJob> for DispatchActor {
    type Return = Result<(JobKey, NextEvent), JobRefusal>;

    async fn handle(&mut self, message: SubmitJob, _: &mut Context<Self>) -> Self::Return {
        let now = self.parts.clock.now();
        let job = self.scheduler.submit(message.spec, now)?;
        let entry = JobEntry {
            events: None,
            early: None,
            attempt: None,
        };
        self.jobs.insert(job, entry);
        self.drive();
        Ok((job, self.next_event(job)))
    }
}

impl Handler<FinishAttempt> for DispatchActor {
    type Return = FinishReply;

    async fn handle(&mut self, message: FinishAttempt, _: &mut Context<Self>) -> Self::Return {
        let now = self.parts.clock.now();
        let FinishAttempt {
            job,
            attempt,
            outcome,
            may_retry,
        } = message;
        let finish = self.scheduler.finish(attempt, outcome, now);
        match outcome {
            AttemptOutcome::Lost | AttemptOutcome::BadAnswer => self.confirm_end(attempt),
            _ => self.forget(attempt),
        }
        if let Some(entry) = self.jobs.get_mut(job) {
            entry.attempt = None;
        }
        let reply = match finish {
            FinishOutcome::Retry if may_retry => {
                self.parts.metrics.count_retry(outcome);
                self.drive();
                return FinishReply::Retry(self.next_event(job));
            }
            FinishOutcome::Retry => {
                self.scheduler.cancel(job, now);
                FinishReply::Answer
            }
            FinishOutcome::Answer => FinishReply::Answer,
            FinishOutcome::Refuse(refusal) => FinishReply::Refuse(refusal),
        };
        self.jobs.remove(job);
        self.drive();
        reply
    }
}

impl Handler<CancelJobs> for DispatchActor {
    type Return = ();

    async fn handle(&mut self, _: CancelJobs, _: &mut Context<Self>) {
        for job in self.parts.cancels.take(CANCEL_BATCH) {
            self.parts.metrics.count_cancelled();
            self.cancel(job);
        }
        self.drive();
    }
}

impl Handler<AttemptEnded> for DispatchActor {
    type Return = ();

    async fn handle(&mut self, message: AttemptEnded, _: &mut Context<Self>) {
        self.forget(message.attempt);
        let now = self.parts.clock.now();
        self.scheduler.ended(message.attempt, now);
        self.drive();
    }
}

impl Handler<ApplyState> for DispatchActor {
    type Return = ();

    async fn handle(&mut self, message: ApplyState, _: &mut Context<Self>) {
        let now = self.parts.clock.now();
        let sessions = message.state.view.sessions.len();
        self.parts.backend.set_sessions(sessions);
        let instances = message.state.instances.values();
        let known: HashSet<&str> = instances
            .map(|instance| instance.address.as_str())
            .collect();
        self.parts.backend.prune(|address| known.contains(address));
        self.scheduler.apply(&message.state, message.settled, now);
        self.drive();
    }
}

impl Handler<DriveQueue> for DispatchActor {
    type Return = ();

    async fn handle(&mut self, _: DriveQueue, _: &mut Context<Self>) {
        self.tick();
        self.drive();
    }
}

impl Handler<StopTaking> for DispatchActor {
    type Return = ();

    async fn handle(&mut self, _: StopTaking, _: &mut Context<Self>) {
        self.scheduler.shut_down(self.parts.clock.now());
        self.drive();
    }
}
