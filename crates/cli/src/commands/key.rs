use serde::Serialize;
use sesamedeal_core::code::ResultCode;
use sesamedeal_core::fleet::FleetChange;
use sesamedeal_core::ids::{Generation, KeyId, TeamName};
use sesamedeal_core::keys::mint_key;

use super::in_force::report_in_force;
use super::limit::team;
use crate::args::{KeyArgs, KeyCommand, KeyGrantArgs, KeyWithdrawArgs};
use crate::error::{CliError, Result};
use crate::operator_client::OperatorClient;
use crate::output::{print_json, print_line};

#[derive(Debug, Serialize)]
struct GrantResult {
    generation: Generation,
    key: String,
}

/// Runs a command of `key`.
pub(crate) async fn key(args: KeyArgs) -> Result<()> {
    match args.command {
        KeyCommand::Grant(args) => grant(&args).await,
        KeyCommand::Withdraw(args) => withdraw(&args).await,
    }
}

async fn grant(args: &KeyGrantArgs) -> Result<()> {
    let client = OperatorClient::new(&args.operator())?;
    let name = TeamName::new(&args.team);
    let (presented, record) = mint_key(name.clone(), &mut rand::rng());
    let generation = client
        .change(|state| {
            team(state, &name)?;
            Ok(vec![FleetChange::GrantKey {
                id: presented.id.clone(),
                key: record.clone(),
            }])
        })
        .await?;
    // The key is printed before the wait, because a time-out must not lose an accepted key.
    let key = format!("{}.{}", presented.id, presented.secret.reveal());
    if args.json {
        print_json(&GrantResult { generation, key });
    } else {
        print_line(&key);
    }
    eprintln!("accepted as generation {generation}");
    client.wait_in_force(generation, |_| {}).await
}

async fn withdraw(args: &KeyWithdrawArgs) -> Result<()> {
    let client = OperatorClient::new(&args.operator())?;
    let id = KeyId::new(&args.id);
    let generation = client
        .change(|state| {
            if !state.keys.contains_key(&id) {
                return Err(CliError::Refused {
                    code: ResultCode::InvalidChange,
                    text: format!("no key {id}; give the part of the key before the dot"),
                });
            }
            Ok(vec![FleetChange::WithdrawKey { id: id.clone() }])
        })
        .await?;
    report_in_force(&client, generation, args.json).await
}
