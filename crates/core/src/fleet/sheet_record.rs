use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{DayTime, PoolRecord, QueueRecord, TeamRecord};
use crate::ids::{PoolName, QueueName, TeamName, WaveName};

/// What one row of a sheet sets.
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
        /// Pool and openness.
        queue: QueueRecord,
    },
    /// Start of a maintenance wave.
    Maintenance {
        /// Name of the wave; the day is appended when it starts.
        name: WaveName,
        /// Pool to maintain; all pools when absent.
        pool: Option<PoolName>,
    },
}

impl SheetItem {
    /// Kind and name, which identify the object that successive rows set.
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
    /// Minute of the day from which the row holds.
    pub minute: u16,
    /// What it sets.
    pub item: SheetItem,
}

/// Intended state for the whole day.
///
/// The rows of one object hold from their minute to the next row of the same object. Before its
/// first row of the day an object has the settings of that first row. Without a new sheet the day
/// repeats.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SheetRecord {
    /// Rows in ascending order of their minute.
    pub rows: Vec<SheetRow>,
    /// Time up to which the rows have been applied.
    pub applied: DayTime,
}

impl SheetRecord {
    /// Creates a record of rows in any order.
    #[must_use]
    pub fn new(mut rows: Vec<SheetRow>, applied: DayTime) -> Self {
        rows.sort_by_key(|row| row.minute);
        Self { rows, applied }
    }

    /// Item of every pool, team and queue that holds at `minute`, in order of kind and name.
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

    /// Items that fall due after `applied` and up to `now`, in order.
    ///
    /// An object with one row has no change during the day. One with several rows returns to its
    /// first row at midnight.
    #[must_use]
    pub fn items_due(&self, now: DayTime) -> Vec<&SheetItem> {
        if now <= self.applied {
            return Vec::new();
        }
        let mut row_counts: BTreeMap<_, usize> = BTreeMap::new();
        for row in &self.rows {
            *row_counts.entry(row.item.object()).or_default() += 1;
        }
        let mut first_seen = BTreeMap::new();
        let mut transitions = Vec::new();
        for row in &self.rows {
            let object = row.item.object();
            let is_first = first_seen.insert(object, ()).is_none();
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

    /// Keeps the newest transition of each object within the last 24 hours up to `now`.
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
