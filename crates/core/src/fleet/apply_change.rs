use super::apply_error::{invalid, missing};
use super::state_entry::StateEntry;
use super::{
    ApplyError, ApplyLimits, FleetChange, FleetState, InstanceRecord, KeyRecord, PoolRecord,
    QueueRecord, SheetRecord, TeamRecord,
};
use crate::ids::{Generation, InstanceName, KeyId, PoolName, QueueName, TeamName};

/// Applies the changes of one record and rolls all of them back if one fails.
#[derive(Debug)]
pub(super) struct RecordApplier<'a> {
    pub(super) state: &'a mut FleetState,
    pub(super) generation: Generation,
    undo_log: Vec<StateEntry>,
}

impl<'a> RecordApplier<'a> {
    pub(super) fn new(state: &'a mut FleetState, generation: Generation) -> Self {
        Self {
            state,
            generation,
            undo_log: Vec::new(),
        }
    }

    pub(super) fn apply_all(mut self, changes: &[FleetChange]) -> Result<(), ApplyError> {
        for change in changes {
            if let Err(error) = self.apply_one(change) {
                while let Some(entry) = self.undo_log.pop() {
                    self.state.swap_entry(entry);
                }
                return Err(error);
            }
        }
        Ok(())
    }

    pub(super) fn put(&mut self, entry: StateEntry) {
        let old = self.state.swap_entry(entry);
        self.undo_log.push(old);
    }

    fn apply_one(&mut self, change: &FleetChange) -> Result<(), ApplyError> {
        match change {
            FleetChange::PutPool { name, pool } => self.put_pool(name, pool),
            FleetChange::ClosePool { name } => self.close_pool(name),
            FleetChange::RemovePool { name } => self.remove_pool(name),
            FleetChange::PutTeam { name, team } => self.put_team(name, team),
            FleetChange::RemoveTeam { name } => self.remove_team(name),
            FleetChange::PutQueue { name, queue } => self.put_queue(name, queue),
            FleetChange::RemoveQueue { name } => {
                self.require(self.state.queues.contains_key(name), "queue", name.as_str())?;
                self.put(StateEntry::Queue(name.clone(), None));
                Ok(())
            }
            FleetChange::GrantKey { id, key } => self.grant_key(id, key),
            FleetChange::WithdrawKey { id } => self.withdraw_key(id),
            FleetChange::PutInstance { name, instance } => self.put_instance(name, instance),
            FleetChange::SetInstanceState { name, state } => self.set_state(name, state),
            FleetChange::AssignInstance { name, pool } => self.assign_instance(name, pool),
            FleetChange::MarkMaintained { name, day } => {
                let mut instance = self.instance(name)?.clone();
                instance.maintained = *day;
                self.put(StateEntry::Instance(name.clone(), Some(instance)));
                Ok(())
            }
            FleetChange::RemoveInstance { name } => self.remove_instance(name),
            FleetChange::SetView { view } => {
                check_count("sessions", view.sessions.len(), ApplyLimits::SESSIONS)?;
                self.put(StateEntry::View(super::SessionView::new(
                    view.sessions.clone(),
                )));
                Ok(())
            }
            FleetChange::PutSheet { rows, applied } => {
                check_count("sheet rows", rows.len(), ApplyLimits::SHEET_ROWS)?;
                let sheet = SheetRecord::new(rows.clone(), *applied);
                self.put(StateEntry::Sheet(Some(sheet)));
                Ok(())
            }
            FleetChange::AdvanceSheet { to } => self.advance_sheet(*to),
            FleetChange::StartWave { .. }
            | FleetChange::HaltWave { .. }
            | FleetChange::ResumeWave { .. }
            | FleetChange::SetWaveMember { .. }
            | FleetChange::FinishWave { .. }
            | FleetChange::RemoveWave { .. } => self.apply_wave(change),
            FleetChange::EvacuateZone { zone, requested } => self.evacuate_zone(zone, *requested),
            FleetChange::ReopenZone { zone } => self.reopen_zone(zone),
        }
    }

    fn put_pool(&mut self, name: &PoolName, pool: &PoolRecord) -> Result<(), ApplyError> {
        check_name(name.as_str())?;
        if pool.size as usize > ApplyLimits::INSTANCES {
            return Err(invalid("size", name.as_str()));
        }
        let is_new = !self.state.pools.contains_key(name);
        check_count(
            "pools",
            self.state.pools.len() + usize::from(is_new),
            ApplyLimits::POOLS,
        )?;
        if pool.spare && self.state.spare_pool().is_some_and(|spare| spare != name) {
            return Err(ApplyError::Exists {
                what: "spare pool next to",
                name: name.as_str().to_owned(),
            });
        }
        self.put(StateEntry::Pool(name.clone(), Some(pool.clone())));
        self.put(StateEntry::Closing(name.clone(), false));
        Ok(())
    }

