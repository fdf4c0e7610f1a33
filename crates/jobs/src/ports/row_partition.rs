use super::StoreTable;

/// Partitions over which the rows of jobs are spread. The store performs the changes of a partition
/// one after another, at most 300 a second, and 60 times slower on a bad day.
const JOB_PARTITIONS: u16 = 32;

/// Begin of the hash of a job's id: the offset of FNV-1a for 32 bits.
const HASH_OFFSET: u32 = 0x811c_9dc5;

/// Factor of the hash: the prime of FNV-1a for 32 bits.
const HASH_PRIME: u32 = 0x0100_0193;

/// Part of a table whose rows the store changes one after another.
///
/// The rows of a job are in one partition, so that a job is accepted there without waiting for the
/// owner's writes. All entry instances compute it alike.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RowPartition(u16);

impl RowPartition {
    /// The partition of everything but jobs.
    pub const MAIN: Self = Self(0);

    /// The partition of a row.
    #[must_use]
    pub fn of(table: StoreTable, key: &str) -> Self {
        if !is_spread(table) {
            return Self::MAIN;
        }
        // A request to cancel a job has an ending after its id.
        let id = key.split('.').next().unwrap_or_default();
        let hash = id.bytes().fold(HASH_OFFSET, |hash, byte| {
            (hash ^ u32::from(byte)).wrapping_mul(HASH_PRIME)
        });
        let number = hash % u32::from(JOB_PARTITIONS);
        Self(u16::try_from(number).unwrap_or(0) + 1)
    }

    /// All partitions of a table. In a store without partitions, any of them stands for the whole
    /// table, so that one is enough.
    pub fn all(table: StoreTable, has_partitions: bool) -> impl Iterator<Item = Self> {
        let numbers = match (is_spread(table), has_partitions) {
            (true, true) => 1..=JOB_PARTITIONS,
            (true, false) => 1..=1,
            (false, _) => 0..=0,
        };
        numbers.map(Self)
    }

    /// Its number; 0 for [`Self::MAIN`].
    #[must_use]
    pub const fn number(self) -> u16 {
        self.0
    }
}

const fn is_spread(table: StoreTable) -> bool {
    matches!(table, StoreTable::Job | StoreTable::State)
}
