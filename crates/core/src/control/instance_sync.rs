use std::collections::BTreeMap;

use super::control_memory::ControlMemory;
use super::step_draft::StepDraft;
use super::{ControlNote, RebootOrder};
use crate::fleet::{ApplyLimits, FleetChange, InstanceRecord, InstanceState};
use crate::ids::{InstanceName, PoolName};
use crate::membership::{EntryRole, ListState, ListedInstance};

/// Entries of the platform's list by instance name.
pub(super) type ListIndex<'l> = BTreeMap<&'l InstanceName, &'l ListedInstance>;

/// Maximum number of instances registered in one step. A log row with the descriptions of a whole
/// large fleet would take several MB.
const MAX_REGISTRATIONS: usize = 500;

impl<'a> StepDraft<'a> {
    /// Reconciles the state with the platform's list: registers, updates and removes instances, and
    /// marks them as failed or active.
    pub(super) fn sync_instances(&mut self, memory: &mut ControlMemory, listed: &ListIndex<'_>) {
        let state = self.input.state;
        memory.refresh(state, listed);
        for (name, instance) in &state.instances {
            match listed.get(name) {
                Some(entry) if entry.state == ListState::Live => {
                    self.sync_live(memory, name, instance, entry);
                }
                Some(_) => {
                    memory.leaving.insert(name.clone());
                    if instance.state != InstanceState::Failed {
                        self.set_state(name, instance, InstanceState::Failed);
                    }
                }
                None => self.sync_absent(memory, name, instance),
            }
        }
        if let Some(spare) = state.spare_pool() {
            self.register_new(spare, listed);
        }
    }

    fn register_new(&mut self, spare: &PoolName, listed: &ListIndex<'_>) {
        let state = self.input.state;
        let room = ApplyLimits::INSTANCES.saturating_sub(state.instances.len());
        let room = room.min(MAX_REGISTRATIONS);
        let new_entries = listed.values().filter(|entry| {
            entry.role == EntryRole::Backend
                && entry.state == ListState::Live
                && has_valid_size(entry)
                && !state.instances.contains_key(&entry.name)
        });
        for entry in new_entries.take(room) {
            self.step.changes.push(FleetChange::PutInstance {
                name: entry.name.clone(),
                instance: InstanceRecord {
                    pool: spare.clone(),
                    state: InstanceState::Active,
                    address: entry.address.clone(),
                    zone: entry.zone.clone(),
                    rack: entry.rack.clone(),
                    image: entry.image.clone(),
                    cores: entry.cores,
                    memory_mb: entry.memory_mb,
                    slots: entry.slots,
                    boot: entry.boot,
                    since: state.generation,
                    maintained: self.input.day_time.day,
                },
            });
        }
    }

    fn sync_live(
        &mut self,
        memory: &mut ControlMemory,
        name: &InstanceName,
        instance: &'a InstanceRecord,
        entry: &ListedInstance,
    ) {
        memory.leaving.remove(name);
        let is_rebooted = instance.state == InstanceState::Rebooting && instance.boot != entry.boot;
        if !matches_entry(instance, entry) && has_valid_size(entry) {
            self.step.changes.push(FleetChange::PutInstance {
                name: name.clone(),
                instance: updated_record(instance, entry),
            });
        }
        match instance.state {
            InstanceState::Rebooting if is_rebooted => {
                self.rebooted.insert(name.clone());
                self.set_state(name, instance, InstanceState::Active);
                self.mark_maintained(name);
            }
            InstanceState::Rebooting => self.request_reboot(memory, name, instance),
            InstanceState::Failed => {
                self.set_state(name, instance, InstanceState::Active);
                // A member that failed during maintenance and returns with a new boot identifier
                // has been rebooted.
                if instance.boot != entry.boot && self.is_failed_member(name) {
                    self.mark_maintained(name);
                }
            }
            _ => {}
        }
    }

