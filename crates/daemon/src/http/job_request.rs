use std::time::Duration;

use hyper::HeaderMap;
use sesamedeal_core::code::ResultCode;
use sesamedeal_core::fleet::{FleetState, OPEN_TEAM, QueueRecord};
use sesamedeal_core::ids::{KeyId, RequestId, TeamName};
use sesamedeal_core::keys::{PresentedKey, check_key};
use sesamedeal_core::scheduler::{JobRefusal, JobSpec};
use sesamedeal_core::time::TimePoint;
use sesamedeal_wire::header;

use super::request_head::{authorization, flag, number};

/// Longest deadline that a caller can name; a longer one is shortened to it.
const MAX_DEADLINE: Duration = Duration::from_secs(3600);

/// Declared run time of a job whose caller declares none.
const DEFAULT_RUN: Duration = Duration::from_millis(100);

/// Reads what the caller asks for from the request's headers.
pub(crate) fn job_spec(
    headers: &HeaderMap,
    queue: &str,
    request: RequestId,
    state: &FleetState,
    now: TimePoint,
    default_deadline: Duration,
) -> Result<JobSpec, JobRefusal> {
    let record = state
        .queues
        .get(queue)
        .ok_or(JobRefusal::new(ResultCode::UnknownQueue))?;
    let (team, key) = authorize(headers, record, state)?;
    let deadline =
        number(headers, header::DEADLINE_MS)?.map_or(default_deadline, Duration::from_millis);
    Ok(JobSpec {
        request,
        team,
        key,
        pool: record.pool.clone(),
        cores: number(headers, header::CORES)?.unwrap_or(1),
        memory_mb: number(headers, header::MEMORY_MB)?.unwrap_or(1),
        run: number(headers, header::RUN_MS)?.map_or(DEFAULT_RUN, Duration::from_millis),
        urgent: flag(headers, header::URGENT)?,
        idempotent: flag(headers, header::IDEMPOTENT)?,
        deadline: now.after(deadline.min(MAX_DEADLINE)),
    })
}

fn authorize(
    headers: &HeaderMap,
    record: &QueueRecord,
    state: &FleetState,
) -> Result<(TeamName, Option<KeyId>), JobRefusal> {
    if record.open {
        return Ok((TeamName::new(OPEN_TEAM), None));
    }
    let key = PresentedKey::with_header(authorization(headers)?)
        .ok_or(JobRefusal::new(ResultCode::InvalidKey))?;
    let team = check_key(state, &key).map_err(|refusal| JobRefusal::new(refusal.code()))?;
    Ok((team.clone(), Some(key.id)))
}
