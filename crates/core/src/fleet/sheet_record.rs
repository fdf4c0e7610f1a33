use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{DayTime, PoolRecord, QueueRecord, TeamRecord};
use crate::ids::{PoolName, QueueName, TeamName, WaveName};

/// Object that a row of a sheet sets, with its settings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum SheetItem {
    /// Settings of a pool.
    Pool {
        /// Name of the pool.
        name: PoolName,
        /// Size and availability budget.
        pool: PoolRecord,
    },
    /// Settings of a team.
    Team {
        /// Name of the team.
        name: TeamName,
        /// Share and limit.
        team: TeamRecord,
    },
    /// Settings of a queue.
    Queue {
        /// Name of the queue.
        name: QueueName,
        /// Pool and whether the queue is open.
        queue: QueueRecord,
    },
    /// Start of a maintenance wave.
    Maintenance {
        /// Name of the wave. The day is appended when the wave starts.
        name: WaveName,
        /// Pool to maintain, or `None` for all pools.
        pool: Option<PoolName>,
    },
}

impl SheetItem {
    /// Returns the kind and name of the object that the row sets. Rows with the same kind and name
    /// set the same object.
    #[must_use]
    pub fn object(&self) -> (&'static str, &str) {
        match self {
            Self::Pool { name, .. } => ("pool", name.as_str()),
            Self::Team { name, .. } => ("team", name.as_str()),
            Self::Queue { name, .. } => ("queue", name.as_str()),
            Self::Maintenance { name, .. } => ("maintenance", name.as_str()),
        }
    }
}

/// One row of a sheet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SheetRow {
    /// Minute of the day at which the row takes effect.
    pub minute: u16,
    /// Object and settings.
    pub item: SheetItem,
}

/// Planned settings of the fleet for a whole day.
///
/// A row is in effect from its minute until the next row of the same object. Before the first row
/// of an object in the day, the settings of that first row are in effect. The sheet repeats every
/// day until it is replaced.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SheetRecord {
    /// Rows in ascending order of minute.
    pub rows: Vec<SheetRow>,
    /// Time up to which the rows have been applied.
    pub applied: DayTime,
}

impl SheetRecord {
    /// Creates a record from rows in any order.
    #[must_use]
    pub fn new(mut rows: Vec<SheetRow>, applied: DayTime) -> Self {
        rows.sort_by_key(|row| row.minute);
        Self { rows, applied }
    }

    /// Returns the item in effect at `minute` for every pool, team and queue, in order of kind and
    /// name.
    #[must_use]
    pub fn items_at(&self, minute: u16) -> Vec<&SheetItem> {
        let mut items = BTreeMap::new();
        for row in &self.rows {
            if matches!(row.item, SheetItem::Maintenance { .. }) {
                continue;
            }
            let object = row.item.object();
            if row.minute <= minute || !items.contains_key(&object) {
                items.insert(object, &row.item);
            }
        }
        items.into_values().collect()
    }

    /// Returns the items that take effect after `applied` and up to `now`, in order of time.
    ///
    /// An object with a single row does not change during the day. An object with several rows
    /// returns to its first row at midnight. A maintenance item is due at its minute of every day.
    #[must_use]
    pub fn items_due(&self, now: DayTime) -> Vec<&SheetItem> {
        if now <= self.applied {
            return Vec::new();
        }
        let mut row_counts: BTreeMap<_, usize> = BTreeMap::new();
        for row in &self.rows {
            *row_counts.entry(row.item.object()).or_default() += 1;
        }
        let mut seen_objects = BTreeMap::new();
        let mut transitions = Vec::new();
        for row in &self.rows {
            let object = row.item.object();
            let is_first = seen_objects.insert(object, ()).is_none();
            if matches!(row.item, SheetItem::Maintenance { .. }) {
                transitions.push((u32::from(row.minute) * 60, &row.item));
            } else if is_first && row_counts[&object] > 1 {
                transitions.push((0, &row.item));
            } else if !is_first {
                transitions.push((u32::from(row.minute) * 60, &row.item));
            }
        }
        transitions.sort_by_key(|(second, _)| *second);
        self.latest_transitions(&transitions, now)
    }

    /// Returns the latest transition of each object that is due. Transitions repeat every day, so
    /// the latest one is at most 24 hours before `now`.
    fn latest_transitions<'a>(
        &self,
        transitions: &[(u32, &'a SheetItem)],
        now: DayTime,
    ) -> Vec<&'a SheetItem> {
        let yesterday = now.day.saturating_sub(1);
        let mut due = BTreeMap::new();
        for day in [yesterday, now.day] {
            for (second, item) in transitions {
                let at = DayTime::new(day, *second);
                if at > self.applied && at <= now {
                    due.insert(item.object(), (at, *item));
                }
            }
        }
        let mut due: Vec<_> = due.into_values().collect();
        due.sort_by_key(|(at, _)| *at);
        due.into_iter().map(|(_, item)| item).collect()
    }
}
