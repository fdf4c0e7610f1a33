use serde::Serialize;
use sesamedeal_core::code::ResultCode;
use sesamedeal_core::fleet::{FleetChange, FleetState, MemberStep, WaveRecord, WaveStatus};
use sesamedeal_core::ids::{InstanceName, PoolName, WaveName};
use sesamedeal_core::waves::due_members;

use super::in_force::report_in_force;
use crate::args::{
    MaintenanceArgs, MaintenanceCommand, WaveHaltArgs, WaveResumeArgs, WaveStartArgs,
    WaveStatusArgs,
};
use crate::error::{CliError, Result};
use crate::operator_client::OperatorClient;
use crate::output::{print_json, print_table};

#[derive(Debug, Serialize)]
struct WaveReport<'a> {
    name: &'a WaveName,
    #[serde(flatten)]
    wave: &'a WaveRecord,
}

/// Runs a command of `maintenance`.
pub(crate) async fn maintenance(args: MaintenanceArgs) -> Result<()> {
    match args.command {
        MaintenanceCommand::Start(args) => start(&args).await,
        MaintenanceCommand::Status(args) => show(&args).await,
        MaintenanceCommand::Halt(args) => halt(&args).await,
        MaintenanceCommand::Resume(args) => resume(&args).await,
    }
}

async fn start(args: &WaveStartArgs) -> Result<()> {
    let client = OperatorClient::new(&args.operator())?;
    let context = client.plan_context().await?;
    let wave = WaveName::new(&args.wave);
    let pool = args.pool.as_ref().map(PoolName::new);
    let generation = client
        .change(|state| {
            if let Some(pool) = &pool
                && !state.pools.contains_key(pool)
            {
                return Err(invalid(format!(
                    "no pool {pool}; see `sesamedeal pool list`"
                )));
            }
            let members = members(state, pool.as_ref(), args.all, context.now.day);
            if members.is_empty() {
                return Err(invalid(
                    "no instance is due; --all takes those that are not due as well".to_owned(),
                ));
            }
            Ok(vec![FleetChange::StartWave {
                wave: wave.clone(),
                started: context.now,
                members,
            }])
        })
        .await?;
    report_in_force(&client, generation, args.json).await
}

fn members(state: &FleetState, pool: Option<&PoolName>, all: bool, day: u32) -> Vec<InstanceName> {
    if !all {
        return due_members(state, pool, day);
    }
    state
        .instances
        .iter()
        .filter(|(_, instance)| pool.is_none_or(|pool| instance.pool == *pool))
        .map(|(name, _)| name.clone())
        .collect()
}

async fn show(args: &WaveStatusArgs) -> Result<()> {
    let state = OperatorClient::new(&args.operator())?.state().await?;
    if args.json {
        let reports: Vec<WaveReport<'_>> = state
            .waves
            .iter()
            .map(|(name, wave)| WaveReport { name, wave })
            .collect();
        print_json(&reports);
        return Ok(());
    }
    let rows: Vec<[String; 6]> = state.waves.iter().map(row).collect();
    let titles = ["wave", "pending", "working", "done", "failed", "status"];
    print_table(titles, &rows);
    Ok(())
}

fn row((name, wave): (&WaveName, &WaveRecord)) -> [String; 6] {
    let status = match &wave.status {
        WaveStatus::Running => "running".to_owned(),
        WaveStatus::Halted { reason, .. } => format!("halted: {reason}"),
        WaveStatus::Finished => "finished".to_owned(),
    };
    [
        name.to_string(),
        wave.count(MemberStep::Pending).to_string(),
        wave.count(MemberStep::Working).to_string(),
        wave.count(MemberStep::Done).to_string(),
        wave.count(MemberStep::Failed).to_string(),
        status,
    ]
}

async fn halt(args: &WaveHaltArgs) -> Result<()> {
    let client = OperatorClient::new(&args.operator())?;
    let wave = WaveName::new(&args.wave);
    let reason = args.reason.as_str();
    let generation = client
        .change(|state| {
            known_wave(state, &wave)?;
            Ok(vec![FleetChange::HaltWave {
                wave: wave.clone(),
                reason: reason.into(),
                resumes: false,
            }])
        })
        .await?;
    report_in_force(&client, generation, args.json).await
}

async fn resume(args: &WaveResumeArgs) -> Result<()> {
    let client = OperatorClient::new(&args.operator())?;
    let wave = WaveName::new(&args.wave);
    let generation = client
        .change(|state| {
            known_wave(state, &wave)?;
            Ok(vec![FleetChange::ResumeWave { wave: wave.clone() }])
        })
        .await?;
    report_in_force(&client, generation, args.json).await
}

fn known_wave(state: &FleetState, wave: &WaveName) -> Result<()> {
    if state.waves.contains_key(wave) {
        return Ok(());
    }
    Err(invalid(format!(
        "no wave {wave}; see `sesamedeal maintenance status`"
    )))
}

fn invalid(text: String) -> CliError {
    CliError::Refused {
        code: ResultCode::InvalidChange,
        text,
    }
}
