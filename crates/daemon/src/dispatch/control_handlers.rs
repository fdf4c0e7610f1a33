use sesamedeal_core::exchange::ExchangeMessage;
use sesamedeal_core::ids::{Generation, InstanceName, SessionId};
use sesamedeal_core::scheduler::UsageReport;
use xtra::{Context, Handler};

use super::dispatch_actor::DispatchActor;

/// Asks how far this entry instance has got with the state in force.
#[derive(Debug)]
pub(crate) struct ReadProgress;

/// How far this entry instance has got.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WorkProgress {
    /// Highest generation that nothing running contradicts.
    pub quiesced: Generation,
    /// Attempts that still hold units.
    pub running: usize,
}

/// Asks whether a peer has not confirmed a loan yet.
#[derive(Debug)]
pub(crate) struct ReadUnconfirmed;

/// Builds the message to a peer.
#[derive(Debug)]
pub(crate) struct BuildExchange {
    pub peer: SessionId,
}

/// Takes in the message of a peer.
#[derive(Debug)]
pub(crate) struct TakeExchange {
    pub message: ExchangeMessage,
}

/// Asks for the workers that the controller should quarantine or release.
#[derive(Debug)]
pub(crate) struct ReadSuggestions;

/// Workers whose state the controller should change.
#[derive(Debug, Default)]
pub(crate) struct HealthSuggestions {
    /// Workers that failed several distinct jobs here.
    pub quarantine: Vec<InstanceName>,
    /// Quarantined workers that should be tried again.
    pub release: Vec<InstanceName>,
}

/// Asks for the queues and units, for metrics.
#[derive(Debug)]
pub(crate) struct ReadUsage;

impl Handler<ReadUsage> for DispatchActor {
    type Return = UsageReport;

    async fn handle(&mut self, _: ReadUsage, _: &mut Context<Self>) -> UsageReport {
        self.desk.lock().scheduler.usage_report()
    }
}

impl Handler<ReadSuggestions> for DispatchActor {
    type Return = HealthSuggestions;

    async fn handle(&mut self, _: ReadSuggestions, _: &mut Context<Self>) -> HealthSuggestions {
        let core = self.desk.lock();
        let now = core.parts.clock.now();
        HealthSuggestions {
            quarantine: core.scheduler.quarantine_suggestions(now),
            release: core.scheduler.release_suggestions(now),
        }
    }
}

impl Handler<ReadProgress> for DispatchActor {
    type Return = WorkProgress;

    async fn handle(&mut self, _: ReadProgress, _: &mut Context<Self>) -> WorkProgress {
        let core = self.desk.lock();
        WorkProgress {
            quiesced: core.scheduler.quiesced(),
            running: core.scheduler.running(),
        }
    }
}

impl Handler<ReadUnconfirmed> for DispatchActor {
    type Return = bool;

    async fn handle(&mut self, _: ReadUnconfirmed, _: &mut Context<Self>) -> bool {
        self.desk.lock().scheduler.has_unconfirmed_loans()
    }
}

impl Handler<BuildExchange> for DispatchActor {
    type Return = ExchangeMessage;

    async fn handle(&mut self, message: BuildExchange, _: &mut Context<Self>) -> ExchangeMessage {
        let mut core = self.desk.lock();
        let now = core.parts.clock.now();
        core.scheduler.exchange_with(message.peer, now)
    }
}

impl Handler<TakeExchange> for DispatchActor {
    type Return = ();

    async fn handle(&mut self, message: TakeExchange, _: &mut Context<Self>) {
        let mut core = self.desk.lock();
        let now = core.parts.clock.now();
        core.scheduler.receive(&message.message, now);
        core.drive();
    }
}
