use std::path::Path;

use sesamedeal_core::code::ResultCode;
use sesamedeal_core::fleet::FleetState;
use sesamedeal_core::ids::Generation;
use sesamedeal_core::sheet::{ParsedSheet, SheetPlan, check_sheet, plan_sheet};
use sesamedeal_wire::admin::AppendReply;
use snafu::ResultExt;

use super::config::change_kind;
use super::in_force::report_in_force;
use super::sheet_report::{SheetReport, print_plan};
use crate::args::{SheetApplyArgs, SheetArgs, SheetCheckArgs, SheetCommand, SheetPlanArgs};
use crate::error::{CliError, ReadFileSnafu, Result};
use crate::operator_client::OperatorClient;
use crate::output::{print_json, print_line};

/// Runs a command of `sheet`.
pub(crate) async fn sheet(args: SheetArgs) -> Result<()> {
    match args.command {
        SheetCommand::Check(args) => check(&args),
        SheetCommand::Plan(args) => plan(&args).await,
        SheetCommand::Apply(args) => apply(&args).await,
    }
}

fn check(args: &SheetCheckArgs) -> Result<()> {
    let sheet = load(&args.file)?;
    if args.json {
        print_json(&sheet.rows);
    } else {
        print_line(&format!(
            "{}: {} rows, no errors",
            args.file.display(),
            sheet.rows.len()
        ));
    }
    Ok(())
}

async fn plan(args: &SheetPlanArgs) -> Result<()> {
    let sheet = load(&args.file)?;
    let client = OperatorClient::new(&args.operator())?;
    let state = client.state().await?;
    let plan = make_plan(&client, &state, &sheet, args.allow_removal).await?;
    let report = SheetReport::new(state.generation, &plan);
    if args.json {
        print_json(&report);
    } else {
        print_plan(&report);
    }
    Ok(())
}

async fn apply(args: &SheetApplyArgs) -> Result<()> {
    let sheet = load(&args.file)?;
    let client = OperatorClient::new(&args.operator())?;
    let state = client.state().await?;
    let plan = make_plan(&client, &state, &sheet, args.allow_removal).await?;
    let expected = args.planned_from.map_or(state.generation, Generation);
    if !args.json {
        print_plan(&SheetReport::new(expected, &plan));
    }
    match client.append(expected, plan.changes).await? {
        AppendReply::Accepted { generation } => {
            report_in_force(&client, generation, args.json).await
        }
        AppendReply::Conflict { current, records } => {
            let changes: Vec<String> = records
                .iter()
                .flat_map(|record| {
                    let author = &record.author;
                    let kinds = record.changes.iter().map(change_kind);
                    kinds.map(move |kind| format!("{kind} by {author}"))
                })
                .collect();
            Err(CliError::Refused {
                code: ResultCode::ChangeConflict,
                text: format!(
                    "the fleet went from generation {expected} to {current} meanwhile: {}; nothing was changed; plan the sheet again",
                    changes.join(", ")
                ),
            })
        }
    }
}

async fn make_plan(
    client: &OperatorClient,
    state: &FleetState,
    sheet: &ParsedSheet,
    allow_removal: bool,
) -> Result<SheetPlan> {
    let context = client.plan_context().await?;
    plan_sheet(state, sheet, context.now, &context.policy, allow_removal).map_err(|refusal| {
        CliError::Refused {
            code: ResultCode::InvalidChange,
            text: refusal.to_string(),
        }
    })
}

/// Reads and checks a sheet; the error lists everything that is wrong with it.
fn load(path: &Path) -> Result<ParsedSheet> {
    let text = std::fs::read(path).context(ReadFileSnafu { path })?;
    check_sheet(&text).map_err(|errors| {
        let lines: Vec<String> = errors
            .iter()
            .map(|error| format!("{}: {error}", path.display()))
            .collect();
        CliError::Refused {
            code: ResultCode::InvalidChange,
            text: format!(
                "the sheet has {} errors\n{}",
                errors.len(),
                lines.join("\n")
            ),
        }
    })
}
