use std::collections::BTreeSet;

use super::JobId;

/// Partitions of the stored jobs that a new owner has not read yet.
#[derive(Debug, Clone)]
pub struct UnreadPartitions {
    numbers: BTreeSet<u16>,
    partition_of: fn(JobId) -> u16,
}

impl UnreadPartitions {
    /// `partition_of` returns the number of the partition that stores a job.
    #[must_use]
    pub fn new(numbers: impl IntoIterator<Item = u16>, partition_of: fn(JobId) -> u16) -> Self {
        Self {
            numbers: numbers.into_iter().collect(),
            partition_of,
        }
    }

    /// Whether the partition of a job has not been read.
    #[must_use]
    pub fn contains(&self, job: JobId) -> bool {
        !self.numbers.is_empty() && self.numbers.contains(&(self.partition_of)(job))
    }

    /// Number of partitions.
    #[must_use]
    pub fn count(&self) -> usize {
        self.numbers.len()
    }

    /// Removes a partition. Returns false if it has been read before.
    pub fn remove(&mut self, number: u16) -> bool {
        self.numbers.remove(&number)
    }
}

impl Default for UnreadPartitions {
    fn default() -> Self {
        Self::new([], |_| 0)
    }
}
