use super::apply_change::{RecordApplier, check_count, check_name};
use super::apply_error::{invalid, missing};
use super::state_entry::StateEntry;
use super::{ApplyError, ApplyLimits, InstanceRecord, InstanceState};
use crate::ids::{InstanceName, PoolName};

impl RecordApplier<'_> {
    pub(super) fn put_instance(
        &mut self,
        name: &InstanceName,
        instance: &InstanceRecord,
    ) -> Result<(), ApplyError> {
        check_name(name.as_str())?;
        self.pool(&instance.pool)?;
        if instance.slots == 0 || instance.slots > ApplyLimits::SLOTS || instance.cores == 0 {
            return Err(invalid("size", name.as_str()));
        }
        let mut instance = instance.clone();
        match self.state.instances.get(name) {
            Some(old) if old.pool != instance.pool || old.state != instance.state => {
                return Err(invalid_transition(name, &old.state, &instance.state));
            }
            Some(old) => {
                instance.since = old.since;
                instance.maintained = old.maintained;
            }
            None => {
                let state = &instance.state;
                if !matches!(state, InstanceState::Active | InstanceState::Failed) {
                    return Err(invalid_transition(name, &InstanceState::Failed, state));
                }
                let count = self.state.instances.len() + 1;
                check_count("instances", count, ApplyLimits::INSTANCES)?;
                instance.since = self.generation;
            }
        }
        self.put(StateEntry::Instance(name.clone(), Some(instance)));
        Ok(())
    }

    pub(super) fn set_state(
        &mut self,
        name: &InstanceName,
        next: &InstanceState,
    ) -> Result<(), ApplyError> {
        let mut instance = self.instance(name)?.clone();
        if !instance.state.can_become(next) {
            return Err(invalid_transition(name, &instance.state, next));
        }
        if let InstanceState::Moving { target } = next {
            self.pool(target)?;
            if *target == instance.pool || self.state.closing.contains(target) {
                return Err(invalid_transition(name, &instance.state, next));
            }
        }
        if instance.state.is_planned(next) {
            let unavailable = self.state.index.count(&instance.pool).unavailable;
            if unavailable >= self.pool(&instance.pool)?.max_unavailable {
                let name = instance.pool;
                return Err(ApplyError::BudgetExceeded { name });
            }
        }
        instance.state = next.clone();
        instance.since = self.generation;
        self.put(StateEntry::Instance(name.clone(), Some(instance)));
        Ok(())
    }

    pub(super) fn assign_instance(
        &mut self,
        name: &InstanceName,
        pool: &PoolName,
    ) -> Result<(), ApplyError> {
        self.pool(pool)?;
        let mut instance = self.instance(name)?.clone();
        let is_target =
            matches!(&instance.state, InstanceState::Moving { target } if target == pool);
        // A move must not start and end in the same record. Without a generation in between, in
        // which the instance takes no work, entry instances could run tasks of both pools on it.
        if !is_target || instance.since == self.generation {
            return Err(invalid_transition(
                name,
                &instance.state,
                &InstanceState::Active,
            ));
        }
        instance.pool = pool.clone();
        instance.state = InstanceState::Active;
        instance.since = self.generation;
        self.put(StateEntry::Instance(name.clone(), Some(instance)));
        Ok(())
    }

    pub(super) fn remove_instance(&mut self, name: &InstanceName) -> Result<(), ApplyError> {
        let instance = self.instance(name)?;
        if instance.state != InstanceState::Failed || instance.since == self.generation {
            return Err(ApplyError::InvalidTransition {
                name: name.clone(),
                from: instance.state.label(),
                to: "removed",
            });
        }
        self.put(StateEntry::Instance(name.clone(), None));
        Ok(())
    }

    pub(super) fn advance_sheet(&mut self, to: super::DayTime) -> Result<(), ApplyError> {
        let sheet = self.state.sheet.as_ref();
        let sheet = sheet.ok_or_else(|| missing("sheet", "in force"))?;
        if to <= sheet.applied {
            return Err(invalid("time", "the sheet"));
        }
        self.put(StateEntry::SheetApplied(to));
        Ok(())
    }
}

fn invalid_transition(name: &InstanceName, from: &InstanceState, to: &InstanceState) -> ApplyError {
    ApplyError::InvalidTransition {
        name: name.clone(),
        from: from.label(),
        to: to.label(),
    }
}
