use sesamedeal_core::membership::SessionRecord;
use sesamedeal_store::rows::SESSION_PREFIX;
use sesamedeal_store::{PlatformClient, Result};

/// Most session rows read at once; the agreed state has at most as many sessions.
const MAX_SESSIONS: usize = 1_000;

/// Reads the rows of all sessions.
pub(crate) async fn session_rows(client: &PlatformClient) -> Result<Vec<SessionRecord>> {
    let rows = client.scan_rows::<SessionRecord>(SESSION_PREFIX, None, MAX_SESSIONS);
    Ok(rows.await?.into_iter().map(|(_, row)| row.value).collect())
}
