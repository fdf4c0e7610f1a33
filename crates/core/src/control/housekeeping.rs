use std::time::Duration;

use super::CleanupOrder;
use super::control_memory::ControlMemory;
use super::step_draft::StepDraft;
use crate::ids::Generation;
use crate::membership::{SessionState, SessionTracker};

/// Number of generations between two snapshots.
const SNAPSHOT_INTERVAL: u64 = 256;
/// Number of change rows kept below the newest snapshot, for entry instances that lag behind.
const KEPT_CHANGES: u64 = 512;
/// Minimum time between two cleanups. It limits the read load that cleanups cause.
const CLEANUP_INTERVAL: Duration = Duration::from_mins(1);
/// Age above which a claim is removed. Its idempotency key can be used again afterwards.
const CLAIM_RETENTION: Duration = Duration::from_hours(24);
/// Absence after which the row of a session that has not reported that it left is removed.
const SESSION_RETENTION: Duration = Duration::from_hours(1);

impl StepDraft<'_> {
    /// Decides whether a snapshot is due and which rows and objects to remove.
    pub(super) fn plan_housekeeping(
        &mut self,
        memory: &mut ControlMemory,
        tracker: &SessionTracker,
    ) {
        let (state, log) = (self.input.state, self.input.log);
        self.step.snapshot_due =
            state.generation.0.saturating_sub(log.snapshot.0) >= SNAPSHOT_INTERVAL;
        let is_due = memory
            .cleaned_at
            .is_none_or(|at| self.input.now.since(at) >= CLEANUP_INTERVAL);
        if !is_due {
            return;
        }
        memory.cleaned_at = Some(self.input.now);
        let is_obsolete = |record: &&crate::membership::SessionRecord| {
            let is_expired = tracker
                .absence(record.session)
                .is_some_and(|absence| absence > SESSION_RETENTION);
            !state.view.contains(record.session)
                && (record.state == SessionState::Left || is_expired)
        };
        let sessions = self.input.sessions.iter().filter(is_obsolete);
        self.step.cleanup = Some(CleanupOrder {
            changes_below: Generation(log.snapshot.0.saturating_sub(KEPT_CHANGES))
                .max(log.oldest_change),
            sessions: sessions.map(|record| record.session).collect(),
            claims_older: CLAIM_RETENTION,
        });
    }
}
