use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http_body_util::Full;
use hyper::Method;
use hyper::header::AUTHORIZATION;
use serde::Serialize;
use serde::de::DeserializeOwned;
use sesamedeal_core::code::ResultCode;
use sesamedeal_core::fleet::{FleetChange, FleetState};
use sesamedeal_core::ids::Generation;
use sesamedeal_wire::admin::{
    AppendReply, AppendRequest, HistoryReply, InForceReply, PlanContext, StatusReply,
};
use snafu::ResultExt;
use tokio::time::{Instant, sleep};

use crate::args::OperatorArgs;
use crate::entry_client::EntryClient;
use crate::error::{CliError, ReadFileSnafu, Result};

/// Time between two questions whether a change is in force.
const IN_FORCE_PERIOD: Duration = Duration::from_millis(200);

/// Most times that a change of one thing is planned again after a conflict with another operator.
const MAX_CONFLICTS: usize = 8;

/// Client of the operators' interface of one entry instance.
#[derive(Debug)]
pub(crate) struct OperatorClient {
    entry: EntryClient,
    address: SocketAddr,
    author: CompactString,
    key: Option<String>,
    wait: Duration,
}

impl OperatorClient {
    /// Creates a client from the arguments that all operators' commands share.
    pub(crate) fn new(args: &OperatorArgs) -> Result<Self> {
        let key = match &args.operator_key_file {
            Some(path) => {
                let text = std::fs::read_to_string(path).context(ReadFileSnafu { path })?;
                Some(text.trim().to_owned())
            }
            None => None,
        };
        Ok(Self {
            entry: EntryClient::new(args.entry),
            address: args.entry,
            author: args.author.as_str().into(),
            key,
            wait: Duration::from_secs(args.wait_s),
        })
    }

    /// Reads the status of the entry instance and the fleet.
    pub(crate) async fn status(&self) -> Result<StatusReply> {
        self.get("/status").await
    }

    /// Reads the agreed state of the fleet.
    pub(crate) async fn state(&self) -> Result<FleetState> {
        self.get("/admin/state").await
    }

    /// Reads the time of day and the weights that plans are made with.
    pub(crate) async fn plan_context(&self) -> Result<PlanContext> {
        self.get("/admin/plan-context").await
    }

    /// Reads the newest records of the change log.
    pub(crate) async fn history(&self) -> Result<HistoryReply> {
        self.get("/admin/history").await
    }

    /// Appends changes that were planned from the generation `expected`.
    pub(crate) async fn append(
        &self,
        expected: Generation,
        changes: Vec<FleetChange>,
    ) -> Result<AppendReply> {
        let request = AppendRequest {
            expected,
            author: self.author.clone(),
            changes,
        };
        self.call(Method::POST, "/admin/changes", Some(&request))
            .await
    }

    /// Plans a change from the current state and appends it. After a conflict with another
    /// operator it is planned again from the new state.
    pub(crate) async fn change(
        &self,
        plan: impl Fn(&FleetState) -> Result<Vec<FleetChange>>,
    ) -> Result<Generation> {
        for _ in 0..MAX_CONFLICTS {
            let state = self.state().await?;
            let changes = plan(&state)?;
            match self.append(state.generation, changes).await? {
                AppendReply::Accepted { generation } => return Ok(generation),
                // The entry instance may not have read the record that caused the conflict yet.
                AppendReply::Conflict { .. } => sleep(IN_FORCE_PERIOD).await,
            }
        }
        Err(CliError::Refused {
            code: ResultCode::ChangeConflict,
            text: "other operators keep changing the fleet; run the command again".to_owned(),
        })
    }

    /// Waits until every entry instance acts under the generation. `report` is called with the
    /// entry instances that are outstanding each time their number changes.
    pub(crate) async fn wait_in_force(
        &self,
        generation: Generation,
        mut report: impl FnMut(&InForceReply),
    ) -> Result<()> {
        let deadline = Instant::now() + self.wait;
        let mut outstanding = usize::MAX;
        loop {
            let path = format!("/admin/in-force/{generation}");
            let reply: InForceReply = self.get(&path).await?;
            if reply.in_force {
                return Ok(());
            }
            if reply.outstanding.len() != outstanding {
                outstanding = reply.outstanding.len();
                report(&reply);
            }
            if Instant::now() >= deadline {
                return Err(CliError::Refused {
                    code: ResultCode::NotYetInForce,
                    text: format!(
                        "generation {generation} is accepted; outstanding: {}; ask again with `sesamedeal status`",
                        reply.outstanding.join(", ")
                    ),
                });
            }
            sleep(IN_FORCE_PERIOD).await;
        }
    }

    async fn get<R: DeserializeOwned>(&self, path: &str) -> Result<R> {
        self.call(Method::GET, path, None::<&()>).await
    }

    async fn call<T: Serialize, R: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        message: Option<&T>,
    ) -> Result<R> {
        let unexpected = |reason: String| CliError::UnexpectedAnswer {
            address: self.address,
            reason,
        };
        let mut request = self.entry.request(path).method(method);
        if let Some(key) = &self.key {
            request = request.header(AUTHORIZATION, format!("Bearer {key}"));
        }
        let body = match message {
            Some(message) => {
                serde_json::to_vec(message).map_err(|error| unexpected(error.to_string()))?
            }
            None => Vec::new(),
        };
        let request = request
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| unexpected(error.to_string()))?;
        let response = self.entry.send(request).await?;
        let answer = self.entry.accepted(response)?;
        serde_json::from_slice(&answer).map_err(|error| unexpected(error.to_string()))
    }
}
