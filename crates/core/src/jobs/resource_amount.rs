use std::ops::{AddAssign, SubAssign};

use serde::{Deserialize, Serialize};

/// Amounts of resources that a task requires or a worker provides.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResourceAmount {
    /// CPU, in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory, in MB.
    pub memory_mb: u64,
    /// Number of accelerators.
    pub accelerators: u64,
}

impl ResourceAmount {
    /// Whether this amount fits into the free capacity `room`.
    #[must_use]
    pub const fn fits(self, room: Self) -> bool {
        self.cpu_millis <= room.cpu_millis
            && self.memory_mb <= room.memory_mb
            && self.accelerators <= room.accelerators
    }

    /// Subtracts `used` from this amount, with zero as the lower bound of each resource.
    #[must_use]
    pub const fn without(self, used: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(used.cpu_millis),
            memory_mb: self.memory_mb.saturating_sub(used.memory_mb),
            accelerators: self.accelerators.saturating_sub(used.accelerators),
        }
    }

    /// Returns the larger amount of each resource.
    pub(crate) fn max_each(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.max(other.cpu_millis),
            memory_mb: self.memory_mb.max(other.memory_mb),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Returns the smaller amount of each resource.
    pub(crate) fn min_each(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.min(other.cpu_millis),
            memory_mb: self.memory_mb.min(other.memory_mb),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// Whether the amount of every resource is zero.
    #[must_use]
    pub fn is_zero(self) -> bool {
        self == Self::default()
    }
}

impl AddAssign for ResourceAmount {
    fn add_assign(&mut self, other: Self) {
        self.cpu_millis = self.cpu_millis.saturating_add(other.cpu_millis);
        self.memory_mb = self.memory_mb.saturating_add(other.memory_mb);
        self.accelerators = self.accelerators.saturating_add(other.accelerators);
    }
}

impl SubAssign for ResourceAmount {
    fn sub_assign(&mut self, other: Self) {
        *self = self.without(other);
    }
}
