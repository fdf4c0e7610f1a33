use compact_str::format_compact;
use sesamedeal_core::control::{ControlInput, ControlNote, ControlStep, LogExtent, RebootOrder};
use sesamedeal_core::fleet::{ChangeRecord, FleetState};
use sesamedeal_core::ids::Generation;
use sesamedeal_core::lease::{LeaseAction, LeaseRecord};
use sesamedeal_core::time::TimePoint;
use sesamedeal_store::protocol::{RowCondition, TableRow, WriteReply, WriteRequest};
use sesamedeal_store::rows::{
    CONTROLLER_LEASE, HEAD, HeadRecord, SETTLED, SettledRecord, change_key,
};
use sesamedeal_store::{KEPT_RECORDS, MissingChanges, Result, row_put};
use slog::{error, info, warn};

use super::controller_actor::{ControllerActor, new_operation};
use super::platform_list::listed;
use super::session_cache::SessionWait;
use crate::clock::day_time;
use crate::entry_context::LeaseSighting;

/// The rows that a step is based on.
#[derive(Debug)]
pub(super) struct RoundRows {
    rows: Vec<TableRow>,
    pub head: HeadRecord,
    settled: SettledRecord,
}

impl RoundRows {
    /// Condition that a row has not changed since it was read.
    pub(super) fn unchanged(&self, key: &str) -> RowCondition {
        let row = self.rows.iter().find(|row| row.key == key);
        RowCondition {
            key: key.into(),
            version: row.map(|row| row.version),
        }
    }
}

impl ControllerActor {
    /// Renews the lease, decides and carries the decision out. Returns whether this has changed
    /// the agreed state or settled a generation, so that there may be more to decide.
    pub(super) async fn round(&mut self) -> Result<bool> {
        let sent = self.context.clock.now();
        let rows = self.read_rows().await?;
        self.context.gate.note_read(rows.head.generation, sent);
        *self.context.lease.lock() = Some(LeaseSighting::new(&rows.rows, sent, true));
        let lease: Option<LeaseRecord> = value(&rows.rows, CONTROLLER_LEASE);
        let renewal = match self.candidate.step(lease.as_ref(), sent) {
            LeaseAction::Renew(record) => Some(record),
            LeaseAction::Hold => None,
            LeaseAction::Wait | LeaseAction::Acquire(_) => {
                self.step_down();
                return Ok(false);
            }
        };
        let Some(state) = self.state_at(&rows).await? else {
            return Ok(false);
        };
        let step = self.decide(&state, &rows).await?;
        let committed = self.commit(&state, &rows, &step, renewal, sent).await;
        if self.controller.is_some() {
            // Reboots follow from the log alone, so that they do not wait for this step.
            self.reboot(&step.reboots).await;
        }
        if !committed? {
            return Ok(false);
        }
        self.upkeep(&state, &step).await?;
        Ok(!step.changes.is_empty() || step.settled > rows.settled.generation)
    }

    pub(super) async fn read_rows(&self) -> Result<RoundRows> {
        let keys = [CONTROLLER_LEASE, HEAD, SETTLED];
        let rows = self.context.client.read(&keys).await?;
        Ok(RoundRows {
            head: value(&rows, HEAD).unwrap_or_default(),
            settled: value(&rows, SETTLED).unwrap_or_default(),
            rows,
        })
    }

    /// The state at the head; none while the log has records that cannot be applied.
    async fn state_at(&self, rows: &RoundRows) -> Result<Option<FleetState>> {
        let (context, head) = (&self.context, rows.head.generation);
        let current = context.keeper.state().generation;
        let missing = if current < head {
            context.log.missing_after(current).await?
        } else {
            MissingChanges::default()
        };
        let settled = rows.settled.generation;
        let advanced = context
            .keeper
            .advance(missing.snapshot, &missing.records, settled);
        if let Err(failure) = advanced.await {
            error!(context.logger, "record cannot be applied"; "error" => %failure);
            return Ok(None);
        }
        let state = context.keeper.state();
        Ok((state.generation == head).then(|| FleetState::clone(&state)))
    }

