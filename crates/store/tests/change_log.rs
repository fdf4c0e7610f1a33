//! The change log: order, conditions, paging, snapshots and cleanup.

mod common;

use assert_matches::assert_matches;
use common::{client, patient_client, team_change};
use sesamedeal_core::fleet::FleetState;
use sesamedeal_core::fleet::SessionView;
use sesamedeal_core::ids::{Generation, OperationId};
use sesamedeal_standin::platform::{PlatformFaults, PlatformStandin};
use sesamedeal_store::protocol::{RowCondition, WriteReply};
use sesamedeal_store::rows::{CONTROLLER_LEASE, SNAPSHOT_PREFIX, change_key};
use sesamedeal_store::{
    AppendOutcome, ChangeLog, KEPT_RECORDS, PlatformClient, PlatformError, PutCondition,
};

/// Appends records up to a generation and returns the state there.
async fn fill(log: &ChangeLog, mut state: FleetState, last: u64) -> FleetState {
    while state.generation.0 < last {
        let next = state.generation.next();
        let change = vec![team_change(&format!("q{}", next.0 % 7))];
        let operation = OperationId(u128::from(next.0));
        let outcome = log
            .append(state.generation, operation, "test", change)
            .await;
        assert_matches!(outcome, Ok(AppendOutcome::Accepted(accepted)) if accepted == next);
        for record in log.records_after(state.generation).await.unwrap() {
            state.apply(&record).unwrap();
        }
    }
    state
}

fn snapshot_operation(generation: u64) -> OperationId {
    OperationId(1_000_000 + u128::from(generation))
}

/// Two writers must not both enter the same generation, even when answers are lost.
#[tokio::test(start_paused = true)]
async fn one_winner() {
    for seed in 0..10 {
        let platform = PlatformStandin::with_seed(seed);
        platform.set_faults(PlatformFaults {
            lose_answers: true,
            lose_per_mille: 300,
            ..PlatformFaults::default()
        });
        let writers = (0..8_u64).map(|writer| {
            let log = ChangeLog::new(patient_client(&platform, seed * 100 + writer));
            let operation = OperationId(u128::from(writer) + 1);
            tokio::spawn(async move {
                let change = || vec![team_change("q")];
                let mut outcome = log
                    .append(Generation::ZERO, operation, "test", change())
                    .await;
                while outcome.is_err() {
                    outcome = log
                        .append(Generation::ZERO, operation, "test", change())
                        .await;
                }
                (operation, outcome.unwrap())
            })
        });
        let mut winners = Vec::new();
        for writer in writers.collect::<Vec<_>>() {
            let (operation, outcome) = writer.await.unwrap();
            if outcome != AppendOutcome::Conflict {
                winners.push(operation);
            }
        }
        platform.set_faults(PlatformFaults::default());
        let log = ChangeLog::new(client(&platform, 99));
        let records = log.records_after(Generation::ZERO).await.unwrap();
        let written: Vec<_> = records.iter().map(|record| record.operation).collect();
        assert_eq!(winners, written, "seed {seed}");
        assert_eq!(written.len(), 1, "seed {seed}");
    }
}

async fn lease_version(client: &PlatformClient) -> u64 {
    let row = client.read_row::<String>(CONTROLLER_LEASE).await.unwrap();
    row.unwrap().version
}

/// A former holder of the controller's lease must not append.
#[tokio::test(start_paused = true)]
async fn lost_lease() {
    let platform = PlatformStandin::new();
    let client = client(&platform, 1);
    let log = ChangeLog::new(client.clone());
    let mut conditions = Vec::new();
    for (operation, holder) in [(1, "former"), (2, "present")] {
        let written = client.put_row(
            CONTROLLER_LEASE,
            &holder,
            PutCondition::Any,
            OperationId(operation),
        );
        assert_matches!(written.await, Ok(WriteReply::Committed));
        conditions.push(RowCondition {
            key: CONTROLLER_LEASE.into(),
            version: Some(lease_version(&client).await),
        });
    }
    for (operation, condition, expected) in [
        (3, &conditions[0], AppendOutcome::Conflict),
        (4, &conditions[1], AppendOutcome::Accepted(Generation(1))),
    ] {
        let outcome = log
            .append_with(
                Generation::ZERO,
                OperationId(operation),
                "controller",
                vec![team_change("q")],
                std::slice::from_ref(condition),
            )
            .await;
        assert_eq!(outcome.unwrap(), expected);
    }
}

