use std::collections::BTreeSet;

use compact_str::CompactString;

use super::ControlNote;
use super::control_memory::ControlMemory;
use super::step_draft::StepDraft;
use crate::fleet::{
    FleetChange, InstanceRecord, InstanceState, MemberStep, WaveRecord, WaveStatus,
};
use crate::ids::{InstanceName, WaveName};
use crate::waves::{halt_reason, next_members};

/// Number of waves above which the oldest finished ones are removed.
const KEPT_WAVES: usize = 32;

impl<'a> StepDraft<'a> {
    /// Updates the members of all unfinished waves; halts, resumes, finishes and removes waves.
    pub(super) fn advance_waves(&mut self, memory: &mut ControlMemory) {
        for (name, wave) in &self.input.state.waves {
            if wave.status == WaveStatus::Finished {
                continue;
            }
            let failed = self.advance_members(memory, name, wave);
            match &wave.status {
                WaveStatus::Running => {
                    if let Some(reason) = halt_reason(self.input.state, failed) {
                        self.halt_wave(name, wave, reason);
                    } else {
                        self.finish_wave(name, wave);
                    }
                }
                WaveStatus::Halted { resumes: true, .. } if failed.is_empty() => {
                    self.step
                        .changes
                        .push(FleetChange::ResumeWave { wave: name.clone() });
                    self.step.notes.push(ControlNote::WaveResumed(name.clone()));
                }
                _ => {}
            }
        }
        self.remove_old_waves();
    }

    /// Whether the instance is a failed member of a wave.
    pub(super) fn is_failed_member(&self, name: &InstanceName) -> bool {
        let mut waves = self.input.state.waves.values();
        waves.any(|wave| wave.members.get(name) == Some(&MemberStep::Failed))
    }

    /// Whether the failure of an instance may still halt a wave or keep it halted. Such an instance
    /// stays in the state, because its rack, zone and image show what the failures have in common.
    pub(super) fn is_held_by_wave(&self, name: &InstanceName) -> bool {
        self.input.state.waves.values().any(|wave| {
            wave.members.get(name) == Some(&MemberStep::Failed)
                && (wave.status != WaveStatus::Running
                    || wave.count(MemberStep::Pending) + wave.count(MemberStep::Working) > 0)
        })
    }

    /// Takes the next pending members of the running waves out of service.
    pub(super) fn start_maintenance(&mut self) {
        let state = self.input.state;
        for (wave_name, wave) in &state.waves {
            if wave.status != WaveStatus::Running || self.halted.contains(wave_name) {
                continue;
            }
            for name in next_members(state, wave, &self.all_headroom()) {
                let instance = &state.instances[&name];
                if !self.is_touched(&name) && self.headroom(&instance.pool) > 0 {
                    self.set_state(&name, instance, InstanceState::Draining);
                    self.set_member(wave_name, &name, MemberStep::Working);
                }
            }
        }
    }

