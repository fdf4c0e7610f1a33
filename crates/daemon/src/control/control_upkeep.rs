use std::time::Duration;

use compact_str::CompactString;
use sesamedeal_core::claims::ClaimRecord;
use sesamedeal_core::control::{CleanupOrder, ControlStep};
use sesamedeal_core::fleet::FleetState;
use sesamedeal_store::protocol::{RowCondition, WriteRequest};
use sesamedeal_store::rows::{CONTROLLER_LEASE, session_key};
use sesamedeal_store::{PlatformError, Result, TypedRow};
use slog::{info, warn};
use tokio::time::timeout;

use super::controller_actor::{ControllerActor, new_operation};
use crate::claims::response_key;
use crate::clock::unix_millis;

/// Prefix of the rows of claims.
const CLAIM_PREFIX: &str = "claim/";

/// Claims looked at in one cleanup.
const CLAIM_PAGE: usize = 256;

/// Longest time that snapshots and cleanup may delay the renewal of the lease.
const UPKEEP_TIME: Duration = Duration::from_secs(2);

impl ControllerActor {
    /// Writes a snapshot and removes what is no longer needed, if the step asks for it.
    pub(super) async fn upkeep(&mut self, state: &FleetState, step: &ControlStep) -> Result<()> {
        if !step.snapshot_due && step.cleanup.is_none() {
            return Ok(());
        }
        let lease = self.read_rows().await?.unchanged(CONTROLLER_LEASE);
        if self.candidate.epoch(self.context.clock.now()).is_none() {
            return Ok(());
        }
        let claims_after = self.claims_after.clone();
        let work = async {
            if step.snapshot_due {
                self.snapshot(state, &lease).await?;
            }
            if let Some(order) = &step.cleanup {
                self.clean_up(order, &lease).await?;
                return self.clean_claims(order, &lease, claims_after).await;
            }
            Ok::<_, PlatformError>(claims_after)
        };
        match timeout(UPKEEP_TIME, work).await {
            Ok(result) => {
                self.claims_after = result?;
                Ok(())
            }
            Err(_) => {
                warn!(
                    self.context.logger,
                    "snapshot or cleanup not finished in time"
                );
                Ok(())
            }
        }
    }

    async fn snapshot(&self, state: &FleetState, lease: &RowCondition) -> Result<()> {
        let context = &self.context;
        let conditions = std::slice::from_ref(lease);
        let written = context
            .log
            .write_snapshot(state, new_operation(), conditions);
        if written.await? {
            info!(context.logger, "snapshot"; "generation" => state.generation.0);
        }
        Ok(())
    }

    async fn clean_up(&self, order: &CleanupOrder, lease: &RowCondition) -> Result<()> {
        let context = &self.context;
        let conditions = std::slice::from_ref(lease);
        let report = context
            .log
            .cleanup(unix_millis(), new_operation, conditions);
        let report = report.await?;
        info!(context.logger, "cleanup"; "records" => report.records,
            "snapshots" => report.snapshots, "operations" => report.operations);
        if order.sessions.is_empty() {
            return Ok(());
        }
        let sessions = order.sessions.iter();
        let request = WriteRequest {
            operation: new_operation(),
            conditions: conditions.to_vec(),
            puts: Vec::new(),
            deletes: sessions.map(|session| session_key(*session)).collect(),
        };
        context.client.write(&request).await.map(drop)
    }

    /// Removes old claims among the next page of them. Returns the last claim looked at.
    async fn clean_claims(
        &self,
        order: &CleanupOrder,
        lease: &RowCondition,
        after: Option<CompactString>,
    ) -> Result<Option<CompactString>> {
        let client = &self.context.client;
        let rows = client.scan_rows::<ClaimRecord>(CLAIM_PREFIX, after.as_deref(), CLAIM_PAGE);
        let rows = rows.await?;
        let last = rows.last().map(|(key, _)| key.clone());
        let now = unix_millis() / 1_000;
        let oldest = now.saturating_sub(order.claims_older.as_secs());
        let is_old =
            |(_, row): &&(CompactString, TypedRow<ClaimRecord>)| row.value.created < oldest;
        let mut deletes = Vec::new();
        for (key, row) in rows.iter().filter(is_old) {
            // The object goes first: without the row nothing tells that it exists.
            if row.value.may_have_object() {
                client
                    .delete_object(&response_key(row.value.operation))
                    .await?;
            }
            deletes.push(key.clone());
        }
        if !deletes.is_empty() {
            let request = WriteRequest {
                operation: new_operation(),
                conditions: vec![lease.clone()],
                puts: Vec::new(),
                deletes,
            };
            client.write(&request).await?;
        }
        Ok(last)
    }
}