/// A reader that is hundreds of records behind must get all of them, in order.
#[tokio::test(start_paused = true)]
async fn many_pages() {
    let platform = PlatformStandin::new();
    let log = ChangeLog::new(client(&platform, 1));
    let state = fill(&log, FleetState::default(), 600).await;
    let records = log.all_records_after(Generation(3)).await.unwrap();
    let mut read = FleetState::with_view(Generation(3), SessionView::default());
    for record in &records {
        read.apply(record).unwrap();
    }
    assert_eq!(read.generation, state.generation);
    assert_eq!(records.len(), 597);
}

/// A reader that is more than 512 records behind starts from the snapshot.
#[tokio::test(start_paused = true)]
async fn far_behind() {
    let platform = PlatformStandin::new();
    let log = ChangeLog::new(client(&platform, 1));
    let middle = fill(&log, FleetState::default(), 520).await;
    assert!(
        log.write_snapshot(&middle, snapshot_operation(520), &[])
            .await
            .unwrap()
    );
    let state = fill(&log, middle.clone(), 530).await;
    let missing = log.missing_after(Generation(2)).await.unwrap();
    assert_eq!(missing.snapshot, Some(middle));
    let mut read = missing.snapshot.unwrap();
    for record in &missing.records {
        read.apply(record).unwrap();
    }
    assert_eq!(read, state);
    let missing = log.missing_after(Generation(100)).await.unwrap();
    assert_eq!(missing.snapshot, None);
    assert_eq!(missing.records.len(), 430);
}

/// A snapshot must not take the place of a newer one, nor lie ahead of the log.
#[tokio::test(start_paused = true)]
async fn old_snapshot() {
    let platform = PlatformStandin::new();
    let log = ChangeLog::new(client(&platform, 1));
    let old = fill(&log, FleetState::default(), 3).await;
    let new = fill(&log, old.clone(), 5).await;
    let mut ahead = new.clone();
    ahead.generation = Generation(9);
    assert!(
        log.write_snapshot(&new, snapshot_operation(5), &[])
            .await
            .unwrap()
    );
    assert!(
        !log.write_snapshot(&old, snapshot_operation(3), &[])
            .await
            .unwrap()
    );
    assert!(
        !log.write_snapshot(&ahead, snapshot_operation(9), &[])
            .await
            .unwrap()
    );
    assert_eq!(log.head().await.unwrap().0.snapshot, Generation(5));
}

/// The cleanup must leave enough for a reader at any generation to reach the head.
#[tokio::test(start_paused = true)]
async fn removed_rows() {
    let platform = PlatformStandin::new();
    let client = client(&platform, 1);
    let log = ChangeLog::new(client.clone());
    let mut state = FleetState::default();
    for generation in [200, 400, 600, 800] {
        state = fill(&log, state, generation).await;
        let operation = snapshot_operation(generation);
        assert!(log.write_snapshot(&state, operation, &[]).await.unwrap());
    }
    let ids = std::sync::atomic::AtomicU64::new(2_000_000);
    let next_id = || {
        OperationId(
            ids.fetch_add(1, std::sync::atomic::Ordering::Relaxed)
                .into(),
        )
    };
    let report = log.cleanup(u64::MAX, next_id, &[]).await.unwrap();
    assert_eq!(report.records, 256);
    assert_eq!(report.snapshots, 2);
    assert!(report.operations > 0);
    let report = log.cleanup(0, next_id, &[]).await.unwrap();
    assert_eq!(
        (report.records, report.snapshots, report.operations),
        (31, 0, 0)
    );
    let first = client.scan("change/", None, 1).await.unwrap().remove(0);
    assert_eq!(first.key, change_key(Generation(800 - KEPT_RECORDS)));
    assert_eq!(client.list_objects(SNAPSHOT_PREFIX).await.unwrap().len(), 2);
    assert_matches!(
        log.all_records_after(Generation(1)).await,
        Err(PlatformError::LogGap { generation: 1 })
    );
    for start in [0, 287, 290, 799] {
        let missing = log.missing_after(Generation(start)).await.unwrap();
        let last = missing.records.last().map(|record| record.generation);
        let reached = last.or(missing.snapshot.map(|state| state.generation));
        assert_eq!(reached, Some(Generation(800)), "from {start}");
    }
}
