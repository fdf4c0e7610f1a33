use std::collections::HashMap;

use sesamedeal_core::jobs::{JobId, JobRecord};
use sesamedeal_core::time::TimePoint;
use slog::{Logger, warn};
use tokio::time::sleep;

use super::owner_lease::OwnerLease;
use super::owner_loop::{OwnerLoop, READ_RETRY_PAUSE};
use crate::BootClock;
use crate::feeds::read_table;
use crate::ports::{StoreRow, StoreTable};
use crate::row_codec::decode;

/// States of open jobs, and ended jobs with their end times, earliest first.
pub(super) type StoredStates = (HashMap<JobId, JobRecord>, Vec<(JobId, TimePoint)>);

/// Decodes the state table. Unusable rows are skipped.
fn decode_states(rows: &[StoreRow], logger: &Logger) -> StoredStates {
    let mut states = HashMap::new();
    let mut ended = Vec::new();
    for row in rows {
        let id = row.key.parse::<JobId>();
        match (id, decode::<JobRecord>(&row.value)) {
            (Ok(id), Ok(record)) if record.phase.is_final() => {
                ended.push((id, BootClock.time_of(record.ended_ms)));
            }
            (Ok(id), Ok(record)) => {
                states.insert(id, record);
            }
            (_, Err(error)) => {
                warn!(logger, "skipped unusable row"; "key" => %row.key, "error" => %error);
            }
            (Err(problem), _) => {
                warn!(logger, "skipped unusable row"; "key" => %row.key, "error" => problem);
            }
        }
    }
    ended.sort_by_key(|(_, at)| *at);
    (states, ended)
}

impl OwnerLoop {
    /// Reads the states of all jobs and the writer's rows.
    pub(super) async fn read_records(
        &self,
        lease: &OwnerLease,
        logger: &Logger,
    ) -> Option<(StoredStates, Vec<StoreRow>)> {
        while lease.is_recent(self.policy.grace_period) && !*self.stopping.borrow() {
            let reads = tokio::try_join!(
                read_table(&self.store, StoreTable::State),
                read_table(&self.store, StoreTable::Writer),
            );
            match reads {
                Ok(((states, _), (writer_rows, _))) => {
                    return Some((decode_states(&states, logger), writer_rows));
                }
                Err(error) => {
                    warn!(logger, "could not read records"; "error" => %error);
                    sleep(READ_RETRY_PAUSE).await;
                }
            }
        }
        None
    }
}
