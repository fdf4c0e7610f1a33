//! Effects of a new inventory on the maintenance waves.

use sesamedeal_core::ids::InstanceName;
use sesamedeal_core::time::TimePoint;
use slog::warn;

use super::owner_actor::OwnerActor;

impl OwnerActor {
    /// Closes instances that have left the platform before their maintenance.
    pub(super) fn close_absent_instances(&mut self, sent: TimePoint) {
        let requested = self.wave_runner.requested.load_full();
        let reports = &self.inventory.reports;
        let mut changed = Vec::new();
        for (wave, _) in requested.values() {
            let Some(progress) = self.wave_runner.waves.get_mut(&wave.number) else {
                continue;
            };
            let is_present = |name: &InstanceName| reports.contains_key(name);
            let gone = progress.close_absent(&wave.instances, is_present, sent);
            for name in &gone {
                warn!(self.parts.logger, "instance has left the platform"; "wave" => wave.number, "instance" => %name);
            }
            if !gone.is_empty() {
                changed.push(wave.number);
            }
        }
        for wave in changed {
            self.queue_progress(wave);
        }
    }

    /// Drops instances that are back from maintenance or have left the platform.
    pub(super) fn finish_maintenance(&mut self, sent: TimePoint) {
        let reports = &self.inventory.reports;
        for (wave, progress) in &mut self.wave_runner.waves {
            progress.under_maintenance.retain(|name, entry| {
                let state = reports.get(name).map(|report| report.state);
                let is_maintained = entry.update_state(state, sent);
                if !is_maintained && state.is_none() {
                    warn!(self.parts.logger, "instance has left the platform"; "wave" => wave, "instance" => %name);
                }
                is_maintained
            });
        }
    }
}
