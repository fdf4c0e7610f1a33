use std::time::Duration;

use super::CleanupOrder;
use super::control_memory::ControlMemory;
use super::step_draft::StepDraft;
use crate::ids::Generation;
use crate::membership::{SessionState, SessionTracker};

/// Generations between two snapshots.
const SNAPSHOT_INTERVAL: u64 = 256;
/// Change rows kept below the newest snapshot, for entry instances that lag behind.
const KEPT_CHANGES: u64 = 512;
/// Time between two removals of rows and objects. It bounds the reads that removals cause.
const CLEANUP_INTERVAL: Duration = Duration::from_mins(1);
/// Age above which a claim is removed; its idempotency key may then be used again.
const CLAIM_RETENTION: Duration = Duration::from_hours(24);
/// Absence after which the row of a session that never left is removed.
const SESSION_RETENTION: Duration = Duration::from_hours(1);

impl StepDraft<'_> {
    /// Decides whether a snapshot is due and what can be removed.
    pub(super) fn keep_house(&mut self, memory: &mut ControlMemory, tracker: &SessionTracker) {
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
        let is_over = |record: &&crate::membership::SessionRecord| {
            let is_dead = tracker
                .absence(record.session)
                .is_some_and(|absence| absence > SESSION_RETENTION);
            !state.view.contains(record.session) && (record.state == SessionState::Left || is_dead)
        };
        let sessions = self.input.sessions.iter().filter(is_over);
        self.step.cleanup = Some(CleanupOrder {
            changes_below: Generation(log.snapshot.0.saturating_sub(KEPT_CHANGES))
                .max(log.oldest_change),
            sessions: sessions.map(|record| record.session).collect(),
            claims_older: CLAIM_RETENTION,
        });
    }
}
