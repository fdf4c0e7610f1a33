use argh::FromArgs;

/// Run entry instances, a platform and a fleet of 50 backend servers in one process, with a day's
/// work and failures, and count broken promises.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
pub(crate) struct DemoArgs {
    /// print JSON as the last line
    #[argh(switch)]
    pub json: bool,
    /// seed of the load (default 1)
    #[argh(option, default = "1")]
    pub seed: u64,
}
