use argh::FromArgs;

use super::operator_args::operator_command;

operator_command! {
    /// Show the state of the entry instances, the pools and the store.
    #[argh(subcommand, name = "status")]
    StatusArgs {}
}

/// Look at the pools.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "pool")]
pub(crate) struct PoolArgs {
    #[argh(subcommand)]
    pub command: PoolCommand,
}

/// The commands of `pool`.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum PoolCommand {
    List(PoolListArgs),
}

operator_command! {
    /// List the pools with their sizes and availability budgets.
    #[argh(subcommand, name = "list")]
    PoolListArgs {}
}

/// Look at the instances of the pools.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "instance")]
pub(crate) struct InstanceArgs {
    #[argh(subcommand)]
    pub command: InstanceCommand,
}

/// The commands of `instance`.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum InstanceCommand {
    List(InstanceListArgs),
}

operator_command! {
    /// List the instances with their pools and states.
    #[argh(subcommand, name = "list")]
    InstanceListArgs {
        /// only instances of this pool
        #[argh(option)]
        pub pool: Option<String>,
    }
}
