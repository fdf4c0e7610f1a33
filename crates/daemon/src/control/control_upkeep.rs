use std::time::Duration;

use sesamedeal_core::control::{CleanupOrder, ControlStep};
use sesamedeal_core::fleet::FleetState;
use sesamedeal_platform::protocol::{RowCondition, WriteRequest};
use sesamedeal_platform::rows::{CONTROLLER_LEASE, session_key};
use sesamedeal_platform::{PlatformError, Result};
use slog::{info, warn};
use tokio::time::timeout;

use super::controller_actor::{ControllerActor, new_operation};
use crate::clock::unix_millis;

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
        let work = async {
            if step.snapshot_due {
                self.snapshot(state, &lease).await?;
            }
            if let Some(order) = &step.cleanup {
                self.clean_up(order, &lease).await?;
            }
            Ok::<(), PlatformError>(())
        };
        match timeout(UPKEEP_TIME, work).await {
            Ok(result) => result,
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
}
