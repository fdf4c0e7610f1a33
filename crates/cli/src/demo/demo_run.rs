use std::time::Duration;

use sesamedeal_core::code::ResultCode;
use sesamedeal_core::fleet::{FleetChange, SheetItem};
use sesamedeal_core::ids::TeamName;
use sesamedeal_core::keys::mint_key;
use sesamedeal_core::sheet::{ParsedSheet, check_sheet, plan_sheet};
use sesamedeal_standin::load::{LoadReport, LoadSettings, run_load};
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::DemoReport;
use super::demo_events::run_events;
use super::demo_fleet::DemoFleet;
use super::demo_load::{DemoTeam, TEAM_WORK, open_load, team_load};
use crate::error::{CliError, Result};

/// Sheet of the demonstration.
const SHEET: &str = include_str!("../../../../examples/demo.csv");

/// Runs the demonstration.
pub(crate) async fn run_demo(seed: u64) -> Result<DemoReport> {
    let start = Instant::now();
    let sheet = check_sheet(SHEET.as_bytes()).map_err(|errors| CliError::Refused {
        code: ResultCode::InvalidChange,
        text: format!("{errors:?}"),
    })?;
    eprintln!("starting the platform, the backend servers and the entry instances");
    let mut fleet = DemoFleet::start(&sheet).await?;
    apply_sheet(&fleet, &sheet).await?;
    let teams = grant_keys(&fleet).await?;
    eprintln!("sending load for 16 s; the open queue surges to five times its mean");
    let targets = fleet.addresses();
    let mut loads: Vec<LoadSettings> = teams
        .iter()
        .zip(seed * 100..)
        .map(|(team, seed)| team_load(&targets, team, seed))
        .collect();
    loads.push(open_load(&targets, seed * 100 + 99));
    let mut runs: JoinSet<std::io::Result<LoadReport>> = loads.into_iter().map(run_load).collect();
    run_events(&mut fleet, &teams).await?;
    let mut total = LoadReport::new();
    while let Some(run) = runs.join_next().await {
        let report = run.map_err(std::io::Error::other).and_then(|report| report);
        total.merge(&report.map_err(|error| CliError::Start {
            what: "load".to_owned(),
            reason: error.to_string(),
        })?);
    }
    eprintln!("shutting the entry instances down");
    for entry in std::mem::take(&mut fleet.entries) {
        entry.shut_down().await;
    }
    let violations = fleet.platform.observer().violations();
    Ok(DemoReport::new(
        &total,
        &violations,
        start.elapsed().as_secs_f64(),
    ))
}

async fn apply_sheet(fleet: &DemoFleet, sheet: &ParsedSheet) -> Result<()> {
    let observer = fleet.platform.observer();
    for row in &sheet.rows {
        match &row.item {
            SheetItem::Team { name, team } => {
                observer.set_team_limit(name.as_str(), team.limit, Duration::ZERO);
            }
            SheetItem::Pool { name, pool } => {
                observer.set_pool_budget(name.as_str(), pool.max_unavailable);
            }
            SheetItem::Queue { .. } | SheetItem::Maintenance { .. } => {}
        }
    }
    let client = fleet.operator(0)?;
    let context = client.plan_context().await?;
    let generation = client
        .change(|state| {
            let plan = plan_sheet(state, sheet, context.now, &context.policy, true);
            plan.map(|plan| plan.changes)
                .map_err(|refusal| CliError::Refused {
                    code: ResultCode::InvalidChange,
                    text: refusal.to_string(),
                })
        })
        .await?;
    client.wait_in_force(generation, |_| {}).await?;
    eprintln!("the morning sheet is in force as generation {generation}");
    Ok(())
}

async fn grant_keys(fleet: &DemoFleet) -> Result<Vec<DemoTeam>> {
    let mut teams = Vec::new();
    for work in TEAM_WORK {
        let name = TeamName::new(work.team);
        let (key, record) = mint_key(name.clone(), &mut rand::rng());
        teams.push((DemoTeam { name, key, work }, record));
    }
    let client = fleet.operator(0)?;
    let changes: Vec<FleetChange> = teams
        .iter()
        .map(|(team, record)| FleetChange::GrantKey {
            id: team.key.id.clone(),
            key: record.clone(),
        })
        .collect();
    let generation = client.change(|_| Ok(changes.clone())).await?;
    client.wait_in_force(generation, |_| {}).await?;
    eprintln!("keys of {} teams are in force", teams.len());
    Ok(teams.into_iter().map(|(team, _)| team).collect())
}
