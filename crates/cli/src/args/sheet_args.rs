use std::path::PathBuf;

use argh::FromArgs;

use super::operator_args::operator_command;

/// Check, plan and apply the planners' sheet.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "sheet")]
pub(crate) struct SheetArgs {
    #[argh(subcommand)]
    pub command: SheetCommand,
}

/// The commands of `sheet`.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum SheetCommand {
    Check(SheetCheckArgs),
    Plan(SheetPlanArgs),
    Apply(SheetApplyArgs),
}

/// Check a sheet without an entry instance and report all its errors.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct SheetCheckArgs {
    /// the sheet, a CSV file
    #[argh(positional)]
    pub file: PathBuf,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

operator_command! {
    /// Show what a sheet would change, its moves and waves, and how long they take.
    #[argh(subcommand, name = "plan")]
    SheetPlanArgs {
        /// the sheet, a CSV file
        #[argh(positional)]
        pub file: PathBuf,
        /// allow the sheet to remove more than 20% of the pools, teams or queues
        #[argh(switch)]
        pub allow_removal: bool,
    }
}

operator_command! {
    /// Put a sheet in force and wait until every entry instance acts under it.
    #[argh(subcommand, name = "apply")]
    SheetApplyArgs {
        /// the sheet, a CSV file
        #[argh(positional)]
        pub file: PathBuf,
        /// allow the sheet to remove more than 20% of the pools, teams or queues
        #[argh(switch)]
        pub allow_removal: bool,
        /// generation that the sheet was planned from, as `sheet plan` printed it; without it the
        /// sheet is planned from the present generation
        #[argh(option)]
        pub planned_from: Option<u64>,
    }
}
