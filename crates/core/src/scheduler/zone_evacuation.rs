//! Evacuation of availability zones: nothing more starts on the workers of a zone until the operator
//! withdraws the request. Attempts that run there continue.

use super::fleet_update::UpdateScope;
use super::{JobScheduler, WorkerIndex};
use crate::time::TimePoint;

impl JobScheduler {
    /// Updates whether the zone of a worker is evacuated.
    ///
    /// The worker keeps its units and its attempts, which do not conflict with the generation: a
    /// request settles although long tasks run in the zone.
    pub(super) fn update_evacuation(
        &mut self,
        worker: WorkerIndex,
        is_evacuated: bool,
        scope: &mut UpdateScope,
        now: TimePoint,
    ) {
        let record = &mut self.fleet.workers[worker.at()];
        if record.zone_evacuated == is_evacuated {
            return;
        }
        record.zone_evacuated = is_evacuated;
        if !is_evacuated {
            // A worker of the zone may have been restarted meanwhile, so that an earlier report
            // that it leaves must not keep it unused. If it still leaves, it says so again.
            record.leaving = None;
        }
        scope.pools.insert(record.pool);
        self.refresh_worker(worker, now);
    }
}
