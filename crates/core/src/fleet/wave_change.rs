use super::apply_change::{RecordApplier, check_count, check_name};
use super::apply_error::{invalid, missing};
use super::state_entry::StateEntry;
use super::{ApplyError, ApplyLimits, FleetChange, MemberStep, WaveRecord, WaveStatus};
use crate::ids::{InstanceName, WaveName};

impl RecordApplier<'_> {
    pub(super) fn apply_wave(&mut self, change: &FleetChange) -> Result<(), ApplyError> {
        match change {
            FleetChange::StartWave {
                wave,
                started,
                members,
            } => self.start_wave(wave, *started, members),
            FleetChange::HaltWave {
                wave,
                reason,
                resumes,
            } => {
                if self.wave(wave)?.status == WaveStatus::Finished {
                    return Err(invalid("status", wave.as_str()));
                }
                let status = WaveStatus::Halted {
                    reason: reason.clone(),
                    resumes: *resumes,
                };
                self.put_status(wave, status);
                Ok(())
            }
            FleetChange::ResumeWave { wave } => self.resume_wave(wave),
            FleetChange::SetWaveMember { wave, name, step } => {
                if !self.wave(wave)?.members.contains_key(name) {
                    return Err(missing("wave member", name.as_str()));
                }
                self.put(StateEntry::WaveMember(wave.clone(), name.clone(), *step));
                Ok(())
            }
            FleetChange::FinishWave { wave } => {
                let is_complete = |step| matches!(step, MemberStep::Done | MemberStep::Skipped);
                if !self
                    .wave(wave)?
                    .members
                    .values()
                    .all(|&step| is_complete(step))
                {
                    return Err(invalid("status", wave.as_str()));
                }
                self.put_status(wave, WaveStatus::Finished);
                Ok(())
            }
            FleetChange::RemoveWave { wave } => {
                if self.wave(wave)?.count(MemberStep::Working) > 0 {
                    return Err(invalid("status", wave.as_str()));
                }
                self.put(StateEntry::Wave(wave.clone(), None));
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn start_wave(
        &mut self,
        wave: &WaveName,
        started: super::DayTime,
        members: &[InstanceName],
    ) -> Result<(), ApplyError> {
        check_name(wave.as_str())?;
        if self.state.waves.contains_key(wave) {
            return Err(ApplyError::Exists {
                what: "wave",
                name: wave.as_str().to_owned(),
            });
        }
        check_count("waves", self.state.waves.len() + 1, ApplyLimits::WAVES)?;
        for name in members {
            self.instance(name)?;
        }
        let record = WaveRecord::new(started, members.iter().cloned());
        self.put(StateEntry::Wave(wave.clone(), Some(record)));
        Ok(())
    }

    fn resume_wave(&mut self, wave: &WaveName) -> Result<(), ApplyError> {
        let record = self.wave(wave)?;
        if !matches!(record.status, WaveStatus::Halted { .. }) {
            return Err(invalid("status", wave.as_str()));
        }
        let failed: Vec<InstanceName> = record
            .members
            .iter()
            .filter(|(_, step)| **step == MemberStep::Failed)
            .map(|(name, _)| name.clone())
            .collect();
        for name in failed {
            self.put(StateEntry::WaveMember(
                wave.clone(),
                name,
                MemberStep::Skipped,
            ));
        }
        self.put_status(wave, WaveStatus::Running);
        Ok(())
    }

    fn put_status(&mut self, wave: &WaveName, status: WaveStatus) {
        self.put(StateEntry::WaveStatus(wave.clone(), status));
    }

    fn wave(&self, name: &WaveName) -> Result<&WaveRecord, ApplyError> {
        let wave = self.state.waves.get(name);
        wave.ok_or_else(|| missing("wave", name.as_str()))
    }
}
