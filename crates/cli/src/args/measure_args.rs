use argh::FromArgs;

use crate::measure::MeasuredUser;

/// Measure the decisions on virtual time, next to baselines. The same seed gives the same output.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "measure")]
pub(crate) struct MeasureArgs {
    /// whose settings: trust, consorcio or both
    #[argh(option, default = "MeasuredUser::Both")]
    pub user: MeasuredUser,

    /// seed of all random choices
    #[argh(option, default = "1")]
    pub seed: u64,

    /// measure the request path over loopback instead, next to a plain pass-through; these
    /// figures depend on the machine
    #[argh(switch)]
    pub requests: bool,

    /// print one JSON object
    #[argh(switch)]
    pub json: bool,
}
