use argh::FromArgs;

use super::operator_args::operator_command;

/// Grant and withdraw team keys.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "key")]
pub(crate) struct KeyArgs {
    #[argh(subcommand)]
    pub command: KeyCommand,
}

/// The commands of `key`.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum KeyCommand {
    Grant(KeyGrantArgs),
    Withdraw(KeyWithdrawArgs),
}

operator_command! {
    /// Grant a new key to a team. The key is printed once and cannot be shown again.
    #[argh(subcommand, name = "grant")]
    KeyGrantArgs {
        /// name of the team
        #[argh(positional)]
        pub team: String,
    }
}

operator_command! {
    /// Withdraw a key permanently.
    #[argh(subcommand, name = "withdraw")]
    KeyWithdrawArgs {
        /// identifier of the key: the part before the dot
        #[argh(positional)]
        pub id: String,
    }
}
