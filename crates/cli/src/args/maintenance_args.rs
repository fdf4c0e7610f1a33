use argh::FromArgs;

use super::operator_args::operator_command;

/// Control maintenance waves.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "maintenance")]
pub(crate) struct MaintenanceArgs {
    #[argh(subcommand)]
    pub command: MaintenanceCommand,
}

/// The commands of `maintenance`.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum MaintenanceCommand {
    Start(WaveStartArgs),
    Status(WaveStatusArgs),
    Halt(WaveHaltArgs),
    Resume(WaveResumeArgs),
}

operator_command! {
    /// Start a wave over the instances of a pool, or of all pools.
    #[argh(subcommand, name = "start")]
    WaveStartArgs {
        /// name of the wave
        #[argh(positional)]
        pub wave: String,
        /// only instances of this pool
        #[argh(option)]
        pub pool: Option<String>,
        /// also instances that are not due by the schedule of four weeks
        #[argh(switch)]
        pub all: bool,
    }
}

operator_command! {
    /// Show the waves and how far they are.
    #[argh(subcommand, name = "status")]
    WaveStatusArgs {}
}

operator_command! {
    /// Stop a wave from taking further instances.
    #[argh(subcommand, name = "halt")]
    WaveHaltArgs {
        /// name of the wave
        #[argh(positional)]
        pub wave: String,
        /// why the wave is halted
        #[argh(option, default = "String::from(\"halted by an operator\")")]
        pub reason: String,
    }
}

operator_command! {
    /// Let a halted wave continue.
    #[argh(subcommand, name = "resume")]
    WaveResumeArgs {
        /// name of the wave
        #[argh(positional)]
        pub wave: String,
    }
}
