use std::collections::HashSet;

use xtra::{Actor, Context, Handler};

use super::DispatchDesk;
use super::dispatch_messages::{ApplyState, HandOverUnits, StopTaking};

/// Passes the messages of the control loops to the scheduler.
#[derive(Debug, Actor)]
pub(crate) struct DispatchActor {
    pub(super) desk: DispatchDesk,
}

impl DispatchActor {
    pub(crate) const fn new(desk: DispatchDesk) -> Self {
        Self { desk }
    }
}

impl Handler<ApplyState> for DispatchActor {
    type Return = ();

    async fn handle(&mut self, message: ApplyState, _: &mut Context<Self>) {
        let mut core = self.desk.lock();
        let now = core.parts.clock.now();
        let sessions = message.state.view.sessions.len();
        core.parts.backend.set_sessions(sessions);
        let instances = message.state.instances.values();
        let known: HashSet<&str> = instances
            .map(|instance| instance.address.as_str())
            .collect();
        core.parts.backend.prune(|address| known.contains(address));
        core.scheduler.apply(&message.state, message.settled, now);
        core.drive();
    }
}

impl Handler<StopTaking> for DispatchActor {
    type Return = ();

    async fn handle(&mut self, _: StopTaking, _: &mut Context<Self>) {
        let mut core = self.desk.lock();
        let now = core.parts.clock.now();
        core.scheduler.shut_down(now);
        core.drive();
    }
}

impl Handler<HandOverUnits> for DispatchActor {
    type Return = ();

    async fn handle(&mut self, _: HandOverUnits, _: &mut Context<Self>) {
        let mut core = self.desk.lock();
        core.scheduler.hand_over_units();
        core.drive();
    }
}
