use std::collections::BTreeMap;

use crate::fleet::{FleetState, InstanceState};
use crate::ids::{InstanceName, PoolName, RackName, ZoneName};

/// Instance as seen by the roster; keys refer to the fleet's state.
#[derive(Debug, Clone, Copy)]
struct RosterEntry<'a> {
    name: &'a InstanceName,
    rack: &'a RackName,
    is_movable: bool,
}

/// Instances per pool and availability zone, from which moves take so that both pools stay
/// balanced over zones and racks.
#[derive(Debug)]
pub(super) struct InstanceRoster<'a> {
    pools: Vec<BTreeMap<&'a ZoneName, Vec<RosterEntry<'a>>>>,
}

impl<'a> InstanceRoster<'a> {
    /// Sorts the instances of the pools. Only active ones can be moved; others are counted.
    pub(super) fn new(state: &'a FleetState, pools: &[PoolName]) -> Self {
        let index: BTreeMap<&PoolName, usize> = pools.iter().zip(0..).collect();
        let mut roster = Self {
            pools: vec![BTreeMap::new(); pools.len()],
        };
        for (name, instance) in &state.instances {
            let pool = match &instance.state {
                InstanceState::Failed => continue,
                InstanceState::Moving { target } => target,
                _ => &instance.pool,
            };
            if let Some(&at) = index.get(pool) {
                let entry = RosterEntry {
                    name,
                    rack: &instance.rack,
                    is_movable: instance.state.is_active(),
                };
                roster.pools[at]
                    .entry(&instance.zone)
                    .or_default()
                    .push(entry);
            }
        }
        roster
    }

    /// Moves `count` instances and returns their names. Fewer are returned when the pool has
    /// fewer that can be moved.
    pub(super) fn take(&mut self, from: usize, to: usize, count: u32) -> Vec<&'a InstanceName> {
        for entries in self.pools[from].values_mut() {
            order_by_rack(entries);
        }
        let mut names = Vec::new();
        for _ in 0..count {
            let Some(zone) = self.best_zone(from, to) else {
                break;
            };
            let Some(entry) = self.pools[from].get_mut(zone).and_then(Vec::pop) else {
                break;
            };
            self.pools[to].entry(zone).or_default().push(entry);
            names.push(entry.name);
        }
        names
    }

    /// Zone in which the giving pool has the largest part of its instances, compared with the
    /// part that the receiving pool has there.
    fn best_zone(&self, from: usize, to: usize) -> Option<&'a ZoneName> {
        let total = |pool: usize| -> i64 {
            self.pools[pool]
                .values()
                .map(|entries| length(entries))
                .sum()
        };
        let (from_total, to_total) = (total(from), total(to));
        self.pools[from]
            .iter()
            .filter(|(_, entries)| entries.last().is_some_and(|entry| entry.is_movable))
            .max_by_key(|(zone, entries)| {
                let arriving = self.pools[to].get(*zone).map_or(0, |there| length(there));
                let weight = length(entries) * (to_total + 1) - arriving * (from_total + 1);
                (weight, length(entries))
            })
            .map(|(zone, _)| *zone)
    }
}

fn length(entries: &[RosterEntry<'_>]) -> i64 {
    i64::try_from(entries.len()).unwrap_or(i64::MAX)
}

/// Orders the entries so that the last one is movable and lies in a rack with most of them.
fn order_by_rack(entries: &mut [RosterEntry<'_>]) {
    let mut rack_counts: BTreeMap<&RackName, u32> = BTreeMap::new();
    let mut keyed: Vec<(bool, u32, RosterEntry<'_>)> = entries
        .iter()
        .map(|entry| {
            let rank = rack_counts.entry(entry.rack).or_default();
            *rank += 1;
            (entry.is_movable, *rank, *entry)
        })
        .collect();
    keyed.sort_by(|left, right| {
        (left.0, left.1, left.2.rack, left.2.name).cmp(&(
            right.0,
            right.1,
            right.2.rack,
            right.2.name,
        ))
    });
    for (slot, (_, _, entry)) in entries.iter_mut().zip(keyed) {
        *slot = entry;
    }
}
