//! Writes whose answers are lost or that take effect late.

mod common;

use std::time::Duration;

use assert_matches::assert_matches;
use common::{client, insert, patient_client};
use sesamedeal_core::ids::OperationId;
use sesamedeal_standin::platform::{PlatformFaults, PlatformStandin};
use sesamedeal_store::protocol::WriteReply;
use sesamedeal_store::{PlatformError, PutCondition, WithdrawOutcome};
use tokio::time::sleep;

fn lost() -> PlatformFaults {
    PlatformFaults {
        lose_answers: true,
        ..PlatformFaults::default()
    }
}

fn late(ms: u64) -> PlatformFaults {
    PlatformFaults {
        late_write_ms: ms,
        ..PlatformFaults::default()
    }
}

/// A write with a lost answer must not be reported as a conflict with itself.
#[tokio::test(start_paused = true)]
async fn lost_answer() {
    let platform = PlatformStandin::new();
    let client = client(&platform, 1);
    platform.set_faults(PlatformFaults {
        lose_per_mille: 600,
        ..lost()
    });
    for number in 0..20 {
        let request = insert(number, &format!("row/{number}"));
        let mut reply = client.write(&request).await;
        while reply.is_err() {
            sleep(Duration::from_secs(2)).await;
            reply = client.write(&request).await;
        }
        assert_matches!(reply, Ok(WriteReply::Committed));
    }
    assert!(client.counters().retries.values().sum::<u64>() > 0);
}

/// A write with a lost answer stays recognisable when another process has replaced its row.
#[tokio::test(start_paused = true)]
async fn replaced_row() {
    let platform = PlatformStandin::new();
    let (first, second) = (client(&platform, 1), client(&platform, 2));
    platform.set_faults(lost());
    let request = insert(1, "row");
    assert_matches!(
        first.write(&request).await,
        Err(PlatformError::NoAnswer { .. })
    );
    platform.set_faults(PlatformFaults::default());
    let row = second.read_row::<String>("row").await.unwrap().unwrap();
    let replaced = second.put_row(
        "row",
        &"other",
        PutCondition::Version(row.version),
        OperationId(2),
    );
    assert_matches!(replaced.await, Ok(WriteReply::Committed));
    assert_matches!(first.write(&request).await, Ok(WriteReply::Committed));
    let row = second.read_row::<String>("row").await.unwrap().unwrap();
    assert_eq!(row.value, "other");
}

/// After a reported conflict, a delayed copy of the write must not take effect.
#[tokio::test(start_paused = true)]
async fn late_copy() {
    let platform = PlatformStandin::new();
    let (first, second) = (client(&platform, 1), client(&platform, 2));
    platform.set_faults(late(5_000));
    let request = insert(1, "row");
    assert_matches!(
        first.write(&request).await,
        Err(PlatformError::NoAnswer { .. })
    );
    platform.set_faults(PlatformFaults::default());
    let other = insert(2, "row");
    assert_matches!(second.write(&other).await, Ok(WriteReply::Committed));
    assert_matches!(first.write(&request).await, Ok(WriteReply::Conflict { .. }));
    let gone = second.delete_row("row", PutCondition::Any, OperationId(3));
    assert_matches!(gone.await, Ok(WriteReply::Committed));
    sleep(Duration::from_secs(10)).await;
    assert_eq!(second.read(&["row"]).await.unwrap(), []);
}

/// The test above rests on the delayed copy taking effect when it is not withdrawn.
#[tokio::test(start_paused = true)]
async fn late_effect() {
    let platform = PlatformStandin::new();
    let client = client(&platform, 1);
    platform.set_faults(late(5_000));
    let request = insert(1, "row");
    assert_matches!(
        client.write(&request).await,
        Err(PlatformError::NoAnswer { .. })
    );
    assert_eq!(client.read(&["row"]).await.unwrap(), []);
    sleep(Duration::from_secs(10)).await;
    assert_eq!(client.read(&["row"]).await.unwrap().len(), 1);
    platform.set_faults(PlatformFaults::default());
    assert_matches!(client.write(&request).await, Ok(WriteReply::Committed));
}

/// A withdrawn write must not take effect later, and a write that took effect is not withdrawn.
#[tokio::test(start_paused = true)]
async fn withdrawn_write() {
    let platform = PlatformStandin::new();
    let client = client(&platform, 1);
    for (fault, expected) in [
        (late(5_000), WithdrawOutcome::NeverTakesEffect),
        (lost(), WithdrawOutcome::TookEffect),
    ] {
        let operation = expected as u128;
        let request = insert(operation, &format!("row/{operation}"));
        platform.set_faults(fault);
        assert_matches!(
            client.write(&request).await,
            Err(PlatformError::NoAnswer { .. })
        );
        platform.set_faults(PlatformFaults::default());
        // The lost answers may have opened the breaker.
        sleep(Duration::from_secs(1)).await;
        let outcome = client.withdraw(OperationId(operation)).await.unwrap();
        assert_eq!(outcome, expected);
        sleep(Duration::from_secs(10)).await;
        let rows = client.scan("row/", None, 10).await.unwrap();
        let exists = rows.iter().any(|row| row.operation == request.operation);
        assert_eq!(exists, expected == WithdrawOutcome::TookEffect);
    }
}

/// Concurrent writers with lost and late answers: exactly one insert of a row is reported as done.
#[tokio::test(start_paused = true)]
async fn single_winner() {
    for seed in 0..10 {
        let platform = PlatformStandin::with_seed(seed);
        platform.set_faults(PlatformFaults {
            lose_answers: true,
            lose_per_mille: 400,
            late_write_ms: 700,
            late_per_mille: 300,
            ..PlatformFaults::default()
        });
        let writers = (0..6_u64).map(|writer| {
            let client = patient_client(&platform, seed * 100 + writer);
            tokio::spawn(async move {
                let request = insert(u128::from(writer) + 1, "row");
                loop {
                    match client.write(&request).await {
                        Ok(reply) => return reply == WriteReply::Committed,
                        Err(_) => sleep(Duration::from_secs(5)).await,
                    }
                }
            })
        });
        let mut winners = 0;
        for writer in writers.collect::<Vec<_>>() {
            winners += u32::from(writer.await.unwrap());
        }
        assert_eq!(winners, 1, "seed {seed}");
    }
}

/// Rows that record outcomes do not pile up while answers arrive.
#[tokio::test(start_paused = true)]
async fn operation_rows() {
    let platform = PlatformStandin::new();
    let client = client(&platform, 1);
    for number in 0..100 {
        let request = insert(number, &format!("row/{number}"));
        client.write(&request).await.unwrap();
    }
    let rows = client.scan("operation/", None, 200).await.unwrap();
    assert!(rows.len() <= 1, "{} rows", rows.len());
}
