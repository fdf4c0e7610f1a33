use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use arc_swap::ArcSwap;
use sesamedeal_core::fleet::{ApplyError, ChangeRecord, FleetState};
use sesamedeal_core::ids::Generation;
use slog::{Logger, info};
use tokio::sync::Mutex;
use xtra::Address;

use super::EvidenceGate;
use crate::clock::day_time;
use crate::dispatch::{ApplyState, DispatchActor};

/// The state that the entry instance acts under.
pub(crate) type FleetView = Arc<ArcSwap<FleetState>>;

/// Puts new states in force. The generation never decreases, whatever the source.
#[derive(Debug)]
pub(crate) struct StateKeeper {
    view: FleetView,
    settled: AtomicU64,
    gate: EvidenceGate,
    dispatcher: Address<DispatchActor>,
    logger: Logger,
    /// Difference of local time, in which requests are timed, from UTC, in minutes.
    utc_offset_minutes: i32,
    /// States come from the store and from peers; one source at a time installs.
    order: Mutex<()>,
}

impl StateKeeper {
    pub(crate) fn new(
        view: FleetView,
        gate: EvidenceGate,
        dispatcher: Address<DispatchActor>,
        logger: Logger,
        utc_offset_minutes: i32,
    ) -> Self {
        Self {
            view,
            settled: AtomicU64::new(0),
            gate,
            dispatcher,
            logger,
            utc_offset_minutes,
            order: Mutex::new(()),
        }
    }

    /// The state in force.
    pub(crate) fn state(&self) -> Arc<FleetState> {
        self.view.load_full()
    }

    /// Highest settled generation known.
    pub(crate) fn settled(&self) -> Generation {
        Generation(self.settled.load(Ordering::Acquire))
    }

    /// Puts `snapshot`, if it is newer than the state in force, and then the records in force.
    ///
    /// Each record is handed to the dispatcher on its own, because the units owned are the
    /// minimum over all generations since the settled one.
    ///
    /// # Errors
    ///
    /// Fails when a record cannot be applied; the state before that record stays in force.
    pub(crate) async fn advance(
        &self,
        snapshot: Option<FleetState>,
        records: &[ChangeRecord],
        settled: Generation,
    ) -> Result<(), ApplyError> {
        let _order = self.order.lock().await;
        if let Some(snapshot) = snapshot
            && snapshot.generation > self.view.load().generation
        {
            self.install(snapshot, settled).await;
        }
        for record in records {
            let current = self.state();
            if record.generation <= current.generation {
                continue;
            }
            let mut next = FleetState::clone(&current);
            next.apply(record)?;
            self.install(next, settled).await;
        }
        self.note_settled(settled).await;
        Ok(())
    }

    async fn install(&self, state: FleetState, settled: Generation) {
        let settled = settled.min(state.generation).max(self.settled());
        let state = Arc::new(state);
        let generation = state.generation;
        // The dispatcher goes first, so that the generation in view is one that it acts under.
        let apply = ApplyState {
            state: Arc::clone(&state),
            settled,
        };
        // An actor that has ended needs no state.
        drop(self.dispatcher.send(apply).await);
        let known = self.view.swap(Arc::clone(&state));
        self.log_evacuations(&known, &state);
        self.gate.record_applied(generation);
        info!(self.logger, "generation in force"; "generation" => generation.0);
    }

    /// Logs the requests to evacuate availability zones that the new state adds or withdraws.
    fn log_evacuations(&self, known: &FleetState, state: &FleetState) {
        let now = day_time(self.utc_offset_minutes);
        for (zone, evacuation) in &state.evacuations {
            if !known.is_evacuated(zone) {
                info!(self.logger, "starting nothing more in an availability zone";
                    "zone" => %zone, "generation" => state.generation.0,
                    "age_s" => now.seconds_since(evacuation.requested));
            }
        }
        for (zone, evacuation) in &known.evacuations {
            if !state.is_evacuated(zone) {
                info!(self.logger, "starting tasks in an availability zone again";
                    "zone" => %zone, "generation" => state.generation.0,
                    "age_s" => now.seconds_since(evacuation.requested));
            }
        }
    }

    async fn note_settled(&self, settled: Generation) {
        let settled = settled.min(self.view.load().generation);
        if self.settled.fetch_max(settled.0, Ordering::AcqRel) < settled.0 {
            let state = self.state();
            // An actor that has ended needs no state.
            drop(self.dispatcher.send(ApplyState { state, settled }).await);
            info!(self.logger, "generation settled"; "generation" => settled.0);
        }
    }
}
