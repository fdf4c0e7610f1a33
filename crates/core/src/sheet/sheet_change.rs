use super::ParsedSheet;
use crate::fleet::{DayTime, FleetChange, FleetState, PoolRecord};

/// Returns the changes that apply a sheet at `now`; they belong in one record.
///
/// Pools that the sheet omits are closed: the controller removes them once their instances have
/// moved to other pools. Sheets do not contain keys; the keys of a removed team are revoked.
#[must_use]
pub fn sheet_changes(state: &FleetState, sheet: &ParsedSheet, now: DayTime) -> Vec<FleetChange> {
    let items = sheet.items_at(now.minute());
    let mut changes = Vec::new();
    for (name, pool) in &state.pools {
        // Clears the flag of the old spare pool first, because only one pool can be the spare pool.
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
