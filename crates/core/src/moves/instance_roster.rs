use std::collections::BTreeMap;

use crate::fleet::{FleetState, InstanceState};
use crate::ids::{InstanceName, PoolName, RackName, ZoneName};

/// Instance in the roster; the names borrow from the fleet state.
#[derive(Debug, Clone, Copy)]
struct RosterEntry<'a> {
    name: &'a InstanceName,
    rack: &'a RackName,
    is_movable: bool,
}

/// Instances per pool and availability zone. It selects the instances to move so that the source
/// and target pools stay balanced over zones and racks.
#[derive(Debug)]
pub(super) struct InstanceRoster<'a> {
    pools: Vec<BTreeMap<&'a ZoneName, Vec<RosterEntry<'a>>>>,
}

impl<'a> InstanceRoster<'a> {
    /// Groups the instances by pool and zone. Only active instances can be moved, but the others
    /// count for the balance. Instances of evacuated zones stay where they are and do not count.
    pub(super) fn new(state: &'a FleetState, pools: &[PoolName]) -> Self {
        let pool_indices: BTreeMap<&PoolName, usize> = pools.iter().zip(0..).collect();
        let mut roster = Self {
            pools: vec![BTreeMap::new(); pools.len()],
        };
        for (name, instance) in &state.instances {
            let pool = match &instance.state {
                InstanceState::Failed => continue,
                _ if state.is_evacuated(&instance.zone) => continue,
                InstanceState::Moving { target } => target,
                _ => &instance.pool,
            };
            if let Some(&pool_index) = pool_indices.get(pool) {
                let entry = RosterEntry {
                    name,
                    rack: &instance.rack,
                    is_movable: instance.state.is_active(),
                };
                roster.pools[pool_index]
                    .entry(&instance.zone)
                    .or_default()
                    .push(entry);
            }
        }
        roster
    }

    /// Moves up to `count` instances, limited by the movable ones in the source pool, and returns
    /// their names.
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

    /// Returns the zone in which the share of the source pool's instances most exceeds the share
    /// of the target pool's instances. Only zones with movable instances are considered.
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
                let at_target = self.pools[to]
                    .get(*zone)
                    .map_or(0, |entries| length(entries));
                let excess = length(entries) * (to_total + 1) - at_target * (from_total + 1);
                (excess, length(entries))
            })
            .map(|(zone, _)| *zone)
    }
}

fn length(entries: &[RosterEntry<'_>]) -> i64 {
    i64::try_from(entries.len()).unwrap_or(i64::MAX)
}

/// Orders the entries so that the last one is movable, if any is, and in a rack with the most
/// instances.
fn order_by_rack(entries: &mut [RosterEntry<'_>]) {
    let mut rack_counts: BTreeMap<&RackName, u32> = BTreeMap::new();
    let mut keyed: Vec<(bool, u32, RosterEntry<'_>)> = entries
        .iter()
        .map(|entry| {
            let rack_count = rack_counts.entry(entry.rack).or_default();
            *rack_count += 1;
            (entry.is_movable, *rack_count, *entry)
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
    for (target, (_, _, entry)) in entries.iter_mut().zip(keyed) {
        *target = entry;
    }
}
