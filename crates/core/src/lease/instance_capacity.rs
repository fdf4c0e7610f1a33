use serde::{Deserialize, Serialize};

/// Factor from which the difference of two capacities decides who holds a lease. A smaller one is
/// not worth a change of the holder.
const DWARFING: u64 = 2;

/// What the instance of a candidate can carry.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct InstanceCapacity {
    /// Processor, in thousandths of a core.
    pub cpu_millis: u64,
    /// Bandwidth of its link, in Mbit/s.
    pub link_mbps: u64,
}

impl InstanceCapacity {
    /// Whether `other` has at least as much of everything, and at least twice as much of something.
    #[must_use]
    pub const fn is_much_smaller_than(self, other: Self) -> bool {
        let has_all = other.cpu_millis >= self.cpu_millis && other.link_mbps >= self.link_mbps;
        has_all
            && (is_multiple(self.cpu_millis, other.cpu_millis)
                || is_multiple(self.link_mbps, other.link_mbps))
    }
}

const fn is_multiple(own: u64, other: u64) -> bool {
    other > 0 && other >= own.saturating_mul(DWARFING)
}