    fn mark_maintained(&mut self, name: &InstanceName) {
        self.step.changes.push(FleetChange::MarkMaintained {
            name: name.clone(),
            day: self.input.day_time.day,
        });
    }

    /// Requests a reboot, and requests it again if it does not happen within the retry time.
    ///
    /// If this controller has not seen the instance draining, a previous controller may already
    /// have requested the reboot. It then waits until the list must show the effect of that
    /// request.
    fn request_reboot(
        &mut self,
        memory: &mut ControlMemory,
        name: &InstanceName,
        instance: &InstanceRecord,
    ) {
        let now = self.input.now;
        let since = *memory.rebooting_since.entry(name.clone()).or_insert(now);
        let is_due = match memory.reboot_requested_at.get(name) {
            Some(&requested) => now.since(requested) >= self.policy.reboot_retry,
            None if memory.draining.contains(name) => true,
            None => now.since(since) >= self.policy.membership.list_lag,
        };
        if is_due {
            memory.reboot_requested_at.insert(name.clone(), now);
            self.step.reboots.push(RebootOrder {
                instance: name.clone(),
                boot: instance.boot,
            });
        }
        if now.since(since) > self.policy.reboot_deadline {
            self.step
                .notes
                .push(ControlNote::RebootOverdue(name.clone()));
        }
    }

    fn sync_absent(
        &mut self,
        memory: &mut ControlMemory,
        name: &InstanceName,
        instance: &'a InstanceRecord,
    ) {
        let now = self.input.now;
        let since = *memory.absent_since.entry(name.clone()).or_insert(now);
        let absence = now.since(since);
        match instance.state {
            InstanceState::Failed => {
                let needed = if memory.leaving.contains(name) {
                    self.policy.membership.stopped_after()
                } else {
                    self.policy.removal_time
                };
                // Until the failure is settled, an entry instance may still run tasks of the old
                // pool on the instance, and after a removal the instance could be registered again
                // in the spare pool.
                if absence > needed
                    && self.step.settled >= instance.since
                    && !self.is_held_by_wave(name)
                {
                    self.remove(name, instance);
                }
            }
            InstanceState::Rebooting => {
                memory.absent_since.insert(name.clone(), now);
                let since = *memory.rebooting_since.entry(name.clone()).or_insert(now);
                if now.since(since) > self.policy.reboot_deadline {
                    self.set_state(name, instance, InstanceState::Failed);
                    self.step
                        .notes
                        .push(ControlNote::RebootOverdue(name.clone()));
                }
            }
            _ if absence >= self.policy.absence_grace => {
                self.set_state(name, instance, InstanceState::Failed);
            }
            _ => {}
        }
    }
}

/// Whether `FleetState::apply` accepts the sizes of the entry. An invalid entry is skipped, as it
/// would cause the whole record to be rejected.
fn has_valid_size(entry: &ListedInstance) -> bool {
    (1..=ApplyLimits::SLOTS).contains(&entry.slots)
        && entry.cores > 0
        && (1..=ApplyLimits::NAME_BYTES).contains(&entry.name.as_str().len())
}

fn matches_entry(instance: &InstanceRecord, entry: &ListedInstance) -> bool {
    instance.address == entry.address
        && instance.zone == entry.zone
        && instance.rack == entry.rack
        && instance.image == entry.image
        && instance.cores == entry.cores
        && instance.memory_mb == entry.memory_mb
        && instance.slots == entry.slots
        && instance.boot == entry.boot
}

fn updated_record(instance: &InstanceRecord, entry: &ListedInstance) -> InstanceRecord {
    InstanceRecord {
        address: entry.address.clone(),
        zone: entry.zone.clone(),
        rack: entry.rack.clone(),
        image: entry.image.clone(),
        cores: entry.cores,
        memory_mb: entry.memory_mb,
        slots: entry.slots,
        boot: entry.boot,
        ..instance.clone()
    }
}
