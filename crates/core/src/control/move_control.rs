use compact_str::format_compact;

use super::step_draft::StepDraft;
use super::{ControlNote, HealthVerdict};
use crate::fleet::{FleetChange, InstanceState, SheetItem};
use crate::ids::{PoolName, WaveName};
use crate::moves::{choose_instances, plan_now};
use crate::waves::due_members;

impl<'a> StepDraft<'a> {
    /// Applies the due rows of the sheet. Returns whether there were any.
    ///
    /// Planned actions are then left to the next step, because the rows can change the budgets.
    pub(super) fn apply_due_rows(&mut self) -> bool {
        let state = self.input.state;
        let Some(sheet) = &state.sheet else {
            return false;
        };
        let due = sheet.items_due(self.input.day_time);
        for item in &due {
            match item {
                SheetItem::Pool { name, pool } => {
                    let is_second_spare =
                        pool.spare && state.spare_pool().is_some_and(|spare| spare != name);
                    if is_second_spare {
                        self.skip_row(item);
                    } else if state.pools.get(name) != Some(pool) {
                        self.step.changes.push(FleetChange::PutPool {
                            name: name.clone(),
                            pool: pool.clone(),
                        });
                    }
                }
                SheetItem::Team { name, team } if state.teams.get(name) != Some(team) => {
                    self.step.changes.push(FleetChange::PutTeam {
                        name: name.clone(),
                        team: team.clone(),
                    });
                }
                SheetItem::Team { .. } => {}
                SheetItem::Queue { name, queue } => {
                    if !state.pools.contains_key(&queue.pool) || state.closing.contains(&queue.pool)
                    {
                        self.skip_row(item);
                    } else if state.queues.get(name) != Some(queue) {
                        self.step.changes.push(FleetChange::PutQueue {
                            name: name.clone(),
                            queue: queue.clone(),
                        });
                    }
                }
                SheetItem::Maintenance { name, pool } => self.start_wave(name, pool.as_ref()),
            }
        }
        if due.is_empty() {
            return false;
        }
        self.step.changes.push(FleetChange::AdvanceSheet {
            to: self.input.day_time,
        });
        true
    }

    fn skip_row(&mut self, item: &SheetItem) {
        let (kind, name) = item.object();
        let note = ControlNote::RowSkipped(format_compact!("{kind} {name}"));
        self.step.notes.push(note);
    }

    fn start_wave(&mut self, name: &WaveName, pool: Option<&PoolName>) {
        let day = self.input.day_time.day;
        let wave = WaveName::new(format!("{name}-{day}"));
        let members = due_members(self.input.state, pool, day);
        if members.is_empty() || self.input.state.waves.contains_key(&wave) {
            return;
        }
        self.step.changes.push(FleetChange::StartWave {
            wave,
            started: self.input.day_time,
            members,
        });
    }

    /// Completes the moves whose start is settled, and removes empty pools that are closing. A move
    /// from the spare pool is cancelled if the zone of its instance is evacuated meanwhile.
    pub(super) fn finish_moves(&mut self) {
        let state = self.input.state;
        for (name, instance) in &state.instances {
            let InstanceState::Moving { target } = &instance.state else {
                continue;
            };
            if self.step.settled < instance.since || self.is_touched(name) {
                continue;
            }
            let is_spare = state.spare_pool() == Some(&instance.pool);
            let is_cancelled = is_spare && state.is_evacuated(&instance.zone);
            if state.pools.contains_key(target) && !state.closing.contains(target) && !is_cancelled
            {
                self.assign(name, instance, target);
            } else {
                self.set_state(name, instance, InstanceState::Active);
            }
        }
        for name in &state.closing {
            let count = state.pool_count(name);
            if count.instances + count.arriving + count.queues == 0 {
                self.step
                    .changes
                    .push(FleetChange::RemovePool { name: name.clone() });
            }
        }
    }

    /// Quarantines and releases workers according to the health reports of entry instances.
    ///
    /// Ignores a report whose generation is older than the worker's current state, because it
    /// describes an earlier state.
    pub(super) fn apply_health_reports(&mut self) {
        let state = self.input.state;
        for report in self.input.health {
            let Some((name, instance)) = state.instances.get_key_value(&report.instance) else {
                continue;
            };
            if report.applied < instance.since || self.is_touched(name) {
                continue;
            }
            match (report.verdict, &instance.state) {
                (HealthVerdict::Quarantine, InstanceState::Active) => {
                    if self.headroom(&instance.pool) > 0 {
                        self.set_state(name, instance, InstanceState::Quarantined);
                    } else {
                        self.step
                            .notes
                            .push(ControlNote::QuarantineDeferred(name.clone()));
                    }
                }
                (HealthVerdict::Release, InstanceState::Quarantined) => {
                    self.set_state(name, instance, InstanceState::Active);
                }
                _ => {}
            }
        }
    }

    /// Starts the moves that the day plan requires now, within the availability budgets.
    pub(super) fn start_moves(&mut self) {
        let state = self.input.state;
        let (demand, moves, shortage) = plan_now(state, self.input.day_time, &self.policy.plan);
        if shortage > 0 {
            self.step.notes.push(ControlNote::Shortage(shortage));
        }
        if moves.is_empty() {
            return;
        }
        let mut allowed: Vec<u32> = demand
            .pools
            .iter()
            .map(|pool| self.headroom(pool))
            .collect();
        for (name, target) in choose_instances(state, &demand, &moves, &mut allowed) {
            let instance = &state.instances[&name];
            if !self.is_touched(&name) {
                self.set_state(&name, instance, InstanceState::Moving { target });
            }
        }
    }
}
