use argh::FromArgs;

use super::operator_args::operator_command;

/// Look at the configuration's history.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "config")]
pub(crate) struct ConfigArgs {
    #[argh(subcommand)]
    pub command: ConfigCommand,
}

/// The commands of `config`.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum ConfigCommand {
    History(HistoryArgs),
}

operator_command! {
    /// List the newest changes, who made them, and their generations.
    #[argh(subcommand, name = "history")]
    HistoryArgs {}
}

/// Change the upper limit of a team.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "limit")]
pub(crate) struct LimitArgs {
    #[argh(subcommand)]
    pub command: LimitCommand,
}

/// The commands of `limit`.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum LimitCommand {
    Set(LimitSetArgs),
}

operator_command! {
    /// Set the most tasks that a team may have running across the fleet.
    #[argh(subcommand, name = "set")]
    LimitSetArgs {
        /// name of the team
        #[argh(positional)]
        pub team: String,
        /// most tasks running at once
        #[argh(positional)]
        pub limit: u32,
    }
}
