use super::StoreTable;

/// Number of partitions for the rows of jobs. The store applies the changes of a partition one
/// after another, at most 300 per second, and 60 times slower when it is degraded.
const JOB_PARTITIONS: u16 = 32;

/// Offset basis of the 32-bit FNV-1a hash, which is computed over the id of a job.
const HASH_OFFSET: u32 = 0x811c_9dc5;

/// Prime of the 32-bit FNV-1a hash.
const HASH_PRIME: u32 = 0x0100_0193;

/// Partition of a table; the store applies the changes of its rows one after another.
///
/// All rows of a job are in one partition, so that a job can be accepted without waiting for the
/// owner's writes. All entry instances compute the same partition for a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RowPartition(u16);

impl RowPartition {
    /// Partition of all rows that do not belong to a job.
    pub const MAIN: Self = Self(0);

    /// Returns the partition of a row.
    #[must_use]
    pub fn of(table: StoreTable, key: &str) -> Self {
        if !is_partitioned(table) {
            return Self::MAIN;
        }
        // The key of a request to cancel a job has a suffix after the id.
        let id = key.split('.').next().unwrap_or_default();
        let hash = id.bytes().fold(HASH_OFFSET, |hash, byte| {
            (hash ^ u32::from(byte)).wrapping_mul(HASH_PRIME)
        });
        let number = hash % u32::from(JOB_PARTITIONS);
        Self(u16::try_from(number).unwrap_or(0) + 1)
    }

    /// Returns all partitions of a table. In a store without partitions, a read of any partition
    /// covers the whole table, so only one is returned.
    pub fn all(table: StoreTable, has_partitions: bool) -> impl Iterator<Item = Self> {
        let numbers = match (is_partitioned(table), has_partitions) {
            (true, true) => 1..=JOB_PARTITIONS,
            (true, false) => 1..=1,
            (false, _) => 0..=0,
        };
        numbers.map(Self)
    }

    /// Returns the number of the partition; 0 for [`Self::MAIN`].
    #[must_use]
    pub const fn number(self) -> u16 {
        self.0
    }
}

const fn is_partitioned(table: StoreTable) -> bool {
    matches!(table, StoreTable::Job | StoreTable::State)
}
