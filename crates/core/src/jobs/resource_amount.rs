use std::ops::{AddAssign, SubAssign};

use serde::{Deserialize, Serialize};

/// Amount of the resources that a task takes or a worker has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResourceAmount {
    /// Processor, in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory, in MB.
    pub memory_mb: u64,
    /// Accelerators.
    pub accelerators: u64,
}

impl ResourceAmount {
    /// Whether this amount fits into `room`.
    #[must_use]
    pub const fn fits(self, room: Self) -> bool {
        self.cpu_millis <= room.cpu_millis
            && self.memory_mb <= room.memory_mb
            && self.accelerators <= room.accelerators
    }

    /// What remains of this amount after `used`; zero where more is used.
    #[must_use]
    pub const fn without(self, used: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(used.cpu_millis),
            memory_mb: self.memory_mb.saturating_sub(used.memory_mb),
            accelerators: self.accelerators.saturating_sub(used.accelerators),
        }
    }

    /// Whether nothing is taken.
    #[must_use]
    pub fn is_zero(self) -> bool {
        self == Self::default()
    }
}

impl AddAssign for ResourceAmount {
    fn add_assign(&mut self, other: Self) {
        self.cpu_millis += other.cpu_millis;
        self.memory_mb += other.memory_mb;
        self.accelerators += other.accelerators;
    }
}

impl SubAssign for ResourceAmount {
    fn sub_assign(&mut self, other: Self) {
        *self = self.without(other);
    }
}
