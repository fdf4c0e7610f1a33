use std::time::Duration;

use super::{ParsedSheet, SheetDiff, SheetRefusal, diff_sheet, sheet_changes};
use crate::fleet::{ChangeRecord, DayTime, FleetChange, FleetState, SheetItem};
use crate::ids::{OperationId, WaveName};
use crate::moves::{DayDemand, DayPlan, PlanPolicy, count_row_by_row, plan_day};
use crate::waves::{due_members, rollout_bound};

/// Maintenance wave that a sheet starts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedWave {
    /// Name in the maintenance row.
    pub name: WaveName,
    /// Minute of the day at which the wave starts.
    pub minute: u16,
    /// Number of instances due for maintenance by the regular schedule on the day of the plan.
    pub members: usize,
    /// Lower bound of the roll-out time under the budgets; `None` if a pool has no budget.
    pub bound: Option<Duration>,
}

/// Effects of applying a sheet now.
#[derive(Debug, Clone, PartialEq)]
pub struct SheetPlan {
    /// Difference from the state.
    pub diff: SheetDiff,
    /// Changes for a single record, the next one after the state.
    pub changes: Vec<FleetChange>,
    /// Moves over the day and their metrics.
    pub day: DayPlan,
    /// Number of moves if the rows were applied one by one.
    pub row_by_row_moves: u64,
    /// Maintenance waves over the day.
    pub waves: Vec<PlannedWave>,
}

impl SheetPlan {
    /// Returns the longest expected time from a row until its moves are complete.
    #[must_use]
    pub fn rollout(&self) -> Duration {
        Duration::from_secs_f64(self.day.measures.rollout_seconds)
    }
}

/// Plans how a sheet applies to the state, without changing the state.
///
/// # Errors
///
/// Returns the reason if the sheet removes too many objects and `allow_removal` is not set, or if
/// its changes are invalid for the state.
pub fn plan_sheet(
    state: &FleetState,
    sheet: &ParsedSheet,
    now: DayTime,
    policy: &PlanPolicy,
    allow_removal: bool,
) -> Result<SheetPlan, SheetRefusal> {
    let diff = diff_sheet(state, sheet, now);
    if !allow_removal {
        diff.check_removal(state)?;
    }
    let changes = sheet_changes(state, sheet, now);
    let mut next = state.clone();
    let record = ChangeRecord {
        generation: state.generation.next(),
        operation: OperationId(0),
        author: "plan".into(),
        changes,
    };
    next.apply(&record)
        .map_err(|source| SheetRefusal::Apply { source })?;
    let demand = DayDemand::with_state(&next, now);
    let counts = demand.count_instances(&next);
    Ok(SheetPlan {
        diff,
        changes: record.changes,
        day: plan_day(&next, now, policy),
        row_by_row_moves: count_row_by_row(&demand, &counts),
        waves: plan_waves(&next, now, policy),
    })
}

fn plan_waves(state: &FleetState, now: DayTime, policy: &PlanPolicy) -> Vec<PlannedWave> {
    let rows = state.sheet.iter().flat_map(|sheet| &sheet.rows);
    rows.filter_map(|row| {
        let SheetItem::Maintenance { name, pool } = &row.item else {
            return None;
        };
        let members = due_members(state, pool.as_ref(), now.day);
        Some(PlannedWave {
            name: name.clone(),
            minute: row.minute,
            members: members.len(),
            bound: rollout_bound(state, &members, policy.reboot_time),
        })
    })
    .collect()
}
