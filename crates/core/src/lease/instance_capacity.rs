use serde::{Deserialize, Serialize};

/// Minimum ratio of two capacities that decides which instance holds a lease. A smaller difference
/// does not justify a change of holder.
const MIN_CAPACITY_RATIO: u64 = 2;

/// Capacity of an instance that competes for a lease.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct InstanceCapacity {
    /// Processor capacity, in thousandths of a core.
    pub cpu_millis: u64,
    /// Bandwidth of the network link, in Mbit/s.
    pub link_mbps: u64,
}

impl InstanceCapacity {
    /// Whether `other` has at least as much of each resource and at least twice as much of one.
    #[must_use]
    pub const fn is_much_smaller_than(self, other: Self) -> bool {
        let has_all = other.cpu_millis >= self.cpu_millis && other.link_mbps >= self.link_mbps;
        has_all
            && (reaches_ratio(self.cpu_millis, other.cpu_millis)
                || reaches_ratio(self.link_mbps, other.link_mbps))
    }
}

const fn reaches_ratio(own: u64, other: u64) -> bool {
    other > 0 && other >= own.saturating_mul(MIN_CAPACITY_RATIO)
}
