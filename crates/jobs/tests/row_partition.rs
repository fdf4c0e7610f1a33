//! Assignment of rows to the partitions of the store.

use std::collections::HashMap;

use sesamedeal_core::jobs::JobId;
use sesamedeal_jobs::ports::{RowPartition, StoreTable};

/// Guards against a job whose rows are in different partitions: its insertion would span
/// partitions, and a request to cancel it would depend on the partition of another job.
#[test]
fn job_rows_together() {
    for id in (0..200).map(JobId) {
        let job = RowPartition::of(StoreTable::Job, &id.to_string());
        assert_eq!(job, RowPartition::of(StoreTable::State, &id.to_string()));
        let cancel = format!("{id}.cancel");
        assert_eq!(job, RowPartition::of(StoreTable::Job, &cancel));
        assert!(RowPartition::all(StoreTable::Job, true).any(|partition| partition == job));
    }
}

/// Guards against an uneven distribution of jobs over partitions.
#[test]
fn evenly_spread() {
    let mut counts: HashMap<RowPartition, u32> = HashMap::new();
    for id in (0..6_400).map(JobId) {
        let partition = RowPartition::of(StoreTable::Job, &id.to_string());
        *counts.entry(partition).or_default() += 1;
    }
    assert_eq!(
        counts.len(),
        RowPartition::all(StoreTable::Job, true).count()
    );
    assert!(
        counts.values().all(|count| (100..300).contains(count)),
        "{counts:?}"
    );
}

/// Guards against concurrent owners that do not see each other's rows: all rows of the ownership
/// are in one partition.
#[test]
fn single_partition_tables() {
    for table in [StoreTable::Owner, StoreTable::Writer, StoreTable::Intent] {
        assert_eq!(RowPartition::of(table, "epoch"), RowPartition::MAIN);
        assert_eq!(
            RowPartition::all(table, true).collect::<Vec<_>>(),
            [RowPartition::MAIN]
        );
    }
}
