use std::io::Write;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Method;
use hyper::header::AUTHORIZATION;
use sesamedeal_wire::header;
use snafu::ResultExt;

use crate::args::SubmitArgs;
use crate::entry_client::EntryClient;
use crate::error::{CliError, ReadFileSnafu, Result};

/// Submits a job and writes the backend server's answer to standard output.
pub(crate) async fn submit(args: SubmitArgs) -> Result<()> {
    let client = EntryClient::new(args.entry);
    let mut request = client
        .request(&format!("/v1/queues/{}/jobs", args.queue))
        .method(Method::POST);
    let numbers = [
        (header::CORES, args.cores.map(u64::from)),
        (header::MEMORY_MB, args.memory_mb.map(u64::from)),
        (header::RUN_MS, args.run_ms),
        (header::DEADLINE_MS, args.deadline_ms),
        (header::URGENT, args.urgent.then_some(1)),
        (header::IDEMPOTENT, args.idempotent.then_some(1)),
    ];
    for (name, value) in numbers {
        if let Some(value) = value {
            request = request.header(name, value);
        }
    }
    if let Some(key) = &args.idempotency_key {
        request = request.header(header::IDEMPOTENCY_KEY, key);
    }
    if let Some(path) = &args.key_file {
        let key = std::fs::read_to_string(path).context(ReadFileSnafu { path })?;
        request = request.header(AUTHORIZATION, format!("Bearer {}", key.trim()));
    }
    let request = request
        .body(Full::new(Bytes::from(args.body)))
        .map_err(|error| CliError::Argument {
            argument: "submit",
            reason: error.to_string(),
        })?;
    let response = client.send(request).await?;
    let answer = client.accepted(response)?;
    std::io::stdout()
        .write_all(&answer)
        .map_err(|error| CliError::Start {
            what: "standard output".to_owned(),
            reason: error.to_string(),
        })
}