    /// Updates the members of a wave and returns those that have failed and not recovered.
    fn advance_members(
        &mut self,
        memory: &mut ControlMemory,
        wave_name: &WaveName,
        wave: &'a WaveRecord,
    ) -> BTreeSet<&'a InstanceName> {
        let mut failed = BTreeSet::new();
        for (name, &step) in &wave.members {
            let instance = self.input.state.instances.get(name);
            let next = match (step, instance) {
                (MemberStep::Pending | MemberStep::Working, None) => MemberStep::Skipped,
                (MemberStep::Working, Some(instance)) => {
                    self.advance_working(memory, name, instance)
                }
                (MemberStep::Done, Some(instance)) => {
                    self.check_done(memory, wave_name, name, instance)
                }
                (MemberStep::Failed, _) => {
                    self.check_failed(memory, wave_name, wave, name, instance)
                }
                _ => step,
            };
            if next == MemberStep::Failed {
                failed.insert(name);
            }
            if next != step {
                if next == MemberStep::Done {
                    let key = (wave_name.clone(), name.clone());
                    memory.done_at.insert(key, self.input.now);
                }
                self.set_member(wave_name, name, next);
            }
        }
        failed
    }

    fn advance_working(
        &mut self,
        memory: &ControlMemory,
        name: &InstanceName,
        instance: &'a InstanceRecord,
    ) -> MemberStep {
        match instance.state {
            _ if self.rebooted.contains(name) => MemberStep::Done,
            InstanceState::Draining => {
                if self.step.settled >= instance.since && !self.is_touched(name) {
                    self.set_state(name, instance, InstanceState::Rebooting);
                }
                MemberStep::Working
            }
            InstanceState::Rebooting => {
                let is_overdue = memory.rebooting_since.get(name).is_some_and(|since| {
                    self.input.now.since(*since) > self.policy.reboot_deadline
                });
                if is_overdue {
                    MemberStep::Failed
                } else {
                    MemberStep::Working
                }
            }
            InstanceState::Failed if memory.leaving.contains(name) => MemberStep::Skipped,
            InstanceState::Failed => MemberStep::Failed,
            _ => MemberStep::Pending,
        }
    }

    /// Returns the new step of a completed member. A failure or quarantine within the recovery time
    /// after its maintenance counts as a failure of the wave.
    fn check_done(
        &self,
        memory: &ControlMemory,
        wave_name: &WaveName,
        name: &InstanceName,
        instance: &InstanceRecord,
    ) -> MemberStep {
        let is_recent = memory
            .done_at
            .get(&(wave_name.clone(), name.clone()))
            .is_some_and(|done| self.input.now.since(*done) <= self.policy.recovery_time);
        let is_unhealthy = matches!(
            instance.state,
            InstanceState::Failed | InstanceState::Quarantined
        );
        if is_recent && is_unhealthy && !memory.leaving.contains(name) {
            MemberStep::Failed
        } else {
            MemberStep::Done
        }
    }

    fn check_failed(
        &self,
        memory: &mut ControlMemory,
        wave_name: &WaveName,
        wave: &WaveRecord,
        name: &InstanceName,
        instance: Option<&InstanceRecord>,
    ) -> MemberStep {
        let Some(instance) = instance else {
            return MemberStep::Skipped;
        };
        let key = (wave_name.clone(), name.clone());
        if !instance.state.is_active() {
            memory.recovered_since.remove(&key);
            return MemberStep::Failed;
        }
        let since = *memory
            .recovered_since
            .entry(key.clone())
            .or_insert(self.input.now);
        if self.input.now.since(since) < self.policy.recovery_time {
            return MemberStep::Failed;
        }
        memory.recovered_since.remove(&key);
        if instance.maintained >= wave.started.day {
            MemberStep::Done
        } else {
            MemberStep::Pending
        }
    }

    /// Halts a wave and returns its draining members to service. Reboots that have already been
    /// requested continue.
    fn halt_wave(&mut self, wave_name: &WaveName, wave: &'a WaveRecord, reason: CompactString) {
        for (name, step) in &wave.members {
            let (MemberStep::Working, Some(instance)) =
                (step, self.input.state.instances.get(name))
            else {
                continue;
            };
            if instance.state == InstanceState::Draining && !self.is_touched(name) {
                self.set_state(name, instance, InstanceState::Active);
                self.set_member(wave_name, name, MemberStep::Pending);
            }
        }
        self.halted.insert(wave_name.clone());
        self.step
            .notes
            .push(ControlNote::WaveHalted(wave_name.clone(), reason.clone()));
        self.step.changes.push(FleetChange::HaltWave {
            wave: wave_name.clone(),
            reason,
            resumes: true,
        });
    }

    fn finish_wave(&mut self, wave_name: &WaveName, wave: &WaveRecord) {
        let is_complete = wave
            .members
            .values()
            .all(|step| matches!(step, MemberStep::Done | MemberStep::Skipped));
        // A member that has just been completed can still fail soon after its reboot. A wave
        // therefore does not finish in a step that changes one of its members.
        let is_changed = self.step.changes.iter().any(
            |change| matches!(change, FleetChange::SetWaveMember { wave, .. } if wave == wave_name),
        );
        if is_complete && !is_changed {
            self.step.changes.push(FleetChange::FinishWave {
                wave: wave_name.clone(),
            });
        }
    }

    fn remove_old_waves(&mut self) {
        let waves = &self.input.state.waves;
        let mut finished: Vec<_> = waves
            .iter()
            .filter(|(_, wave)| wave.status == WaveStatus::Finished)
            .collect();
        finished.sort_by_key(|(_, wave)| wave.started);
        let surplus = waves.len().saturating_sub(KEPT_WAVES);
        for (name, _) in finished.into_iter().take(surplus) {
            self.step
                .changes
                .push(FleetChange::RemoveWave { wave: name.clone() });
        }
    }

    fn set_member(&mut self, wave: &WaveName, name: &InstanceName, step: MemberStep) {
        self.step.changes.push(FleetChange::SetWaveMember {
            wave: wave.clone(),
            name: name.clone(),
            step,
        });
    }
}
