use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use sesamedeal_core::fleet::FleetState;
use sesamedeal_core::ids::Generation;
use sesamedeal_platform::ChangeLog;
use xtra::Address;

use crate::clock::ProcessClock;
use crate::dispatch::{ApplyState, DispatchActor, EvidenceFlag};
use crate::timer::TimerService;

/// Time between two reads of the head.
const HEAD_PERIOD: Duration = Duration::from_secs(1);

/// The state that the entry instance acts under.
pub(crate) type FleetView = Arc<ArcSwap<FleetState>>;

/// Reads the head of the change log and applies the records that are missing.
#[derive(Debug)]
pub(crate) struct StateFollower {
    pub log: ChangeLog,
    pub view: FleetView,
    pub dispatcher: Address<DispatchActor>,
    pub evidence: EvidenceFlag,
    pub clock: ProcessClock,
}

impl StateFollower {
    /// Follows the log until the timer service ends.
    pub(crate) async fn run(self, timer: TimerService) {
        let mut ticks = timer.every(HEAD_PERIOD);
        while ticks.next().await.is_some() {
            // A failed read is repeated at the next tick; the state in force stays.
            drop(self.follow().await);
        }
    }

    async fn follow(&self) -> sesamedeal_platform::Result<()> {
        let sent = self.clock.now();
        let (head, settled) = self.log.head().await?;
        let mut state = FleetState::clone(&self.view.load());
        while state.generation < head.generation {
            let records = self.log.records_after(state.generation).await?;
            if records.is_empty() {
                break;
            }
            for record in &records {
                if state.apply(record).is_err() {
                    return Ok(());
                }
            }
        }
        self.install(state, settled.generation).await;
        if self.view.load().generation >= head.generation {
            self.evidence.set(true, sent);
        }
        Ok(())
    }

    async fn install(&self, state: FleetState, settled: Generation) {
        if state.generation <= self.view.load().generation {
            return;
        }
        let state = Arc::new(state);
        self.view.store(Arc::clone(&state));
        // An actor that has ended needs no state.
        drop(self.dispatcher.send(ApplyState { state, settled }).await);
    }
}
