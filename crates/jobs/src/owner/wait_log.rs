//! Log lines and metrics of waits for preferred racks.

use sesamedeal_core::time::TimePoint;
use slog::info;

use super::owner_actor::OwnerActor;

/// Maximum number of log lines about waits for racks per planning round, so that a surge of them does
/// not delay the owner.
const MAX_WAIT_LINES: usize = 8;

impl OwnerActor {
    /// Logs and counts the waits for preferred racks that began or ended since the last round. Of
    /// many, the first ones are logged and the others counted in one line.
    pub(super) fn log_placement_waits(&mut self, now: TimePoint) {
        let waits = self.dispatcher.take_placement_waits(now);
        for (index, wait) in waits.iter().enumerate() {
            let outcome = wait.outcome.label();
            self.parts.metrics.count_placement_wait(outcome);
            if index < MAX_WAIT_LINES {
                info!(self.parts.logger, "wait for rack"; "task" => %wait.task, "outcome" => outcome, "time_ms" => wait.outcome.time().as_millis() as u64);
            }
        }
        let more = waits.len().saturating_sub(MAX_WAIT_LINES);
        if more > 0 {
            info!(self.parts.logger, "more waits for racks"; "begun_or_ended" => more);
        }
    }
}
