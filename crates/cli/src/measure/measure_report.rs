use std::str::FromStr;

use serde::Serialize;
use sesamedeal_core::fleet::DayTime;
use sesamedeal_core::moves::DayDemand;
use sesamedeal_core::sheet::plan_sheet;

use super::day_figures::DayFigures;
use super::day_measure::{measure_day, measure_row_by_row};
use super::generated_days::{GeneratedDays, plan_days};
use super::limit_measure::{LimitFigures, measure_limit};
use super::lower_bound::lowest_moves;
use super::measure_scope::MeasureScope;
use super::round::round;
use super::share_fleet::ShareFleet;
use super::share_measure::{ShareFigures, measure_first_come, measure_share};
use super::user_profile::{FIRST_DAY, UserProfile};
use crate::error::{CliError, Result};

/// Whose settings are measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MeasuredUser {
    /// Maracas Reading Rooms Trust.
    Trust,
    /// Consorcio Relojero del Cantábrico.
    Consorcio,
    /// Both of them.
    Both,
}

impl FromStr for MeasuredUser {
    type Err = String;

    fn from_str(text: &str) -> std::result::Result<Self, String> {
        match text {
            "trust" => Ok(Self::Trust),
            "consorcio" => Ok(Self::Consorcio),
            "both" => Ok(Self::Both),
            _ => Err("use trust, consorcio or both".to_owned()),
        }
    }
}

/// Plan of the user's sheet, before it is carried out.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PlanFigures {
    /// Moves planned.
    pub moves: u64,
    /// Lowest number of moves that any plan needs.
    pub lowest_moves: u64,
    /// Moves when the rows are applied one by one.
    pub row_by_row_moves: u64,
    /// Longest time from a row to the end of its moves.
    pub rollout_seconds: f64,
    /// Instance-hours in the spare pool or moving.
    pub buffer_hours: f64,
}

/// Measures of one user.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct UserReport {
    /// Whose settings and sheet.
    pub user: String,
    /// The plan of the sheet.
    pub plan: PlanFigures,
    /// The day as the controller carries it out.
    pub day: DayFigures,
    /// Baseline of the day: rows applied one by one.
    pub day_row_by_row: DayFigures,
    /// Plans of generated days.
    pub generated: GeneratedDays,
    /// Nearness to share under surges.
    pub share: ShareFigures,
    /// Baseline of the nearness to share: first-come first-served.
    pub share_first_come: ShareFigures,
    /// What a team reaches of its limit, with the static split as the baseline.
    pub limit: Option<LimitFigures>,
}

/// Measures of all users.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct MeasureReport {
    /// Seed of all random choices.
    pub seed: u64,
    /// One entry per user.
    pub users: Vec<UserReport>,
}

/// Measures the decisions with the settings of each user.
///
/// # Errors
///
/// Returns an error when an example sheet or a record is refused.
pub fn measure_users(user: MeasuredUser, scope: &MeasureScope, seed: u64) -> Result<MeasureReport> {
    let mut users = Vec::new();
    if user != MeasuredUser::Consorcio {
        users.push(measure_user(&UserProfile::with_trust()?, scope, seed)?);
    }
    if user != MeasuredUser::Trust {
        users.push(measure_user(&UserProfile::with_consorcio()?, scope, seed)?);
    }
    Ok(MeasureReport { seed, users })
}

fn measure_user(profile: &UserProfile, scope: &MeasureScope, seed: u64) -> Result<UserReport> {
    let fleet = ShareFleet::new(profile)?;
    Ok(UserReport {
        user: profile.name.to_owned(),
        plan: measure_plan(profile)?,
        day: measure_day(profile, seed)?,
        day_row_by_row: measure_row_by_row(profile, seed)?,
        generated: plan_days(profile, scope.generated_days, seed)?,
        share: measure_share(&fleet, scope, seed),
        share_first_come: measure_first_come(&fleet, scope, seed),
        limit: measure_limit(&fleet, seed),
    })
}

fn measure_plan(profile: &UserProfile) -> Result<PlanFigures> {
    let state = profile.fleet()?;
    let start = DayTime::new(FIRST_DAY, 0);
    let plan =
        plan_sheet(&state, &profile.sheet, start, &profile.policy, true).map_err(|refusal| {
            CliError::Argument {
                argument: "sheet",
                reason: refusal.to_string(),
            }
        })?;
    let demand = DayDemand::with_state(&state, start);
    Ok(PlanFigures {
        moves: plan.day.measures.moves,
        lowest_moves: lowest_moves(&demand, &demand.count_instances(&state)),
        row_by_row_moves: plan.row_by_row_moves,
        rollout_seconds: round(plan.rollout().as_secs_f64()),
        buffer_hours: round(plan.day.measures.buffer_hours),
    })
}