    fn close_pool(&mut self, name: &PoolName) -> Result<(), ApplyError> {
        let mut pool = self.pool(name)?.clone();
        if self.state.index.count(name).queues > 0 || pool.spare {
            return Err(ApplyError::PoolInUse { name: name.clone() });
        }
        pool.size = 0;
        self.put(StateEntry::Pool(name.clone(), Some(pool)));
        self.put(StateEntry::Closing(name.clone(), true));
        Ok(())
    }

    fn remove_pool(&mut self, name: &PoolName) -> Result<(), ApplyError> {
        self.pool(name)?;
        let count = self.state.index.count(name);
        if count.instances + count.arriving + count.queues > 0 {
            return Err(ApplyError::PoolInUse { name: name.clone() });
        }
        self.put(StateEntry::Pool(name.clone(), None));
        self.put(StateEntry::Closing(name.clone(), false));
        Ok(())
    }

    fn put_team(&mut self, name: &TeamName, team: &TeamRecord) -> Result<(), ApplyError> {
        check_name(name.as_str())?;
        if team.share == 0 {
            return Err(invalid("share", name.as_str()));
        }
        let is_new = !self.state.teams.contains_key(name);
        check_count(
            "teams",
            self.state.teams.len() + usize::from(is_new),
            ApplyLimits::TEAMS,
        )?;
        self.put(StateEntry::Team(name.clone(), Some(team.clone())));
        Ok(())
    }

    fn remove_team(&mut self, name: &TeamName) -> Result<(), ApplyError> {
        self.require(self.state.teams.contains_key(name), "team", name.as_str())?;
        let ids: Vec<KeyId> = self
            .state
            .index
            .team_keys
            .get(name)
            .map(|ids| ids.iter().cloned().collect())
            .unwrap_or_default();
        for id in &ids {
            self.withdraw_key(id)?;
        }
        self.put(StateEntry::Team(name.clone(), None));
        Ok(())
    }

    fn put_queue(&mut self, name: &QueueName, queue: &QueueRecord) -> Result<(), ApplyError> {
        check_name(name.as_str())?;
        self.pool(&queue.pool)?;
        if self.state.closing.contains(&queue.pool) {
            return Err(missing("open pool", queue.pool.as_str()));
        }
        let is_new = !self.state.queues.contains_key(name);
        check_count(
            "queues",
            self.state.queues.len() + usize::from(is_new),
            ApplyLimits::QUEUES,
        )?;
        self.put(StateEntry::Queue(name.clone(), Some(queue.clone())));
        Ok(())
    }

    fn grant_key(&mut self, id: &KeyId, key: &KeyRecord) -> Result<(), ApplyError> {
        check_name(id.as_str())?;
        if self.state.keys.contains_key(id) {
            return Err(ApplyError::KeyIdUsed { id: id.clone() });
        }
        let team = key.team.as_str();
        self.require(self.state.teams.contains_key(&key.team), "team", team)?;
        check_count("keys", self.state.keys.len() + 1, ApplyLimits::KEYS)?;
        self.put(StateEntry::Key(id.clone(), Some(key.clone())));
        Ok(())
    }

    fn withdraw_key(&mut self, id: &KeyId) -> Result<(), ApplyError> {
        let key = self.state.keys.get(id);
        let mut key = key.ok_or_else(|| missing("key", id.as_str()))?.clone();
        key.withdrawn = true;
        self.put(StateEntry::Key(id.clone(), Some(key)));
        Ok(())
    }

    pub(super) fn instance(&self, name: &InstanceName) -> Result<&InstanceRecord, ApplyError> {
        let instance = self.state.instances.get(name);
        instance.ok_or_else(|| missing("instance", name.as_str()))
    }

    pub(super) fn pool(&self, name: &PoolName) -> Result<&PoolRecord, ApplyError> {
        let pool = self.state.pools.get(name);
        pool.ok_or_else(|| missing("pool", name.as_str()))
    }

    fn require(&self, exists: bool, what: &'static str, name: &str) -> Result<(), ApplyError> {
        if exists {
            Ok(())
        } else {
            Err(missing(what, name))
        }
    }
}

pub(super) fn check_count(
    what: &'static str,
    count: usize,
    limit: usize,
) -> Result<(), ApplyError> {
    if count > limit {
        return Err(ApplyError::TooMany { what, limit });
    }
    Ok(())
}

pub(super) fn check_name(name: &str) -> Result<(), ApplyError> {
    if name.is_empty() || name.len() > ApplyLimits::NAME_BYTES {
        return Err(invalid("name", name));
    }
    Ok(())
}
