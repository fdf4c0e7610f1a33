use std::collections::BTreeMap;

use crate::fleet::{
    DayTime, PoolRecord, QueueRecord, SheetItem, SheetRecord, SheetRow, TeamRecord,
};
use crate::ids::{PoolName, QueueName, TeamName};

/// Sheet that passed all checks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParsedSheet {
    /// Rows, sorted by minute of the day.
    pub rows: Vec<SheetRow>,
}

/// Pools, teams and queues that a sheet sets at a given time of day.
#[derive(Debug, Default)]
pub(super) struct SheetItems {
    pub(super) pools: BTreeMap<PoolName, PoolRecord>,
    pub(super) teams: BTreeMap<TeamName, TeamRecord>,
    pub(super) queues: BTreeMap<QueueName, QueueRecord>,
}

impl ParsedSheet {
    /// Creates a sheet from checked rows and sorts them.
    pub(super) fn new(rows: Vec<SheetRow>) -> Self {
        let record = SheetRecord::new(rows, DayTime::default());
        Self { rows: record.rows }
    }

    /// Returns the settings in effect at a minute of the day.
    pub(super) fn items_at(&self, minute: u16) -> SheetItems {
        let record = SheetRecord {
            rows: self.rows.clone(),
            applied: DayTime::default(),
        };
        let mut items = SheetItems::default();
        for item in record.items_at(minute) {
            match item.clone() {
                SheetItem::Pool { name, pool } => {
                    items.pools.insert(name, pool);
                }
                SheetItem::Team { name, team } => {
                    items.teams.insert(name, team);
                }
                SheetItem::Queue { name, queue } => {
                    items.queues.insert(name, queue);
                }
                SheetItem::Maintenance { .. } => {}
            }
        }
        items
    }
}
