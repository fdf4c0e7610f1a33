//! Evacuation of availability zones at the owner.

use std::collections::BTreeSet;

use sesamedeal_core::ids::{InstanceName, ZoneName};
use sesamedeal_core::time::TimePoint;
use slog::{info, warn};

use super::owner_actor::OwnerActor;

impl OwnerActor {
    /// Passes the operator's requests on to the dispatcher, before the placements of a round.
    pub(super) fn update_evacuations(&mut self, now: TimePoint) {
        let evacuations = self.parts.evacuations.load();
        if evacuations.keys().eq(self.dispatcher.evacuated_zones()) {
            return;
        }
        let zones: BTreeSet<ZoneName> = evacuations.keys().cloned().collect();
        for (zone, since) in evacuations.iter() {
            if self.dispatcher.evacuated_zones().contains(zone) {
                continue;
            }
            let age = since.map(|since| now.since(since).as_millis());
            let workers = self.dispatcher.workers_in_zone(zone);
            if workers == 0 && self.is_loaded {
                warn!(self.parts.logger, "no worker of the evacuated availability zone is listed"; "zone" => %zone, "age_ms" => age);
            } else {
                info!(self.parts.logger, "starting nothing more in an availability zone"; "zone" => %zone, "workers" => workers, "age_ms" => age);
            }
        }
        for zone in self.dispatcher.evacuated_zones().difference(&zones) {
            info!(self.parts.logger, "starting tasks in an availability zone again"; "zone" => %zone, "workers" => self.dispatcher.workers_in_zone(zone));
        }
        self.dispatcher.set_evacuated_zones(zones);
    }

    /// Whether an instance is in an availability zone in which nothing more may start.
    pub(super) fn is_in_evacuated_zone(&self, instance: &InstanceName) -> bool {
        let report = self.inventory.reports.get(instance);
        report.is_some_and(|report| self.dispatcher.evacuated_zones().contains(&report.zone))
    }
}
