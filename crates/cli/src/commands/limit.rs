use sesamedeal_core::code::ResultCode;
use sesamedeal_core::fleet::{FleetChange, FleetState, TeamRecord};
use sesamedeal_core::ids::TeamName;

use super::in_force::report_in_force;
use crate::args::{LimitArgs, LimitCommand};
use crate::error::{CliError, Result};
use crate::operator_client::OperatorClient;

/// Runs a command of `limit`.
pub(crate) async fn limit(args: LimitArgs) -> Result<()> {
    let LimitCommand::Set(args) = args.command;
    let client = OperatorClient::new(&args.operator())?;
    let name = TeamName::new(&args.team);
    let generation = client
        .change(|state| {
            let team = team(state, &name)?.clone();
            let team = TeamRecord {
                limit: args.limit,
                ..team
            };
            let name = name.clone();
            Ok(vec![FleetChange::PutTeam { name, team }])
        })
        .await?;
    report_in_force(&client, generation, args.json).await
}

/// Finds a team, or says which teams there are.
pub(crate) fn team<'a>(state: &'a FleetState, name: &TeamName) -> Result<&'a TeamRecord> {
    state.teams.get(name).ok_or_else(|| {
        let names: Vec<&str> = state.teams.keys().map(TeamName::as_str).collect();
        CliError::Refused {
            code: ResultCode::InvalidChange,
            text: format!("no team {name}; the teams are {}", names.join(", ")),
        }
    })
}