    async fn decide(&mut self, state: &FleetState, rows: &RoundRows) -> Result<ControlStep> {
        self.refresh_list().await;
        let context = &self.context;
        let wait = SessionWait {
            head: rows.head.generation,
            settled: rows.settled.generation,
            has_unknown: self.notes.iter().any(is_unknown_entry),
        };
        let refreshed = self
            .sessions
            .refresh(&context.client, wait, context.clock.now());
        let is_scanned = refreshed.await?;
        let sessions = self.sessions.records();
        let list = self.list.as_ref().map(|(list, _)| list.as_slice());
        let health = std::mem::take(&mut *context.health.lock());
        let oldest = rows.head.snapshot.0.saturating_sub(KEPT_RECORDS);
        let input = ControlInput {
            now: context.clock.now(),
            day_time: day_time(context.settings.utc_offset_minutes),
            state,
            settled: rows.settled.generation,
            sessions: &sessions,
            is_scanned,
            list,
            health: &health,
            log: LogExtent {
                snapshot: rows.head.snapshot,
                oldest_change: Generation(oldest),
            },
        };
        let step = match &mut self.controller {
            Some(controller) => controller.step(input),
            None => ControlStep::default(),
        };
        if step.notes != self.notes {
            for note in &step.notes {
                warn!(self.context.logger, "controller"; "note" => ?note);
            }
            self.notes.clone_from(&step.notes);
        }
        Ok(step)
    }

    /// Reads the platform's list again when its time has come. A list that could not be read
    /// again is not used further.
    async fn refresh_list(&mut self) {
        let now = self.context.clock.now();
        let period = self.context.settings.list_period;
        let is_fresh = |(_, read): &(Vec<_>, _)| now.since(*read) < period;
        if self.list.as_ref().is_some_and(is_fresh) {
            return;
        }
        let list = self.context.client.instances().await;
        self.list = list.ok().map(|list| (listed(list), now));
    }

    /// Writes a step in one transaction, on the condition that the lease row has not changed.
    /// Returns whether the step is in force.
    async fn commit(
        &mut self,
        state: &FleetState,
        rows: &RoundRows,
        step: &ControlStep,
        renewal: Option<LeaseRecord>,
        sent: TimePoint,
    ) -> Result<bool> {
        let mut request = WriteRequest {
            operation: new_operation(),
            conditions: vec![rows.unchanged(CONTROLLER_LEASE)],
            puts: Vec::new(),
            deletes: Vec::new(),
        };
        if let Some(record) = &renewal {
            request.puts.push(row_put(CONTROLLER_LEASE, record)?);
        }
        if !step.changes.is_empty() {
            self.add_changes(&mut request, state, rows, step)?;
        }
        if step.settled > rows.settled.generation {
            request.conditions.push(rows.unchanged(SETTLED));
            let generation = step.settled;
            request
                .puts
                .push(row_put(SETTLED, &SettledRecord { generation })?);
        }
        if request.puts.is_empty() {
            return Ok(true);
        }
        match self.context.client.write(&request).await? {
            WriteReply::Committed => {
                if let Some(record) = &renewal {
                    self.candidate.confirm(record, sent);
                }
                if request.puts.len() > usize::from(renewal.is_some()) {
                    self.context.changed.notify_one();
                }
                Ok(true)
            }
            WriteReply::Conflict { key, .. } => {
                info!(self.context.logger, "controller's step superseded"; "row" => key.as_str());
                if key == CONTROLLER_LEASE {
                    self.step_down();
                }
                Ok(false)
            }
        }
    }

    fn add_changes(
        &self,
        request: &mut WriteRequest,
        state: &FleetState,
        rows: &RoundRows,
        step: &ControlStep,
    ) -> Result<()> {
        let record = ChangeRecord {
            generation: state.generation.next(),
            operation: request.operation,
            author: format_compact!("controller {}", self.context.session),
            changes: step.changes.clone(),
        };
        // A record that cannot be applied would stop every entry instance at its generation.
        if let Err(failure) = state.clone().apply(&record) {
            error!(self.context.logger, "controller's changes rejected"; "error" => %failure);
            return Ok(());
        }
        let head = HeadRecord {
            generation: record.generation,
            ..rows.head
        };
        let key = change_key(record.generation);
        request.conditions.push(rows.unchanged(HEAD));
        request.conditions.push(RowCondition {
            key: key.clone(),
            version: None,
        });
        request.puts.push(row_put(HEAD, &head)?);
        request.puts.push(row_put(&key, &record)?);
        Ok(())
    }

    /// Asks the platform for reboots while the lease certainly holds.
    async fn reboot(&self, orders: &[RebootOrder]) {
        for order in orders {
            if self.candidate.epoch(self.context.clock.now()).is_none() {
                return;
            }
            match self.context.client.reboot(&order.instance).await {
                Ok(()) => info!(self.context.logger, "reboot";
                    "instance" => order.instance.as_str(), "boot" => order.boot),
                Err(failure) => warn!(self.context.logger, "reboot not confirmed";
                    "instance" => order.instance.as_str(), "error" => %failure),
            }
        }
    }
}

const fn is_unknown_entry(note: &ControlNote) -> bool {
    matches!(note, ControlNote::UnknownEntry(_))
}

fn value<T: serde::de::DeserializeOwned>(rows: &[TableRow], key: &str) -> Option<T> {
    let row = rows.iter().find(|row| row.key == key)?;
    serde_json::from_value(row.value.clone()).ok()
}
