use super::ParsedSheet;
use crate::fleet::{DayTime, FleetChange, FleetState, PoolRecord};

/// Changes that put a sheet in force at `now`, for one record.
///
/// Pools that the sheet omits are closed: the controller removes them once their instances have
/// moved away. Keys are not part of sheets; the keys of a removed team are withdrawn.
#[must_use]
pub fn sheet_changes(state: &FleetState, sheet: &ParsedSheet, now: DayTime) -> Vec<FleetChange> {
    let items = sheet.items_at(now.minute());
    let mut changes = Vec::new();
    for (name, pool) in &state.pools {
        // The old spare pool gives up its role first, because there is only one.
        let stays_spare = items.pools.get(name).is_some_and(|new| new.spare);
        if pool.spare && !stays_spare {
            let pool = PoolRecord {
                spare: false,
                ..pool.clone()
            };
            let name = name.clone();
            changes.push(FleetChange::PutPool { name, pool });
        }
    }
    for (name, pool) in items.pools.iter() {
        if state.pools.get(name) != Some(pool) || state.closing.contains(name) {
            changes.push(FleetChange::PutPool {
                name: name.clone(),
                pool: pool.clone(),
            });
        }
    }
    for (name, team) in &items.teams {
        if state.teams.get(name) != Some(team) {
            changes.push(FleetChange::PutTeam {
                name: name.clone(),
                team: team.clone(),
            });
        }
    }
    for (name, queue) in &items.queues {
        if state.queues.get(name) != Some(queue) {
            changes.push(FleetChange::PutQueue {
                name: name.clone(),
                queue: queue.clone(),
            });
        }
    }
    let queues = state.queues.keys();
    for name in queues.filter(|name| !items.queues.contains_key(*name)) {
        changes.push(FleetChange::RemoveQueue { name: name.clone() });
    }
    let teams = state.teams.keys();
    for name in teams.filter(|name| !items.teams.contains_key(*name)) {
        changes.push(FleetChange::RemoveTeam { name: name.clone() });
    }
    let pools = state.pools.keys();
    for name in pools.filter(|name| !items.pools.contains_key(*name)) {
        if !state.closing.contains(name) {
            changes.push(FleetChange::ClosePool { name: name.clone() });
        }
    }
    changes.push(FleetChange::PutSheet {
        rows: sheet.rows.clone(),
        applied: now,
    });
    changes
}
