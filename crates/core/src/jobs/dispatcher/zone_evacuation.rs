//! Evacuation of availability zones: nothing more starts on the workers of a zone until the operator
//! takes the request back. What runs there goes on.

use std::collections::BTreeSet;

use super::JobDispatcher;
use crate::ids::ZoneName;

impl JobDispatcher {
    /// Replaces the set of availability zones in which nothing more may start. Takes effect with the
    /// next planning round, also for workers of these zones that are listed later.
    pub fn set_evacuated_zones(&mut self, zones: BTreeSet<ZoneName>) {
        for (_, entry) in &mut self.workers {
            entry.is_zone_evacuated = zones.contains(&entry.report.zone);
        }
        self.evacuated_zones = zones;
    }

    /// Returns the availability zones in which nothing more may start.
    #[must_use]
    pub const fn evacuated_zones(&self) -> &BTreeSet<ZoneName> {
        &self.evacuated_zones
    }

    /// Returns the number of listed workers in an availability zone.
    #[must_use]
    pub fn workers_in_zone(&self, zone: &ZoneName) -> usize {
        let workers = self.workers.values();
        let in_zone = workers.filter(|entry| entry.is_listed && entry.report.zone == *zone);
        in_zone.count()
    }
}
