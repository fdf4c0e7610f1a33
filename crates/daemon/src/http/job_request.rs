use std::str::FromStr;
use std::time::Duration;

use hyper::HeaderMap;
use sesamedeal_core::code::ResultCode;
use sesamedeal_core::fleet::{FleetState, OPEN_TEAM, QueueRecord};
use sesamedeal_core::ids::{KeyId, RequestId, TeamName};
use sesamedeal_core::scheduler::{JobRefusal, JobSpec};
use sesamedeal_core::time::TimePoint;
use sesamedeal_wire::header;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Deadline of a job whose caller names none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// Reads what the caller asks for from the request's headers.
pub(crate) fn job_spec(
    headers: &HeaderMap,
    queue: &str,
    request: &RequestId,
    state: &FleetState,
    now: TimePoint,
) -> Result<JobSpec, JobRefusal> {
    let record = state
        .queues
        .get(queue)
        .ok_or(JobRefusal::new(ResultCode::UnknownQueue))?;
    let (team, key) = authorize(headers, record, state)?;
    let deadline =
        number(headers, header::DEADLINE_MS)?.map_or(DEFAULT_DEADLINE, Duration::from_millis);
    Ok(JobSpec {
        request: request.clone(),
        team,
        key,
        pool: record.pool.clone(),
        cores: number(headers, header::CORES)?.unwrap_or(1),
        memory_mb: number(headers, header::MEMORY_MB)?.unwrap_or(1),
        run: Duration::from_millis(number(headers, header::RUN_MS)?.unwrap_or(100)),
        urgent: flag(headers, header::URGENT)?,
        idempotent: flag(headers, header::IDEMPOTENT)?,
        deadline: now.after(deadline),
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
    let value = headers
        .get(hyper::header::AUTHORIZATION)
        .ok_or(JobRefusal::new(ResultCode::MissingKey))?;
    let invalid = JobRefusal::new(ResultCode::InvalidKey);
    let text = value.to_str().map_err(|_error| invalid)?;
    let (id, secret) = text
        .strip_prefix("Bearer ")
        .and_then(|token| token.split_once('.'))
        .ok_or(invalid)?;
    let (id, key) = state.keys.get_key_value(id).ok_or(invalid)?;
    let hash = Sha256::digest(secret.as_bytes());
    if !bool::from(hash.ct_eq(&key.hash)) {
        return Err(invalid);
    }
    if key.withdrawn {
        return Err(JobRefusal::new(ResultCode::WithdrawnKey));
    }
    Ok((key.team.clone(), Some(id.clone())))
}

fn number<T: FromStr>(headers: &HeaderMap, name: &str) -> Result<Option<T>, JobRefusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let parsed = value.to_str().ok().and_then(|text| text.parse().ok());
    parsed
        .map(Some)
        .ok_or(JobRefusal::new(ResultCode::BadRequest))
}

fn flag(headers: &HeaderMap, name: &str) -> Result<bool, JobRefusal> {
    match headers.get(name).map(|value| value.as_bytes()) {
        None | Some(b"0") => Ok(false),
        Some(b"1") => Ok(true),
        Some(_) => Err(JobRefusal::new(ResultCode::BadRequest)),
    }
}
