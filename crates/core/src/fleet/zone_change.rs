use super::apply_change::{RecordApplier, check_count, check_name};
use super::apply_error::missing;
use super::state_entry::StateEntry;
use super::{ApplyError, ApplyLimits, DayTime, EvacuationRecord};
use crate::ids::ZoneName;

impl RecordApplier<'_> {
    /// Records the request to evacuate a zone. A repetition keeps the time of the first request.
    pub(super) fn evacuate_zone(
        &mut self,
        zone: &ZoneName,
        requested: DayTime,
    ) -> Result<(), ApplyError> {
        if self.state.is_evacuated(zone) {
            return Ok(());
        }
        check_name(zone.as_str())?;
        self.check_zone(zone)?;
        check_count(
            "evacuated availability zones",
            self.state.evacuations.len() + 1,
            ApplyLimits::EVACUATIONS,
        )?;
        let record = EvacuationRecord { requested };
        self.put(StateEntry::Evacuation(zone.clone(), Some(record)));
        Ok(())
    }

    /// Withdraws the request to evacuate a zone. This is possible after the last instance of the
    /// zone has left the fleet, and has no effect if there is no request.
    pub(super) fn reopen_zone(&mut self, zone: &ZoneName) -> Result<(), ApplyError> {
        if self.state.is_evacuated(zone) {
            self.put(StateEntry::Evacuation(zone.clone(), None));
            return Ok(());
        }
        self.check_zone(zone)
    }

    fn check_zone(&self, zone: &ZoneName) -> Result<(), ApplyError> {
        let mut instances = self.state.instances.values();
        if instances.any(|instance| instance.zone == *zone) {
            return Ok(());
        }
        Err(missing("availability zone", zone.as_str()))
    }
}
