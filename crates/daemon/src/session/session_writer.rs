use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use sesamedeal_core::ids::{Generation, OperationId};
use sesamedeal_core::membership::{SessionRecord, SessionState};
use sesamedeal_core::time::TimePoint;
use sesamedeal_store::PutCondition;
use sesamedeal_store::protocol::WriteReply;
use sesamedeal_store::rows::session_key;
use slog::{info, warn};

use crate::dispatch::ReadProgress;
use crate::entry_context::EntryContext;

/// Time between two checks whether the row has to be written.
const CHECK_PERIOD: Duration = Duration::from_millis(100);

/// Least time between two writes because a generation was quiesced. Settling waits for these
/// writes, so they do not wait for the heartbeat.
const QUIESCED_PERIOD: Duration = Duration::from_secs(1);

/// Writes the own session row when its content changed, and now and then when it did not.
#[derive(Debug)]
pub(crate) struct SessionWriter {
    context: Arc<EntryContext>,
    written: Option<SessionRecord>,
    tried_at: Option<TimePoint>,
    /// When a quiesced generation was last written ahead of the heartbeat.
    hastened_at: Option<TimePoint>,
    renewals: u64,
}

impl SessionWriter {
    pub(crate) fn new(context: Arc<EntryContext>) -> Self {
        Self {
            context,
            written: None,
            tried_at: None,
            hastened_at: None,
            renewals: 0,
        }
    }

    /// Writes until the row says that the session has left.
    pub(crate) async fn run(mut self) {
        let mut ticks = self.context.timer.every(CHECK_PERIOD);
        let mut phase = self.context.phase.subscribe();
        loop {
            tokio::select! {
                tick = ticks.next() => if tick.is_none() { return },
                change = phase.changed() => if change.is_err() { return },
            }
            let record = self.record().await;
            let is_hastened = self.is_hastened(&record);
            if is_hastened {
                self.hastened_at = Some(self.context.clock.now());
            }
            if is_hastened || self.is_due(&record) {
                self.write(record).await;
            }
            let state = self.written.as_ref().map(|record| record.state);
            if state == Some(SessionState::Left) {
                return;
            }
        }
    }

    async fn record(&self) -> SessionRecord {
        let context = &self.context;
        let state = *context.phase.borrow();
        // Read before the dispatcher is asked, so that it acts under this generation or a later one.
        let applied = context.keeper.state().generation;
        let progress = context.dispatcher.send(ReadProgress).await;
        let quiesced = progress.map_or(Generation::ZERO, |progress| progress.quiesced);
        SessionRecord {
            session: context.session,
            instance: context.instance.clone(),
            address: context.address_text(),
            zone: context.settings.zone.clone(),
            applied,
            quiesced: quiesced.min(applied),
            renewals: self.renewals,
            state,
        }
    }

    /// Whether the row is written ahead of the heartbeat because all that contradicts the
    /// generation in force has ended.
    fn is_hastened(&self, record: &SessionRecord) -> bool {
        let is_news = self.written.as_ref().is_some_and(|written| {
            written.quiesced < record.quiesced && record.quiesced == record.applied
        });
        is_news && self.since(self.hastened_at) >= QUIESCED_PERIOD
    }

    fn is_due(&self, record: &SessionRecord) -> bool {
        let settings = &self.context.settings;
        let Some(written) = &self.written else {
            return self.since_try() >= CHECK_PERIOD;
        };
        if written.state != record.state {
            return self.since_try() >= CHECK_PERIOD;
        }
        let is_changed = written.applied != record.applied || written.quiesced != record.quiesced;
        let period = if is_changed {
            settings.heartbeat
        } else {
            settings.idle_heartbeat
        };
        self.since_try() >= period
    }

    fn since_try(&self) -> Duration {
        self.since(self.tried_at)
    }

    fn since(&self, point: Option<TimePoint>) -> Duration {
        let now = self.context.clock.now();
        point.map_or(Duration::MAX, |at| now.since(at))
    }

    async fn write(&mut self, mut record: SessionRecord) {
        let context = &self.context;
        self.tried_at = Some(context.clock.now());
        self.renewals += 1;
        record.renewals = self.renewals;
        let key = session_key(context.session);
        let operation = OperationId(rand::rng().random());
        // A delayed copy of an older write only lowers the generations, which is safe: the next
        // write raises them again.
        let condition = PutCondition::Any;
        let reply = context.client.put_row(&key, &record, condition, operation);
        match reply.await {
            Ok(WriteReply::Committed) => {
                let known = self.written.as_ref().map(|written| written.state);
                if known != Some(record.state) {
                    info!(context.logger, "session"; "state" => ?record.state);
                }
                self.written = Some(record);
            }
            Ok(WriteReply::Conflict { key, .. }) => {
                warn!(context.logger, "session row not written"; "conflict" => key.as_str());
            }
            Err(failure) => {
                warn!(context.logger, "session row not written"; "error" => %failure);
            }
        }
    }
}
