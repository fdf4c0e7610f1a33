//! Demand beyond capacity: what the owner publishes, log lines and metrics.

use sesamedeal_core::jobs::QueueOverload;
use slog::info;

use super::owner_actor::OwnerActor;

impl OwnerActor {
    /// Logs the begins and ends of overloads since the last round, and counts the deferred jobs.
    pub(super) fn log_overloads(&mut self) {
        let deferred = self.dispatcher.deferred_jobs().len();
        self.parts.metrics.set_deferred_jobs(deferred);
        for change in self.dispatcher.take_overload_changes() {
            let message = if change.is_begin {
                "demand exceeds capacity"
            } else {
                "demand is within capacity again"
            };
            info!(self.parts.logger, "{}", message; "scope" => change.scope.as_str(), "waiting" => change.waiting, "deferred" => change.deferred, "work_ms" => change.work, "capacity" => change.capacity, "duration_ms" => change.duration.as_millis() as u64);
        }
    }

    /// Queues of overloaded pools. The instances of the spare pool count as capacity, since they may
    /// be moved to any pool.
    pub(super) fn overloads(&self) -> Vec<QueueOverload> {
        if !self.is_loaded || !self.parts.dispatch.rejects_overload {
            return Vec::new();
        }
        let spare = self
            .spare_pool()
            .map(|pool| self.idle_instances(&pool).len());
        let spare = u64::try_from(spare.unwrap_or(0)).unwrap_or(u64::MAX);
        let cpu = spare.saturating_mul(self.dispatcher.worker_capacity());
        self.dispatcher.queue_overloads(cpu)
    }
}
