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
use crate::row_codec::{decode, parse_record_key};

/// States of open jobs, and ended jobs with their end times.
pub(super) type StoredStates = (HashMap<JobId, JobRecord>, Vec<(JobId, TimePoint)>);

/// Decodes rows of the state table and joins the rows of each record. Unusable rows are skipped.
pub(super) fn decode_states<'a>(
    rows: impl Iterator<Item = &'a StoreRow>,
    logger: &Logger,
) -> StoredStates {
    let mut states: HashMap<JobId, JobRecord> = HashMap::new();
    let mut further = Vec::new();
    let mut ended = Vec::new();
    for row in rows {
        let name = parse_record_key(&row.key);
        match (name, decode::<JobRecord>(&row.value)) {
            (Some((id, 0)), Ok(record)) if record.phase.is_final() => {
                ended.push((id, BootClock.time_of(record.ended_ms)));
            }
            (Some((id, 0)), Ok(mut record)) => {
                record.stored_rows = 1;
                states.insert(id, record);
            }
            (Some((id, _)), Ok(record)) => further.push((id, record)),
            (_, Err(error)) => {
                warn!(logger, "skipped unusable row"; "key" => %row.key, "row" => row.version, "error" => %error);
            }
            (None, _) => {
                warn!(logger, "skipped unusable row"; "key" => %row.key, "row" => row.version, "error" => "not a key of a record");
            }
        }
    }
    for (id, record) in further {
        if let Some(state) = states.get_mut(&id) {
            state.add_row(record);
        }
    }
    (states, ended)
}

impl OwnerLoop {
    /// Reads the writer's rows.
    pub(super) async fn read_writer_rows(
        &self,
        lease: &OwnerLease,
        logger: &Logger,
    ) -> Option<Vec<StoreRow>> {
        while lease.is_recent(self.policy.grace_period) && !*self.stopping.borrow() {
            match read_table(&self.store, StoreTable::Writer).await {
                Ok((rows, _)) => return Some(rows),
                Err(error) => {
                    warn!(logger, "could not read records"; "error" => %error);
                    sleep(READ_RETRY_PAUSE).await;
                }
            }
        }
        None
    }
}
