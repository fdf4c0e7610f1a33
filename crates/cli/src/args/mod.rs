//! Arguments of the command line.

mod config_args;
mod demo_args;
mod dev_args;
mod fleet_args;
mod key_args;
mod load_args;
mod maintenance_args;
mod measure_args;
mod operator_args;
mod sheet_args;
mod submit_args;
mod zone_args;

use std::net::SocketAddr;

use argh::FromArgs;
pub(crate) use config_args::{ConfigArgs, ConfigCommand, LimitArgs, LimitCommand};
pub(crate) use demo_args::DemoArgs;
pub(crate) use dev_args::{
    BackendArgs, DevArgs, DevCommand, FaultsArgs, ListEntryArgs, PlatformArgs,
};
pub(crate) use fleet_args::{InstanceArgs, InstanceCommand, PoolArgs, PoolCommand, StatusArgs};
pub(crate) use key_args::{KeyArgs, KeyCommand, KeyGrantArgs, KeyWithdrawArgs};
pub(crate) use load_args::LoadArgs;
pub(crate) use maintenance_args::{
    MaintenanceArgs, MaintenanceCommand, WaveHaltArgs, WaveResumeArgs, WaveStartArgs,
    WaveStatusArgs,
};
pub(crate) use measure_args::MeasureArgs;
pub(crate) use operator_args::OperatorArgs;
pub(crate) use sheet_args::{
    SheetApplyArgs, SheetArgs, SheetCheckArgs, SheetCommand, SheetPlanArgs,
};
pub(crate) use submit_args::SubmitArgs;
pub(crate) use zone_args::{ZoneArgs, ZoneCommand};

/// Fleet capacity and maintenance manager: commands for operators and callers.
#[derive(Debug, FromArgs)]
pub struct SesameArgs {
    #[argh(subcommand)]
    pub(crate) command: SesameCommand,
}

/// The commands.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum SesameCommand {
    Config(ConfigArgs),
    Demo(DemoArgs),
    Dev(DevArgs),
    Instance(InstanceArgs),
    Key(KeyArgs),
    Limit(LimitArgs),
    Load(LoadArgs),
    Maintenance(MaintenanceArgs),
    Measure(MeasureArgs),
    Pool(PoolArgs),
    Sheet(SheetArgs),
    Status(StatusArgs),
    Submit(SubmitArgs),
    Zone(ZoneArgs),
}

/// Address that an entry instance listens on by default.
pub(crate) fn default_entry() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 8080))
}
