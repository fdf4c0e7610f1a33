use std::collections::BTreeMap;
use std::fmt;

use super::{ParsedSheet, SheetRefusal};
use crate::fleet::{DayTime, FleetState};

/// Largest percentage of the pools, teams or queues that a sheet can remove without confirmation.
pub const MAX_REMOVED_PERCENT: usize = 20;

/// Object that differs between the state and a sheet.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct DiffEntry {
    /// `pool`, `team` or `queue`.
    pub kind: &'static str,
    /// Name of the object.
    pub name: String,
}

impl fmt::Display for DiffEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.kind, self.name)
    }
}

/// Difference between the state and the settings of a sheet at the current time of day.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SheetDiff {
    /// Objects that the sheet adds.
    pub added: Vec<DiffEntry>,
    /// Objects that the sheet changes.
    pub changed: Vec<DiffEntry>,
    /// Objects that the sheet removes by omitting them.
    pub removed: Vec<DiffEntry>,
}

/// Compares the state with the sheet. Omitted pools that are already closing do not count as
/// removed.
#[must_use]
pub fn diff_sheet(state: &FleetState, sheet: &ParsedSheet, now: DayTime) -> SheetDiff {
    let items = sheet.items_at(now.minute());
    let mut diff = SheetDiff::default();
    let mut pools = state.pools.clone();
    pools.retain(|name, _| !state.closing.contains(name) || items.pools.contains_key(name));
    diff.compare("pool", &pools, &items.pools);
    diff.compare("team", &state.teams, &items.teams);
    diff.compare("queue", &state.queues, &items.queues);
    diff
}

impl SheetDiff {
    fn compare<K: Ord + fmt::Display, V: PartialEq>(
        &mut self,
        kind: &'static str,
        old: &BTreeMap<K, V>,
        new: &BTreeMap<K, V>,
    ) {
        let entry = |name: &K| DiffEntry {
            kind,
            name: name.to_string(),
        };
        for (name, value) in new {
            match old.get(name) {
                None => self.added.push(entry(name)),
                Some(found) if found != value => self.changed.push(entry(name)),
                Some(_) => {}
            }
        }
        let removed = old.keys().filter(|name| !new.contains_key(name));
        self.removed.extend(removed.map(entry));
    }

    /// Whether the sheet changes nothing at the current time of day.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.added.is_empty() && self.changed.is_empty() && self.removed.is_empty()
    }

    /// Refuses a sheet that removes more than [`MAX_REMOVED_PERCENT`] (a fifth) of the pools, teams or
    /// queues.
    ///
    /// # Errors
    ///
    /// Returns the first kind over the limit, with the number removed and the total.
    pub fn check_removal(&self, state: &FleetState) -> Result<(), SheetRefusal> {
        let totals = [
            ("pool", "pools", state.pools.len() - state.closing.len()),
            ("team", "teams", state.teams.len()),
            ("queue", "queues", state.queues.len()),
        ];
        for (kind, what, total) in totals {
            let removed = self
                .removed
                .iter()
                .filter(|entry| entry.kind == kind)
                .count();
            if removed * 100 > total * MAX_REMOVED_PERCENT {
                return Err(SheetRefusal::Removal {
                    what,
                    removed,
                    total,
                });
            }
        }
        Ok(())
    }
}
