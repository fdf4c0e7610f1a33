use std::collections::BTreeMap;

use super::{
    EvacuationRecord, FleetState, InstanceRecord, KeyRecord, MemberStep, PoolRecord, QueueRecord,
    SessionView, SheetRecord, TeamRecord, WaveRecord, WaveStatus,
};
use crate::ids::{InstanceName, KeyId, PoolName, QueueName, TeamName, WaveName, ZoneName};

/// Value of one entry of the state. `None` means that the entry is absent.
///
/// `FleetState::swap_entry` writes an entry and returns the previous one, which serves as the undo
/// entry. Rolling back a failed record swaps the undo entries back in reverse order. The cost is
/// proportional to the size of the record, not of the state.
#[derive(Debug)]
pub(super) enum StateEntry {
    Pool(PoolName, Option<PoolRecord>),
    Closing(PoolName, bool),
    Team(TeamName, Option<TeamRecord>),
    Queue(QueueName, Option<QueueRecord>),
    Key(KeyId, Option<KeyRecord>),
    Instance(InstanceName, Option<InstanceRecord>),
    View(SessionView),
    Sheet(Option<SheetRecord>),
    SheetApplied(super::DayTime),
    Wave(WaveName, Option<WaveRecord>),
    WaveStatus(WaveName, WaveStatus),
    WaveMember(WaveName, InstanceName, MemberStep),
    Evacuation(ZoneName, Option<EvacuationRecord>),
}

impl FleetState {
    /// Writes an entry and returns the entry that undoes the write.
    pub(super) fn swap_entry(&mut self, entry: StateEntry) -> StateEntry {
        match entry {
            StateEntry::Pool(name, pool) => {
                let old = swap(&mut self.pools, &name, pool);
                StateEntry::Pool(name, old)
            }
            StateEntry::Closing(name, closing) => {
                let old = if closing {
                    !self.closing.insert(name.clone())
                } else {
                    self.closing.remove(&name)
                };
                StateEntry::Closing(name, old)
            }
            StateEntry::Team(name, team) => {
                let old = swap(&mut self.teams, &name, team);
                StateEntry::Team(name, old)
            }
            StateEntry::Queue(name, queue) => self.swap_queue(name, queue),
            StateEntry::Key(id, key) => self.swap_key(id, key),
            StateEntry::Instance(name, instance) => self.swap_instance(name, instance),
            StateEntry::View(view) => StateEntry::View(std::mem::replace(&mut self.view, view)),
            StateEntry::Sheet(sheet) => {
                StateEntry::Sheet(std::mem::replace(&mut self.sheet, sheet))
            }
            StateEntry::SheetApplied(to) => match &mut self.sheet {
                Some(sheet) => StateEntry::SheetApplied(std::mem::replace(&mut sheet.applied, to)),
                None => StateEntry::SheetApplied(to),
            },
            StateEntry::Wave(name, wave) => {
                let old = swap(&mut self.waves, &name, wave);
                StateEntry::Wave(name, old)
            }
            StateEntry::WaveStatus(name, status) => {
                let old = match self.waves.get_mut(&name) {
                    Some(wave) => std::mem::replace(&mut wave.status, status),
                    None => status,
                };
                StateEntry::WaveStatus(name, old)
            }
            StateEntry::WaveMember(wave, name, step) => self.swap_member(wave, name, step),
            StateEntry::Evacuation(zone, record) => {
                let old = swap(&mut self.evacuations, &zone, record);
                StateEntry::Evacuation(zone, old)
            }
        }
    }

    fn swap_queue(&mut self, name: QueueName, queue: Option<QueueRecord>) -> StateEntry {
        if let Some(queue) = &queue {
            self.index.count_mut(&queue.pool).queues += 1;
        }
        let old = swap(&mut self.queues, &name, queue);
        if let Some(queue) = &old {
            self.index.count_mut(&queue.pool).queues -= 1;
        }
        StateEntry::Queue(name, old)
    }

    fn swap_key(&mut self, id: KeyId, key: Option<KeyRecord>) -> StateEntry {
        let added = key.as_ref().map(|key| key.team.clone());
        let old = swap(&mut self.keys, &id, key);
        if let Some(key) = &old {
            self.index.remove_key(&id, &key.team);
        }
        if let Some(team) = added {
            self.index.add_key(&id, &team);
        }
        StateEntry::Key(id, old)
    }

    fn swap_instance(
        &mut self,
        name: InstanceName,
        instance: Option<InstanceRecord>,
    ) -> StateEntry {
        if let Some(instance) = &instance {
            self.index.add_instance(instance);
        }
        let old = swap(&mut self.instances, &name, instance);
        if let Some(instance) = &old {
            self.index.remove_instance(instance);
        }
        StateEntry::Instance(name, old)
    }

    fn swap_member(
        &mut self,
        wave: WaveName,
        name: InstanceName,
        mut step: MemberStep,
    ) -> StateEntry {
        let member = self
            .waves
            .get_mut(&wave)
            .and_then(|wave| wave.members.get_mut(&name));
        if let Some(member) = member {
            std::mem::swap(member, &mut step);
        }
        StateEntry::WaveMember(wave, name, step)
    }
}

fn swap<K: Ord + Clone, V>(map: &mut BTreeMap<K, V>, name: &K, value: Option<V>) -> Option<V> {
    match value {
        Some(value) => map.insert(name.clone(), value),
        None => map.remove(name),
    }
}
