use argh::FromArgs;

use super::operator_args::operator_command;

/// Evacuate and reopen availability zones.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "zone")]
pub(crate) struct ZoneArgs {
    #[argh(subcommand)]
    pub command: ZoneCommand,
}

/// The commands of `zone`.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum ZoneCommand {
    Evacuate(ZoneEvacuateArgs),
    Reopen(ZoneReopenArgs),
    List(ZoneListArgs),
}

operator_command! {
    /// Start nothing more in an availability zone. Running tasks continue.
    #[argh(subcommand, name = "evacuate")]
    ZoneEvacuateArgs {
        /// name of the availability zone
        #[argh(positional)]
        pub zone: String,
    }
}

operator_command! {
    /// Start tasks in an availability zone again.
    #[argh(subcommand, name = "reopen")]
    ZoneReopenArgs {
        /// name of the availability zone
        #[argh(positional)]
        pub zone: String,
    }
}

operator_command! {
    /// List the availability zones with their instances and requests.
    #[argh(subcommand, name = "list")]
    ZoneListArgs {}
}
